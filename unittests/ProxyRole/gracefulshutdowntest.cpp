#include "sapphirespool/ProxyRole/gracefulshutdown.h"

#include <catch2/catch.hpp>

namespace sapphirespool::proxy
{

namespace
{

using std::chrono::seconds;

constexpr auto start = TimePoint{};
constexpr auto idle = RunningWork{};

} // namespace

TEST_CASE("a stop goes unready first, then waits for what runs, then for answers on their way")
{
    auto shutdown = GracefulShutdown(seconds(2), seconds(30));
    CHECK(shutdown.advance(idle, start) == std::nullopt);
    shutdown.begin(start);
    CHECK(shutdown.phase() == ShutdownPhase::Unready);
    CHECK(shutdown.advance(idle, start + seconds(1)) == std::nullopt);
    CHECK(shutdown.advance({1, 1, 1}, start + seconds(2)) == ShutdownPhase::Finishing);
    CHECK(shutdown.advance({1, 0, 1}, start + seconds(3)) == std::nullopt);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(4)) == std::nullopt);
    CHECK(shutdown.advance({0, 0, 1}, start + seconds(5)) == ShutdownPhase::Closing);
    CHECK(shutdown.advance({0, 0, 1}, start + seconds(6)) == std::nullopt);
    CHECK(shutdown.advance(idle, start + seconds(7)) == ShutdownPhase::Done);
    CHECK(shutdown.advance(idle, start + seconds(8)) == std::nullopt);
}

TEST_CASE("a transaction that never ends does not hold the stop for ever")
{
    auto shutdown = GracefulShutdown(seconds(2), seconds(30));
    shutdown.begin(start);
    shutdown.begin(start + seconds(1));
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(2)) == ShutdownPhase::Finishing);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(31)) == std::nullopt);
    CHECK(shutdown.advance({0, 1, 0}, start + seconds(32)) == ShutdownPhase::Closing);
}

} // namespace sapphirespool::proxy
