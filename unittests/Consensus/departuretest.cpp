#include "Consensus/fakegroup.h"
#include "Consensus/replicafixture.h"
#include "sapphirespool/Consensus/repair.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <set>

namespace sapphirespool::consensus
{

namespace
{

using std::chrono::milliseconds;

auto member(std::uint64_t replica, const std::string &zone, bool voter) -> ControlMember
{
    return {VmId("vm" + std::to_string(replica)), {}, voter, ReplicaId(replica), ZoneId(zone)};
}

/// Three voters in three zones and a learner in the zone of the third one.
auto groupWithLearner() -> Members
{
    return {{member(1, "a", true), member(2, "b", true), member(3, "c", true), member(4, "c", false)}, true};
}

/// The condition that holds for \p replicas.
auto isOneOf(std::set<std::uint64_t> replicas) -> std::function<bool(ReplicaId)>
{
    return [replicas = std::move(replicas)](ReplicaId replica) {
        return replicas.contains(replica.value());
    };
}

/// The members \p replicas respond, and the others will not.
auto presenceOf(const std::set<std::uint64_t> &replicas) -> Presence
{
    return {isOneOf(replicas), isOneOf(replicas)};
}

auto rulesOf(std::set<std::uint64_t> stopping) -> RepairRules
{
    auto rules = RepairRules();
    rules.voters = 3;
    rules.members = 6;
    rules.spreadOverZones = true;
    rules.leader = ReplicaId(1);
    rules.stopping = isOneOf(std::move(stopping));
    return rules;
}

auto votersOf(const std::vector<ControlMember> &members) -> std::set<std::uint64_t>
{
    auto voters = std::set<std::uint64_t>();
    for (const auto &listed : members) {
        if (listed.voter) {
            voters.insert(listed.replica.value());
        }
    }
    return voters;
}

/// A planned replacement of VMs whose successors have caught up, with a loss that the group must bear at any moment of it.
struct Replacement
{
    FakeLayout layout;
    std::size_t stops;
    std::size_t losses;
};

/// Drops, duplicates and reorders some messages.
auto disturb(FakeGroup &group, std::mt19937_64 &random) -> void
{
    const auto pick = random();
    switch (random() % 8) {
    case 0:
        group.drop(pick);
        break;
    case 1:
        group.duplicate(pick);
        break;
    case 2:
        group.deliver(pick);
        break;
    case 3:
        group.propose(group.leaderIndex().value_or(0), static_cast<std::uint8_t>(pick));
        break;
    default:
        break;
    }
}

auto stoppingCount(FakeGroup &group) -> std::size_t
{
    auto count = std::size_t(0);
    for (auto index = std::size_t(0); index < group.size(); ++index) {
        count += group.vm(index).stopping && !group.vm(index).removed ? 1U : 0U;
    }
    return count;
}

/// Stops VMs and destroys disks at random times, and ends the stopping VMs after the grace at the latest.
auto playReplacement(const Replacement &replacement, std::uint64_t seed) -> void
{
    constexpr auto grace = milliseconds(5'000);
    constexpr auto step = milliseconds(20);
    auto random = std::mt19937_64(seed);
    auto group = FakeGroup(replacement.layout, seed);
    group.runWithoutFaults(milliseconds(1'500));
    for (auto round = 0; round < 20; ++round) {
        group.repair();
        group.runWithoutFaults(milliseconds(100));
    }
    // The VMs that stop are former voters, the leader among them at times; those that lose their disks are any others.
    auto order = std::vector<std::size_t>(replacement.layout.voters);
    for (auto index = std::size_t(0); index < order.size(); ++index) {
        order[index] = index;
    }
    std::shuffle(order.begin(), order.end(), random);
    auto stopTimes = std::vector<milliseconds>();
    for (auto stop = std::size_t(0); stop < replacement.stops; ++stop) {
        stopTimes.emplace_back(random() % 2 == 0 ? 0 : random() % 1'000);
    }
    auto lossTimes = std::vector<milliseconds>();
    for (auto loss = std::size_t(0); loss < replacement.losses; ++loss) {
        lossTimes.emplace_back(random() % 2'000);
    }
    for (auto now = milliseconds(0); now < milliseconds(1'000) + grace; now += step) {
        for (auto stop = std::size_t(0); stop < replacement.stops; ++stop) {
            if (now <= stopTimes[stop] && stopTimes[stop] < now + step) {
                group.stop(order[stop]);
            }
            if (now >= stopTimes[stop] + grace) {
                group.endStopping(order[stop]);
            }
        }
        for (auto loss = std::size_t(0); loss < replacement.losses; ++loss) {
            if (now <= lossTimes[loss] && lossTimes[loss] < now + step) {
                const auto remaining = replacement.layout.size - replacement.stops;
                const auto victim = (seed + loss) % remaining;
                group.destroyDisk(victim < order.size() - replacement.stops ? order[replacement.stops + victim] : victim + replacement.stops);
            }
        }
        group.repair();
        disturb(group, random);
        group.runWithoutFaults(step);
    }
    REQUIRE(stoppingCount(group) == 0);
    group.healAndCheck();
}

} // namespace

TEST_CASE("the vote of a stopping member goes to a learner before it goes away")
{
    // Failure: a voter that has ended for good is counted on, and the next lost disk ends the group.
    const auto all = isOneOf({1, 2, 3, 4});
    auto group = groupWithLearner();
    const auto rules = rulesOf({3});
    CHECK_FALSE(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 2, 3, 4}), rules));
    const auto promoted = nextMemberChange(group, {}, all, rules);
    REQUIRE(promoted);
    CHECK(votersOf(*promoted) == std::set<std::uint64_t>{1, 2, 3, 4});
    group.members = *promoted;
    CHECK_FALSE(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 2, 3, 4}), rules));
    const auto demoted = nextMemberChange(group, {}, all, rules);
    REQUIRE(demoted);
    CHECK(votersOf(*demoted) == std::set<std::uint64_t>{1, 2, 4});
    CHECK(demoted->size() == 4);
    group.members = *demoted;
    CHECK(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 2, 3, 4}), rules));
    CHECK_FALSE(nextMemberChange(group, {}, all, rules));
}

