#include "../../lib/Consensus/codec.h"

#include "Consensus/fakegroup.h"

#include <capnp/message.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <set>

namespace sapphirespool::consensus
{

namespace
{

using std::chrono::milliseconds;

constexpr auto schedules = std::uint64_t{20};

/// A group that has a leader.
auto makeGroup(std::size_t size, std::uint64_t seed) -> FakeGroup
{
    auto group = FakeGroup(fixedList(size), seed);
    group.runWithoutFaults(milliseconds(1500));
    REQUIRE(group.leaderIndex().has_value());
    return group;
}

/// Proposes \p value to the leader again and again until one more entry is committed.
/// \return how long that took, at most \p limit
auto commitTime(FakeGroup &group, std::uint8_t value, milliseconds limit) -> milliseconds
{
    constexpr auto step = milliseconds(20);
    const auto before = group.committedCount();
    auto passed = milliseconds(0);
    while (group.committedCount() == before && passed < limit) {
        group.propose(group.leaderIndex().value_or(0), value);
        group.runWithoutFaults(step);
        passed += step;
    }
    return passed;
}

/// Runs until another VM than \p former leads.
/// \return how long that took, at most two seconds
auto timeToOtherLeader(FakeGroup &group, std::size_t former) -> milliseconds
{
    constexpr auto step = milliseconds(10);
    auto passed = milliseconds(0);
    while (passed < milliseconds(2000) && group.leaderIndex().value_or(former) == former) {
        group.runWithoutFaults(step);
        passed += step;
    }
    return passed;
}

} // namespace

// Guards against accepted changes that come into force only when the disk of the leader has space again.
TEST_CASE("a leader whose disk is full is replaced, and the group goes on")
{
    // 400 ms until the write counts as stalled, at most two heartbeat intervals until the first campaign, and seven hops of 10 ms each.
    // Without the message of the leader the others wait for an election timeout of 300 to 600 ms.
    constexpr auto expected = milliseconds(600);
    auto total = milliseconds(0);
    for (const auto size : {std::size_t{3}, std::size_t{5}}) {
        for (auto seed = std::uint64_t(1); seed <= schedules; ++seed) {
            auto group = makeGroup(size, seed);
            const auto first = *group.leaderIndex();
            group.setDisk(first, DiskCondition::Full);
            group.propose(first, 1);
            total += timeToOtherLeader(group, first);
            CHECK(group.resignationCount() == size - 1);
            CHECK(commitTime(group, 2, milliseconds(200)) < milliseconds(200));
            group.healAndCheck();
        }
    }
    CHECK(total / static_cast<int>(2 * schedules) < expected);
}

// Guards against two control VMs that serve requests at the same time, because old messages free votes for which a new lease stands.
TEST_CASE("resignations that arrive when their sender leads again free no votes")
{
    for (auto seed = std::uint64_t(1); seed <= 10 * schedules; ++seed) {
        auto group = makeGroup(3, seed);
        auto resigned = std::set<std::size_t>();
        // Each round replaces the leader, until one leads that resigned before.
        while (!resigned.contains(*group.leaderIndex())) {
            const auto leader = *group.leaderIndex();
            resigned.insert(leader);
            group.setDisk(leader, DiskCondition::Full);
            group.propose(leader, 1);
            REQUIRE(timeToOtherLeader(group, leader) < milliseconds(2000));
            group.setDisk(leader, DiskCondition::Works);
            group.runWithoutFaults(milliseconds(500));
            REQUIRE(group.leaderIndex().has_value());
        }
        group.repeatResignations();
        // The lease of the leader goes on for a while; another leader within that time violates an invariant.
        group.isolate(*group.leaderIndex());
        CHECK_NOTHROW(group.runWithoutFaults(milliseconds(250)));
        group.healAndCheck();
    }
}

// Guards against accepted changes that are not in force after several disks were full, one after the other.
TEST_CASE("a group accepts changes while one disk after the other is full")
{
    for (auto seed = std::uint64_t(1); seed <= schedules; ++seed) {
        auto group = makeGroup(3, seed);
        for (auto disk = std::uint8_t(0); disk < 3; ++disk) {
            const auto full = disk < 2 ? *group.leaderIndex() : (*group.leaderIndex() + 1) % 3;
            group.setDisk(full, DiskCondition::Full);
            for (auto change = 0; change < 4; ++change) {
                CHECK(commitTime(group, disk, milliseconds(1000)) < milliseconds(1000));
                group.runWithoutFaults(milliseconds(1000));
            }
            group.setDisk(full, DiskCondition::Works);
            group.runWithoutFaults(milliseconds(500));
        }
        group.healAndCheck();
    }
}

// Guards against a group that changes its leader for nothing while all its disks are full, and against the loss of what waits for them.
TEST_CASE("a leader keeps its leadership when it is the only voter or all disks are full")
{
    for (const auto size : {std::size_t{1}, std::size_t{3}}) {
        for (auto seed = std::uint64_t(1); seed <= schedules; ++seed) {
            auto group = makeGroup(size, seed);
            const auto first = *group.leaderIndex();
            const auto term = group.vm(first).core->term();
            for (auto index = std::size_t(0); index < size; ++index) {
                group.setDisk(index, DiskCondition::Full);
            }
            const auto before = group.committedCount();
            group.propose(first, 1);
            group.runWithoutFaults(milliseconds(4000));
            CHECK(group.leaderIndex() == first);
            CHECK(group.vm(first).core->term() == term);
            CHECK(group.resignationCount() == 0);
            CHECK(group.committedCount() == before);
            for (auto index = std::size_t(0); index < size; ++index) {
                group.setDisk(index, DiskCondition::Works);
            }
            group.runWithoutFaults(milliseconds(500));
            CHECK(group.committedCount() == before + 1);
            group.healAndCheck();
        }
    }
}

// Guards against a resignation that another control VM takes for a message of another kind.
TEST_CASE("a resignation is read as it was written")
{
    auto builder = capnp::MallocMessageBuilder();
    auto out = builder.initRoot<schema::Message>();
    write(Message(Resigned{ElectionTerm(7)}), out);
    const auto message = read(out.asReader());
    REQUIRE(std::holds_alternative<Resigned>(message));
    CHECK(std::get<Resigned>(message).term == ElectionTerm(7));
}

// Guards against a lost leader that is replaced only some time after its successor's election, instead of after its own loss.
TEST_CASE("a VM that was lost with the leadership counts as lost since its last message")
{
    auto group = makeGroup(3, 1);
    const auto former = *group.leaderIndex();
    const auto replica = group.vm(former).replica;
    group.crash(former, 0);
    const auto passed = timeToOtherLeader(group, former);
    REQUIRE(group.leaderIndex().has_value());
    const auto silence = group.vm(*group.leaderIndex()).core->timeSinceContact(replica);
    CHECK(silence > passed - milliseconds(120));
}

} // namespace sapphirespool::consensus
