#include "sapphirespool/ProxyRole/gracefulshutdown.h"

#include <catch2/catch.hpp>

namespace sapphirespool::proxy
{

namespace
{

using std::chrono::seconds;

constexpr auto start = TimePoint{};
constexpr auto idle = RunningWork{};
constexpr auto times = ShutdownTimes{seconds(2), seconds(12), seconds(22), seconds(32)};

} // namespace

TEST_CASE("a stop goes unready first, then waits for what runs, then for answers on their way")
{
    auto shutdown = GracefulShutdown(times);
    CHECK(shutdown.advance(idle, start) == std::nullopt);
    CHECK(shutdown.forwardingEnd() == TimePoint::max());
    shutdown.begin(start);
    CHECK(shutdown.phase() == ShutdownPhase::Unready);
    CHECK(shutdown.forwardingEnd() == start + seconds(12));
    CHECK(shutdown.advance(idle, start + seconds(1)) == std::nullopt);
    CHECK(shutdown.advance({1, 1, 1}, start + seconds(2)) == ShutdownPhase::Finishing);
    CHECK(shutdown.advance({1, 0, 1}, start + seconds(3)) == std::nullopt);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(4)) == std::nullopt);
    CHECK(shutdown.advance({0, 0, 1}, start + seconds(5)) == ShutdownPhase::Answering);
    CHECK(shutdown.advance({0, 0, 1}, start + seconds(5)) == ShutdownPhase::Closing);
    CHECK(shutdown.advance({0, 0, 1}, start + seconds(6)) == std::nullopt);
    CHECK(shutdown.advance(idle, start + seconds(7)) == ShutdownPhase::Done);
    CHECK(shutdown.advance(idle, start + seconds(8)) == std::nullopt);
}

TEST_CASE("a transaction that never ends does not hold the stop for ever")
{
    auto shutdown = GracefulShutdown(times);
    shutdown.begin(start);
    shutdown.begin(start + seconds(1));
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(2)) == ShutdownPhase::Finishing);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(11)) == std::nullopt);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(12)) == ShutdownPhase::Answering);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(21)) == std::nullopt);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(22)) == ShutdownPhase::Closing);
}

TEST_CASE("a request without an answer holds the stop until its end")
{
    // Failure: a request that an upstream has run is cut although the process has time left.
    auto shutdown = GracefulShutdown(times);
    shutdown.begin(start);
    for (const auto phase : {ShutdownPhase::Finishing, ShutdownPhase::Answering, ShutdownPhase::Closing}) {
        CHECK(shutdown.advance({1, 1, 1}, start + seconds(22)) == phase);
    }
    CHECK(shutdown.advance({1, 1, 1}, start + seconds(31)) == std::nullopt);
    CHECK(shutdown.advance({1, 1, 1}, start + seconds(32)) == ShutdownPhase::Done);
}

TEST_CASE("an open transaction has the first half of the grace")
{
    const auto ofGrace = ShutdownTimes::ofGrace(seconds(6));
    CHECK(ofGrace.answering == seconds(3));
    CHECK(ofGrace.finishing < ofGrace.answering);
    CHECK(ofGrace.answering < ofGrace.closing);
    CHECK(ofGrace.done <= seconds(6));
    const auto ofDrain = ShutdownTimes::ofDrain(seconds(2), seconds(30));
    CHECK(ofDrain.finishing == seconds(2));
    CHECK(ofDrain.answering > ofDrain.finishing);
    CHECK(ofDrain.closing > ofDrain.answering);
    CHECK(ofDrain.done == seconds(32));
}

} // namespace sapphirespool::proxy