TEST_CASE("a VM that only restarts leaves the group as it is")
{
    // Failure: each restart takes a voter out of the group, or the stop waits for a successor that does not exist.
    auto group = groupWithLearner();
    group.members.pop_back();
    const auto rules = rulesOf({3});
    CHECK(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 2, 3}), rules));
    CHECK_FALSE(nextMemberChange(group, {}, isOneOf({1, 2, 3}), rules));
}

TEST_CASE("a stopping voter waits for a successor that catches up, and for a quorum without it")
{
    // Failure: the stop takes the quorum away, or comes a moment before the successor is ready.
    auto group = groupWithLearner();
    const auto rules = rulesOf({3});
    CHECK_FALSE(nextMemberChange(group, {}, isOneOf({}), rules));
    CHECK_FALSE(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 2, 3, 4}), rules));
    // The learner does not respond any more.
    CHECK(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 2, 3}), rules));
    CHECK_FALSE(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 3}), rules));
    // A leader that has just been elected does not know yet who is there.
    CHECK_FALSE(mayDepart(ReplicaId(3), group, {}, {isOneOf({1}), isOneOf({1, 2, 3})}, rules));
    CHECK_FALSE(mayDepart(ReplicaId(3), group, {}, {isOneOf({1, 2}), isOneOf({1, 2, 3, 4})}, rules));
    group.members.pop_back();
    const auto newcomer = std::vector<JoinRequest>{{VmId("vm4"), {}, ReplicaId(4), ZoneId("c")}};
    CHECK_FALSE(mayDepart(ReplicaId(3), group, newcomer, presenceOf({1, 2, 3}), rules));
}

TEST_CASE("a learner that is stopping takes no vote")
{
    // Failure: two VMs are replaced at once, and the vote of one goes to the other.
    auto group = groupWithLearner();
    const auto rules = rulesOf({3, 4});
    CHECK_FALSE(nextMemberChange(group, {}, isOneOf({1, 2, 3, 4}), rules));
    CHECK(mayDepart(ReplicaId(3), group, {}, presenceOf({1, 2, 3}), rules));
}

TEST_CASE("a voter that announced its end is replaced as soon as it is silent")
{
    // Failure: a successor that comes after the end of its predecessor waits until that counts as lost.
    auto rules = rulesOf({});
    rules.ended = isOneOf({3});
    const auto change = nextMemberChange(groupWithLearner(), {}, isOneOf({1, 2, 4}), rules);
    REQUIRE(change);
    CHECK(votersOf(*change) == std::set<std::uint64_t>{1, 2});
    // As a learner it is left alone: it may only restart.
    auto group = groupWithLearner();
    rules.ended = isOneOf({4});
    CHECK_FALSE(nextMemberChange(group, {}, isOneOf({}), rules));
}

TEST_CASE("the request of a replica to end counts until its VM is heard again")
{
    const auto begin = TimePoint(std::chrono::hours(1));
    const auto late = begin + Departures::requestLifetime + milliseconds(1);
    auto departures = Departures();
    departures.recordRequest(ReplicaId(3), begin);
    departures.recordRelease(ReplicaId(3));
    // Replies that were under way when it ended.
    departures.recordMessage(ReplicaId(3), begin + milliseconds(10));
    CHECK(departures.isStopping(ReplicaId(3), begin + milliseconds(10)));
    CHECK_FALSE(departures.hasEnded(ReplicaId(3), milliseconds(10), begin + milliseconds(10)));
    CHECK(departures.isReleased(ReplicaId(3)));
    CHECK_FALSE(departures.isStopping(ReplicaId(3), late));
    CHECK(departures.hasEnded(ReplicaId(3), late - begin, late));
    CHECK_FALSE(departures.hasEnded(ReplicaId(3), milliseconds(100), late));
    departures.recordMessage(ReplicaId(3), late);
    CHECK_FALSE(departures.isReleased(ReplicaId(3)));
    CHECK_FALSE(departures.hasEnded(ReplicaId(3), std::chrono::hours(1), late));
}

