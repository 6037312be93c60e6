#include "sapphirespool/Rpc/loopsignal.h"

#include <catch2/catch.hpp>

#include <thread>

namespace sapphirespool::rpc
{

TEST_CASE("a signal that another thread raises wakes the loop, also when it was raised before the loop waits")
{
    // The caller sees: a request that nobody answers although the work for it was done.
    // Another thread finishes its work and raises the signal before the loop waits, or twice in a row; then it raises it once more.
    // The kernel keeps the count until the loop reads it, so that no raise is lost and two of them are one.
    auto io = kj::setupAsyncIo();
    auto signal = LoopSignal(*io.lowLevelProvider);
    auto early = std::thread([&signal] {
        signal.raise();
        signal.raise();
    });
    early.join();
    signal.awaitRaised().wait(io.waitScope);

    auto again = signal.awaitRaised();
    CHECK_FALSE(again.poll(io.waitScope));
    auto late = std::thread([&signal] {
        signal.raise();
    });
    again.wait(io.waitScope);
    late.join();
}

} // namespace sapphirespool::rpc
