#include "world.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

auto servingWorld(std::uint32_t seed, Delays delays = {}) -> std::unique_ptr<World>
{
    auto world = std::make_unique<World>(seed, delays);
    REQUIRE(world->runUntilServed(5s));
    world->run(1s);
    return world;
}

auto cutFromProxies(FakeMember &member) -> void
{
    member.cutZones = {ZoneId("hobart"), ZoneId("launceston")};
}

} // namespace

// Failure: a new group serves only after an operator intervenes.
TEST_CASE("a group whose members send health reports gets a primary without operator action")
{
    auto world = World(1, {});
    CHECK(world.runUntilServed(2s));
    CHECK(world.record().view.term == Term(1));
    CHECK(world.termEnds() == std::vector<TermEnd>{TermEnd::First});
}

// Failure: after each loss of a control VM the new leader counts a primary without a health report as silent and replaces it.
TEST_CASE("a new control leader keeps a primary whose first health report has not arrived yet")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto world = servingWorld(seed);
        for (auto loss = 0; loss < 10; ++loss) {
            world->changeLeader(false);
            world->run(std::chrono::milliseconds(100 + loss * 30));
        }
        CHECK(world->record().view.term == Term(1));
    }
}

// Failure: a healthy group is promoted without a fault.
TEST_CASE("a healthy group keeps its primary")
{
    const auto world = servingWorld(1);
    world->run(120s);
    CHECK(world->record().view.term == Term(1));
}

// Failure: after the process of the primary has ended, writes are refused for longer than 3 s.
TEST_CASE("a stopped primary is replaced")
{
    const auto world = servingWorld(2);
    auto &stopped = *world->primary();
    stopped.running = false;
    CHECK(world->runUntilServed(3s));
    CHECK(world->record().view.term == Term(2));
    CHECK(world->primary() != &stopped);
}

// Failure: writes that a partitioned primary still accepts are acknowledged and then discarded.
TEST_CASE("no write is acknowledged through a primary that is partitioned from control and the members but reachable for proxies")
{
    // World checks each acknowledgement. After the partition the old primary follows and discards the end of its log.
    const auto world = servingWorld(3);
    auto &old = *world->primary();
    old.controlReaches = false;
    old.membersReach = false;
    CHECK(world->runUntilServed(3s));
    CHECK(old.role == platform::Role::Primary);
    const auto tail = old.log.size();
    world->run(2s);
    CHECK(old.log.size() > tail);
    world->heal();
    world->run(2s);
    CHECK(old.role == platform::Role::Replica);
    CHECK(old.term == world->record().view.term);
}

// Failure: the old primary answers its fence with the highest log, is chosen again, and the same zones suspect it again.
TEST_CASE("a primary that two zones cannot reach is replaced despite its health reports and is not chosen again")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto world = servingWorld(seed);
        auto &old = *world->primary();
        cutFromProxies(old);
        world->run(8s);
        CHECK(world->primary() != &old);
        CHECK(world->termEnds() == std::vector<TermEnd>{TermEnd::First, TermEnd::Suspected});
        CHECK(old.role == platform::Role::Replica);
    }
}

// Failure: a partition of one zone stops the writes of all zones.
TEST_CASE("a primary that only one zone cannot reach is kept")
{
    const auto world = servingWorld(5);
    world->primary()->cutZones = {ZoneId("hobart")};
    world->run(10s);
    CHECK(world->record().view.term == Term(1));
}

// Failure: a restarted primary that lost unsynced entries assigns positions of its term a second time.
TEST_CASE("a restarted primary does not continue its term")
{
    const auto world = servingWorld(6);
    auto &primary = *world->primary();
    world->restart(primary);
    world->run(1s);
    CHECK(world->runUntilServed(1s));
    CHECK(world->record().view.term == Term(2));
    CHECK(world->termEnds().back() == TermEnd::Restarted);
}

// Failure: the planned stop of a primary interrupts writes for as long as a failover, or loses acknowledged writes.
TEST_CASE("a leaving primary hands over once a replica has its whole log")
{
    const auto world = servingWorld(7);
    auto &old = *world->primary();
    const auto taken = old.log.size();
    old.leaving = true;
    CHECK(world->runUntilServed(1500ms));
    CHECK(world->termEnds().back() == TermEnd::Leaving);
    CHECK(world->primary() != &old);
    CHECK(world->primary()->log.size() >= taken);
}

// Failure: a term is ended without a live quorum, so that no primary can be chosen and the requests that were still served stop.
TEST_CASE("a group with only its primary left keeps it")
{
    const auto world = servingWorld(8);
    auto &primary = *world->primary();
    for (std::size_t place = 0; place < 3; ++place) {
        world->member(place).running = &world->member(place) == &primary;
    }
    world->run(2s);
    cutFromProxies(primary);
    world->run(10s);
    CHECK(world->record().view.term == Term(1));
}

// Failure: without backoff a network path that flaps four times a second causes a promotion every half second.
TEST_CASE("a flapping network path causes few promotions")
{
    // The paths from two zones to the current primary fail and recover in turn.
    const auto world = servingWorld(9);
    const auto before = world->termEnds().size();
    for (auto round = 0; round < 240; ++round) {
        auto *const primary = world->primary();
        if (primary != nullptr) {
            cutFromProxies(*primary);
        }
        world->run(125ms);
        world->heal();
        world->run(125ms);
    }
    CHECK(world->termEnds().size() - before <= 6);
}

// Failure: the loss of the control leader in the middle of a promotion stops the promotion or breaks a guarantee.
TEST_CASE("a promotion survives the loss of the control leader between any two steps")
{
    // The former leader either ends or continues to act as leader.
    const auto staysActive = GENERATE(false, true);
    const auto duplicated = GENERATE(0U, 50U);
    for (std::size_t step = 1; step <= 14; ++step) {
        CAPTURE(staysActive, duplicated, step);
        auto delays = Delays();
        delays.duplicated = duplicated;
        const auto world = servingWorld(static_cast<std::uint32_t>(step), delays);
        auto first = std::optional<std::size_t>();
        auto lost = false;
        world->afterAction = [&](std::size_t action) {
            first = first.value_or(action);
            if (!lost && action - *first + 1 == step) {
                lost = true;
                world->changeLeader(staysActive);
            }
        };
        world->primary()->running = false;
        CHECK(world->runUntilServed(5s));
        world->heal();
        world->run(3s);
        CHECK(world->runUntilServed(5s));
    }
}

// Failure: a second failover right after the first loses the writes acknowledged in between.
TEST_CASE("the loss of a new primary right after the first promotion causes a second one")
{
    const auto world = servingWorld(10);
    auto &first = *world->primary();
    first.running = false;
    REQUIRE(world->runUntilServed(3s));
    world->restart(first);
    world->run(500ms);
    auto &second = *world->primary();
    second.controlReaches = false;
    second.membersReach = false;
    CHECK(world->runUntilServed(7s));
    CHECK(world->primary() != &second);
}

// Failure: members refuse the orders of a control group that lost its state, because its terms are lower than theirs.
TEST_CASE("a control group without state begins above the terms of the members")
{
    auto world = World(11, {});
    for (std::size_t place = 0; place < 3; ++place) {
        world.member(place).term = Term(7);
        world.member(place).log.assign(place + 1, {Term(7), 0});
    }
    CHECK(world.runUntilServed(3s));
    CHECK(world.record().view.term == Term(8));
}

} // namespace sapphirespool::promotion
