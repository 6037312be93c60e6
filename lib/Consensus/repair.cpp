#include "sapphirespool/Consensus/repair.h"

#include <algorithm>

namespace sapphirespool::consensus
{

namespace
{

using MemberList = std::vector<ControlMember>;

auto without(const MemberList &members, ReplicaId replica) -> MemberList
{
    auto rest = members;
    std::erase_if(rest, [replica](const ControlMember &member) {
        return member.replica == replica;
    });
    return rest;
}

/// \return the replica that the VM of \p member ran before its disk was lost, if it is still listed
auto formerReplica(const MemberList &members, const ControlMember &member) -> const ControlMember *
{
    const auto found = std::find_if(members.begin(), members.end(), [&member](const ControlMember &other) {
        return other.vm == member.vm && other.replica != member.replica;
    });
    return found == members.end() ? nullptr : &*found;
}

auto promoted(const MemberList &members, ReplicaId replica) -> MemberList
{
    auto next = members;
    for (auto &member : next) {
        member.voter = member.voter || member.replica == replica;
    }
    return next;
}

auto contains(const MemberList &members, ReplicaId replica) -> bool
{
    return std::any_of(members.begin(), members.end(), [replica](const ControlMember &member) {
        return member.replica == replica;
    });
}

auto voterCount(const MemberList &members) -> std::size_t
{
    const auto count = std::count_if(members.begin(), members.end(), [](const ControlMember &member) {
        return member.voter;
    });
    return static_cast<std::size_t>(count);
}

/// \return a lost member whose voter flag equals \p voter
auto lostMember(const MemberList &members, bool voter, const RepairRules &rules) -> const ControlMember *
{
    if (!rules.lost) {
        return nullptr;
    }
    const auto found = std::find_if(members.begin(), members.end(), [voter, &rules](const ControlMember &member) {
        return member.voter == voter && rules.lost(member.replica);
    });
    return found == members.end() ? nullptr : &*found;
}

auto changeForLearner(const MemberList &members, const std::function<bool(ReplicaId)> &caughtUp, const RepairRules &rules) -> std::optional<MemberList>
{
    for (const auto &member : members) {
        if (member.voter || !caughtUp(member.replica)) {
            continue;
        }
        if (const auto *const former = formerReplica(members, member)) {
            return without(members, former->replica);
        }
        if (voterCount(members) < rules.voters) {
            return promoted(members, member.replica);
        }
        if (const auto *const lost = lostMember(members, true, rules)) {
            return without(members, lost->replica);
        }
    }
    return std::nullopt;
}

} // namespace

auto nextMemberChange(const Members &group, std::span<const JoinRequest> requests, const std::function<bool(ReplicaId)> &caughtUp, const RepairRules &rules)
    -> std::optional<std::vector<ControlMember>>
{
    if (auto change = changeForLearner(group.members, caughtUp, rules)) {
        return change;
    }
    if (const auto *const lost = lostMember(group.members, false, rules)) {
        return without(group.members, lost->replica);
    }
    for (const auto &request : requests) {
        if (contains(group.members, request.replica) || group.members.size() >= rules.members) {
            continue;
        }
        auto next = group.members;
        // A learner of the same VM belongs to a disk that was lost before the learner was promoted.
        std::erase_if(next, [&request](const ControlMember &member) {
            return member.vm == request.vm && !member.voter;
        });
        next.push_back(ControlMember{request.vm, request.endpoint, false, request.replica});
        return next;
    }
    return std::nullopt;
}

} // namespace sapphirespool::consensus
