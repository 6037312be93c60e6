#include "world.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

auto served(std::uint32_t seed, Delays delays = {}) -> std::unique_ptr<World>
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

TEST_CASE("a group that announces itself gets a primary without an order")
{
    auto world = World(1, {});
    CHECK(world.runUntilServed(2s));
    CHECK(world.record().view.term == Term(1));
    CHECK(world.termEnds() == std::vector<TermEnd>{TermEnd::First});
}

TEST_CASE("a new control leader replaces no primary that it has not heard of yet")
{
    // Control VMs are lost one after the other while the group is well. The new leader hears the replicas first; did it take the
    // primary for silent, callers would see a gap at each loss of a control VM.
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto world = served(seed);
        for (auto loss = 0; loss < 10; ++loss) {
            world->changeLeader(false);
            world->run(std::chrono::milliseconds(100 + loss * 30));
        }
        CHECK(world->record().view.term == Term(1));
    }
}

TEST_CASE("a quiet group keeps its primary")
{
    const auto world = served(1);
    world->run(120s);
    CHECK(world->record().view.term == Term(1));
}

TEST_CASE("a stopped primary is replaced")
{
    // Callers see writes refused while there is no primary. The primary's process ends; its announcements stay away and two zones
    // suspect it; the other two members are fenced, the higher one is promoted and the other follows it.
    const auto world = served(2);
    auto &stopped = *world->primary();
    stopped.running = false;
    CHECK(world->runUntilServed(3s));
    CHECK(world->record().view.term == Term(2));
    CHECK(world->primary() != &stopped);
}

TEST_CASE("a primary that is cut off from control and the members but still answers proxies acknowledges nothing more")
{
    // The old primary goes on taking writes of proxies that reach it. Its announcements stay away, the others are fenced and go on
    // without it; no second member confirms its writes, so that its proxies never acknowledge them. After the cut it follows and
    // drops its tail.
    const auto world = served(3);
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

TEST_CASE("a primary that two zones cannot reach is replaced though it announces itself, and is not chosen again")
{
    // The old primary answers its fence and has the highest log. Were it chosen, the same zones would suspect it again.
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto world = served(seed);
        auto &old = *world->primary();
        cutFromProxies(old);
        world->run(8s);
        CHECK(world->primary() != &old);
        CHECK(world->termEnds() == std::vector<TermEnd>{TermEnd::First, TermEnd::Suspected});
        CHECK(old.role == platform::Role::Replica);
    }
}

TEST_CASE("a primary that one zone cannot reach stays")
{
    const auto world = served(5);
    world->primary()->cutZones = {ZoneId("hobart")};
    world->run(10s);
    CHECK(world->record().view.term == Term(1));
}

TEST_CASE("a restarted primary does not go on in its term")
{
    // The primary's process ends and comes back at once, from its disk. Whether all of its answers had been synced is not known to
    // control; the highest log of a fenced majority goes on, so that no position of the term is given out a second time.
    const auto world = served(6);
    auto &primary = *world->primary();
    world->restart(primary);
    world->run(1s);
    CHECK(world->runUntilServed(1s));
    CHECK(world->record().view.term == Term(2));
    CHECK(world->termEnds().back() == TermEnd::Restarted);
}

TEST_CASE("a leaving primary hands over once another member holds all that it holds")
{
    // An operator stops the primary's VM. It announces that it leaves; proxies send it no new work; once its position is quiet and a
    // replica has reached it, the replica becomes primary. No write is lost and the gap is a fraction of a second.
    const auto world = served(7);
    auto &old = *world->primary();
    const auto taken = old.log.size();
    old.leaving = true;
    CHECK(world->runUntilServed(1500ms));
    CHECK(world->termEnds().back() == TermEnd::Leaving);
    CHECK(world->primary() != &old);
    CHECK(world->primary()->log.size() >= taken);
}

TEST_CASE("a group of which only the primary is left keeps it")
{
    const auto world = served(8);
    auto &primary = *world->primary();
    for (std::size_t place = 0; place < 3; ++place) {
        world->member(place).running = &world->member(place) == &primary;
    }
    world->run(2s);
    cutFromProxies(primary);
    world->run(10s);
    CHECK(world->record().view.term == Term(1));
}

TEST_CASE("a flapping link does not cause a storm of promotions")
{
    // The way from two zones to whichever member is primary fails and comes back four times a second. Each promotion stops the
    // writes; without a pause there would be one every half second.
    const auto world = served(9);
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

TEST_CASE("the control leader is lost between any two steps of a promotion")
{
    // The primary stops; after each single action of the control leader in turn it is lost and another VM leads, once ending the
    // former leader, once leaving it in the belief that it leads. Callers see the gap and nothing else.
    const auto believes = GENERATE(false, true);
    const auto doubled = GENERATE(0U, 50U);
    for (std::size_t step = 1; step <= 14; ++step) {
        CAPTURE(believes, doubled, step);
        auto delays = Delays();
        delays.doubled = doubled;
        const auto world = served(static_cast<std::uint32_t>(step), delays);
        auto first = std::optional<std::size_t>();
        auto lost = false;
        world->afterAction = [&](std::size_t action) {
            first = first.value_or(action);
            if (!lost && action - *first + 1 == step) {
                lost = true;
                world->changeLeader(believes);
            }
        };
        world->primary()->running = false;
        CHECK(world->runUntilServed(5s));
        world->heal();
        world->run(3s);
        CHECK(world->runUntilServed(5s));
    }
}

TEST_CASE("a second primary is lost right after the first was replaced")
{
    // The new primary is cut off as soon as it serves, when the first one has just come back. Callers see a second gap; the writes
    // acknowledged in between are all there.
    const auto world = served(10);
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

TEST_CASE("control whose state was lost starts above the terms that members have seen")
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
