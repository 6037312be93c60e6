#include "sapphirespool/Consensus/repair.h"

#include "../../lib/Consensus/formation.h"

#include <catch2/catch.hpp>

namespace sapphirespool::consensus
{

namespace
{

auto makeMember(std::uint64_t replica, bool voter) -> ControlMember
{
    return {VmId("vm-" + std::to_string(replica)), {}, voter, ReplicaId(replica)};
}

auto alwaysCaughtUp(ReplicaId) -> bool
{
    return true;
}

} // namespace

TEST_CASE("a learner replaces a lost voter only")
{
    // A control VM is replaced by one at another address. If the lost VM remained a voter, it would still count towards the quorum size, and
    // the group would lose its quorum with the next lost VM.
    auto group = Members{{makeMember(1, true), makeMember(2, true), makeMember(3, true), makeMember(4, false)}, true};
    auto rules = RepairRules();
    rules.voters = 3;
    rules.lost = [](ReplicaId) {
        return false;
    };
    CHECK_FALSE(nextMemberChange(group, {}, alwaysCaughtUp, rules));
    rules.lost = [](ReplicaId replica) {
        return replica == ReplicaId(2);
    };
    const auto withoutLostVoter = nextMemberChange(group, {}, alwaysCaughtUp, rules);
    REQUIRE(withoutLostVoter);
    CHECK(withoutLostVoter->size() == 3);
    group.members = *withoutLostVoter;
    const auto promoted = nextMemberChange(group, {}, alwaysCaughtUp, rules);
    REQUIRE(promoted);
    CHECK(promoted->back().voter);
}

TEST_CASE("a lost learner is removed, and join requests beyond the group size wait")
{
    const auto group = Members{{makeMember(1, true), makeMember(2, false)}, true};
    auto rules = RepairRules();
    rules.lost = [](ReplicaId replica) {
        return replica == ReplicaId(2);
    };
    const auto caughtUp = [](ReplicaId) {
        return false;
    };
    const auto change = nextMemberChange(group, {}, caughtUp, rules);
    REQUIRE(change);
    CHECK(change->size() == 1);
    rules.lost = nullptr;
    rules.members = 2;
    const auto request = JoinRequest{VmId("vm-3"), {}, ReplicaId(3)};
    CHECK_FALSE(nextMemberChange(group, std::span(&request, 1), caughtUp, rules));
}

TEST_CASE("a VM that may not found a group founds none, and unlisted VMs join only if that is allowed")
{
    // All control VMs but one lost their disks, and that one is down. The others have no log; founding a new group would lose all
    // acknowledged changes.
    const auto members = std::vector{ControlMember{VmId("a"), {}, true, {}}, ControlMember{VmId("b"), {}, true, {}}};
    auto withoutFounding = GroupFormation(VmId("a"), members, false, true);
    withoutFounding.recordAnswer(VmId("b"), true);
    CHECK_FALSE(withoutFounding.shouldFound());
    auto first = GroupFormation(VmId("a"), members, true, true);
    first.recordAnswer(VmId("b"), true);
    CHECK(first.shouldFound());
    const auto request = JoinRequest{VmId("new"), {}, ReplicaId(9)};
    first.recordRequest(request, Members(), TimePoint());
    CHECK(first.requests(TimePoint()).size() == 1);
    auto closed = GroupFormation(VmId("a"), members);
    closed.recordRequest(request, Members(), TimePoint());
    CHECK(closed.requests(TimePoint()).empty());
}

} // namespace sapphirespool::consensus
