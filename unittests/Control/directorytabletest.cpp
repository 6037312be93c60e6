#include "../../lib/Control/directorytable.h"

#include <catch2/catch.hpp>

#include <string>

namespace sapphirespool::control
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

auto entryOf(const std::string &vm, std::uint32_t groupSize = 3, bool leads = false) -> ControlVmEntry
{
    return {VmId(vm), ZoneId("z"), {"127.0.0.1", static_cast<std::uint16_t>(9000 + vm.back())}, consensus::ReplicaId(1), groupSize, leads};
}

auto announce(DirectoryTable &table, const ControlVmEntry &entry, TimePoint now, Duration age = {}) -> void
{
    const auto known = KnownControlVm{entry, age};
    table.learn(std::span(&known, 1), now);
}

} // namespace

// Failure: callers are sent to a control VM that is down or cut off for longer than it takes the others to replace it.
TEST_CASE("an entry that its control VM does not confirm is dropped")
{
    auto table = DirectoryTable(start);
    announce(table, entryOf("a"), start);
    announce(table, entryOf("b"), start);
    announce(table, entryOf("a"), start + 4s);
    CHECK(table.known(start + 4800ms).size() == 2);
    const auto left = table.known(start + 5s);
    REQUIRE(left.size() == 1);
    CHECK(left.front().entry.vm == VmId("a"));
}

// Failure: directories tell each other of a lost control VM and so keep it alive for ever.
TEST_CASE("directories do not refresh an entry for each other")
{
    auto first = DirectoryTable(start);
    auto second = DirectoryTable(start);
    announce(first, entryOf("a"), start);
    // Each message is under way for 50 ms.
    for (auto now = start; now < start + 6s; now += 200ms) {
        const auto told = first.known(now);
        second.learn(told, now + 50ms);
        const auto answered = second.known(now + 50ms);
        first.learn(answered, now + 100ms);
    }
    CHECK(first.known(start + 5s).empty());
    CHECK(second.known(start + 5s).empty());
}

TEST_CASE("what is newer replaces what was known of a control VM, and what is older does not")
{
    auto table = DirectoryTable(start);
    announce(table, entryOf("a", 1), start);
    announce(table, entryOf("a", 2), start + 2s, 1s);
    CHECK(table.known(start + 2s).front().entry.groupSize == 2);
    announce(table, entryOf("a", 1), start + 2s, 1900ms);
    CHECK(table.known(start + 2s).front().entry.groupSize == 2);
    CHECK(table.known(start + 2s).front().age == 1s + DirectoryTable::hopAge);
}

// Failure: control VMs that wait to be admitted displace those of the group, and callers no longer find it.
TEST_CASE("sixteen entries are kept, those in a group first")
{
    auto table = DirectoryTable(start);
    announce(table, entryOf("member"), start);
    for (auto number = 0; number < 40; ++number) {
        announce(table, entryOf("waiting-" + std::to_string(number), 0), start + 1s);
    }
    const auto known = table.known(start + 1s);
    REQUIRE(known.size() == DirectoryTable::maxEntries);
    CHECK(known.front().entry.vm == VmId("member"));
}

// Failure: callers are sent to a former leader behind a partition.
TEST_CASE("the leader is the one that announced itself last")
{
    auto table = DirectoryTable(start);
    CHECK_FALSE(table.leader(start));
    announce(table, entryOf("a", 3, true), start);
    announce(table, entryOf("b", 3, true), start + 1s);
    CHECK(table.leader(start + 1s) == entryOf("b").endpoint);
}

// Failure: a directory that was restarted says that there is no group before the group's VMs have announced themselves.
TEST_CASE("a directory says that there is no group only once it had time to learn of one")
{
    auto table = DirectoryTable(start);
    CHECK_FALSE(table.joinAnswer(start + 1400ms).empty);
    CHECK(table.joinAnswer(start + 1500ms).empty);
    announce(table, entryOf("waiting", 0), start + 1500ms);
    CHECK(table.joinAnswer(start + 1500ms).empty);
    CHECK(table.joinAnswer(start + 1500ms).members.empty());
    announce(table, entryOf("member", 1), start + 1500ms);
    const auto answer = table.joinAnswer(start + 1500ms);
    CHECK_FALSE(answer.empty);
    REQUIRE(answer.members.size() == 1);
    CHECK(answer.members.front().vm == VmId("member"));
}

// Failure: a group is founded although the directory's own connection to control has a lease of another one.
TEST_CASE("a lease proves that there is a group and names its VMs")
{
    auto table = DirectoryTable(start);
    table.noteLease({entryOf("a").endpoint}, start + 2s);
    CHECK_FALSE(table.joinAnswer(start + 2s).empty);
    CHECK(table.controlVms(start + 2s) == std::vector{entryOf("a").endpoint});
    CHECK(table.controlVms(start + 7s).empty());
}

TEST_CASE("directories that called are called back for five seconds")
{
    auto table = DirectoryTable(start);
    table.noteCaller({"127.0.0.1", 1}, start);
    table.noteCaller(Endpoint(), start);
    CHECK(table.callers(start + 4s).size() == 1);
    CHECK(table.callers(start + 5s).empty());
}

TEST_CASE("each control VM is reported once as listed and once as dropped")
{
    auto table = DirectoryTable(start);
    announce(table, entryOf("a"), start);
    const auto listed = table.takeChanges(start);
    REQUIRE(listed.size() == 1);
    CHECK(listed.front().isListed);
    announce(table, entryOf("a"), start + 1s);
    CHECK(table.takeChanges(start + 1s).empty());
    const auto dropped = table.takeChanges(start + 6s);
    REQUIRE(dropped.size() == 1);
    CHECK_FALSE(dropped.front().isListed);
    CHECK(dropped.front().vm == VmId("a"));
}

} // namespace sapphirespool::control