TEST_CASE("planned replacements with a lost disk at any moment lose no committed entry and leave a group that commits")
{
    // Failure: a voter that was stopped for good still counts when the next disk is lost, and the group has no quorum ever after.
    for (const auto &replacement : {Replacement{{4, 3, 3}, 1, 1}, Replacement{{5, 3, 3}, 2, 1}, Replacement{{9, 3, 5}, 2, 2}}) {
        for (auto seed = std::uint64_t(1); seed <= 120; ++seed) {
            INFO(replacement.layout.size << " VMs, seed " << seed);
            CHECK_NOTHROW(playReplacement(replacement, seed));
        }
    }
}

TEST_CASE("VMs that stop without a successor, one after the other, take no quorum away")
{
    // Failure: a stop while another voter is down leaves the group without a quorum although the stopping process had time to wait.
    for (auto seed = std::uint64_t(1); seed <= 40; ++seed) {
        auto group = FakeGroup({3, 3, 3}, seed);
        group.runWithoutFaults(milliseconds(1'500));
        const auto down = seed % 3;
        group.crash(down, 0);
        group.runWithoutFaults(milliseconds(1'500));
        const auto stopping = (down + 1 + seed / 3 % 2) % 3;
        group.stop(stopping);
        for (auto round = 0; round < 30; ++round) {
            group.repair();
            group.runWithoutFaults(milliseconds(50));
        }
        CHECK(group.vm(stopping).core != nullptr);
        group.restart(down);
        for (auto round = 0; round < 40; ++round) {
            group.repair();
            group.runWithoutFaults(milliseconds(50));
        }
        CHECK(group.vm(stopping).core == nullptr);
        CHECK(group.leaderIndex().has_value());
        group.vm(stopping).removed = false;
        CHECK_NOTHROW(group.healAndCheck());
    }
}

TEST_CASE("a leader that stops hands the leadership over at once")
{
    // Failure: each planned stop of the leader costs an election timeout.
    constexpr auto seeds = 20;
    auto total = milliseconds(0);
    for (auto seed = std::uint64_t(1); seed <= seeds; ++seed) {
        auto group = FakeGroup({3, 3, 3}, seed);
        group.runWithoutFaults(milliseconds(1'500));
        const auto former = *group.leaderIndex();
        group.stop(former);
        while (group.leaderIndex().value_or(former) == former && total < milliseconds(60'000)) {
            group.runWithoutFaults(milliseconds(10));
            total += milliseconds(10);
        }
        CHECK(group.vm(former).core->role() != CoreRole::Leader);
    }
    // Without it the others wait for an election timeout of 300 to 600 ms.
    CHECK(total / seeds < milliseconds(250));
}

TEST_CASE("over real connections a stopping VM ends when its vote has gone to the learner, and the next lost disk is borne")
{
    // Failure: as in the random schedules, with the requests to leave on the wire.
    const auto stopsLeader = GENERATE(false, true);
    auto group = ReplicaFixture(4, 1);
    group.startAll();
    REQUIRE(group.commit(1, milliseconds(10'000)));
    const auto hasLearner = [&group] {
        return group.leader() != nullptr && group.leader()->replica->members().size() == 4 && group.voters() == 3;
    };
    REQUIRE(group.runUntil(hasLearner, milliseconds(10'000)));
    auto *const leader = group.leader();
    const auto members = leader->replica->members();
    const auto isVoter = [&members](const ControlVm &vm) {
        return std::any_of(members.begin(), members.end(), [&vm](const ControlMember &listed) {
            return listed.vm == vm.vm && listed.voter;
        });
    };
    auto &stopping = stopsLeader ? *leader : *std::find_if(group.vms.begin(), group.vms.end(), [leader, &isVoter](const ControlVm &vm) {
        return &vm != leader && isVoter(vm);
    });
    auto mayEnd = false;
    stopping.replica->depart([&mayEnd] {
        mayEnd = true;
    });
    REQUIRE(group.runUntil(
        [&mayEnd] {
            return mayEnd;
        },
        milliseconds(5'000)));
    group.stop(stopping);
    auto &lost = *std::find_if(group.vms.begin(), group.vms.end(), [&stopping, &isVoter](const ControlVm &vm) {
        return &vm != &stopping && isVoter(vm);
    });
    group.stop(lost);
    std::filesystem::remove_all(lost.folder);
    CHECK(group.commit(2, milliseconds(10'000)));
    group.start(lost);
    CHECK(group.commit(3, milliseconds(10'000)));
}

} // namespace sapphirespool::consensus
