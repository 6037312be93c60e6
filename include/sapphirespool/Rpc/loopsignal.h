// loopsignal.h: wakes a KJ event loop from another thread.
#pragma once

#include <kj/async-io.h>

#include <cstdint>

namespace sapphirespool::rpc
{

/// A signal that any thread may raise and that a KJ loop waits for.
///
/// It carries no data: what is handed over lies behind a lock of the caller's. KJ's own promises across threads are ordered by locks
/// inside its library, which the thread sanitizer does not see: it reports each of their values as a race, and a real race beside them
/// would go unnoticed. A file descriptor of the kernel is an order that it sees, and the loop waits for descriptors anyway.
class LoopSignal
{
public:
    /// Call on the loop's thread, which also destroys the signal.
    explicit LoopSignal(kj::LowLevelAsyncIoProvider &lowLevel);

    /// Wakes the loop; several calls before it wakes count as one. May be called from any thread.
    auto raise() -> void;

    /// \return a promise that is kept once the signal was raised since the last one was kept; one at a time
    auto awaitRaised() -> kj::Promise<void>;

private:
    int descriptor;
    kj::Own<kj::AsyncInputStream> input;
    /// Takes the kernel's count of the raises.
    std::uint64_t raises = 0;
};

} // namespace sapphirespool::rpc
