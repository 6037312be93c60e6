#include "sapphirespool/Consensus/repair.h"

#include "sapphirespool/Consensus/voterplacement.h"

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

auto demoted(const MemberList &members, ReplicaId replica) -> MemberList
{
    auto next = members;
    for (auto &member : next) {
        member.voter = member.voter && member.replica != replica;
    }
    return next;
}

/// Removes \p lost and lists \p replacement as the first learner, so that it is preferred over others from zones with as few voters.
auto replaced(const MemberList &members, ReplicaId lost, const ControlMember &replacement) -> MemberList
{
    auto next = without(without(members, lost), replacement.replica);
    const auto firstLearner = std::find_if(next.begin(), next.end(), [](const ControlMember &member) {
        return !member.voter;
    });
    next.insert(firstLearner, replacement);
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

auto holds(const std::function<bool(ReplicaId)> &condition, ReplicaId replica) -> bool
{
    return condition && condition(replica);
}

auto lostVoter(const MemberList &members, const RepairRules &rules) -> const ControlMember *
{
    const auto found = std::find_if(members.begin(), members.end(), [&rules](const ControlMember &member) {
        return member.voter && (holds(rules.lost, member.replica) || holds(rules.ended, member.replica));
    });
    return found == members.end() ? nullptr : &*found;
}

/// One that has ended is not removed before it counts as lost: a VM that restarts comes back as a learner at once.
auto lostLearner(const MemberList &members, const RepairRules &rules) -> const ControlMember *
{
    const auto found = std::find_if(members.begin(), members.end(), [&rules](const ControlMember &member) {
        return !member.voter && holds(rules.lost, member.replica);
    });
    return found == members.end() ? nullptr : &*found;
}

auto stoppingVoter(const MemberList &members, const RepairRules &rules) -> const ControlMember *
{
    const auto found = std::find_if(members.begin(), members.end(), [&rules](const ControlMember &member) {
        return member.voter && holds(rules.stopping, member.replica);
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
        if (const auto *const lost = lostVoter(members, rules)) {
            return without(members, lost->replica);
        }
    }
    return std::nullopt;
}

/// \return the members without a former replica of a VM whose new one has caught up
auto withoutFormerReplica(const MemberList &members, const std::function<bool(ReplicaId)> &caughtUp) -> std::optional<MemberList>
{
    for (const auto &member : members) {
        const auto *const former = member.voter || !caughtUp(member.replica) ? nullptr : formerReplica(members, member);
        if (former != nullptr) {
            return without(members, former->replica);
        }
    }
    return std::nullopt;
}

auto changeWithSurplus(const MemberList &members, const RepairRules &rules) -> std::optional<MemberList>
{
    // Before a lost one, which may return with its disk.
    if (const auto *const stopping = stoppingVoter(members, rules)) {
        return demoted(members, stopping->replica);
    }
    if (const auto *const lost = lostVoter(members, rules)) {
        return without(members, lost->replica);
    }
    // It remains a learner, so that it is at hand when a voter of its zone is lost.
    const auto *const surplus = surplusVoter(members, rules.leader);
    return surplus == nullptr ? std::nullopt : std::optional(demoted(members, surplus->replica));
}

auto changeAtTarget(const MemberList &members, const IsCandidate &isCandidate, const RepairRules &rules) -> std::optional<MemberList>
{
    if (const auto *const stopping = stoppingVoter(members, rules)) {
        if (const auto *const replacement = replacementOf(*stopping, members, isCandidate)) {
            return promoted(members, replacement->replica);
        }
    }
    if (const auto *const lost = lostVoter(members, rules)) {
        if (const auto *const replacement = replacementOf(*lost, members, isCandidate)) {
            return replaced(members, lost->replica, *replacement);
        }
    }
    const auto *const learner = balancingVoter(members, isCandidate);
    return learner == nullptr ? std::nullopt : std::optional(promoted(members, learner->replica));
}

auto changeInZones(const MemberList &members, const std::function<bool(ReplicaId)> &caughtUp, const RepairRules &rules) -> std::optional<MemberList>
{
    const auto isCandidate = [&members, &caughtUp, &rules](const ControlMember &member) {
        return !member.voter && caughtUp(member.replica) && formerReplica(members, member) == nullptr && !holds(rules.stopping, member.replica);
    };
    const auto voters = voterCount(members);
    if (voters < rules.voters) {
        // Before another former replica is removed: with several lost disks the voters would otherwise become so few that a quorum of
        // them holds an entry on fewer disks than the promised losses may destroy.
        if (const auto *const learner = nextVoter(members, isCandidate)) {
            return promoted(members, learner->replica);
        }
    }
    if (auto change = withoutFormerReplica(members, caughtUp)) {
        return change;
    }
    if (voters > rules.voters) {
        return changeWithSurplus(members, rules);
    }
    return voters == rules.voters ? changeAtTarget(members, isCandidate, rules) : std::nullopt;
}

/// \return the request to admit next: the first one, or the first one from the zone with the fewest members
auto nextRequest(const MemberList &members, std::span<const JoinRequest> requests, bool spreadOverZones) -> const JoinRequest *
{
    const JoinRequest *next = nullptr;
    for (const auto &request : requests) {
        if (contains(members, request.replica)) {
            continue;
        }
        if (next == nullptr || (spreadOverZones && memberCount(members, request.zone) < memberCount(members, next->zone))) {
            next = &request;
        }
    }
    return next;
}

auto changeForRequest(const MemberList &members, const JoinRequest &request, const RepairRules &rules) -> std::optional<MemberList>
{
    if (members.size() >= rules.members) {
        const auto *const surplus = rules.spreadOverZones ? surplusLearner(members, request.zone) : nullptr;
        return surplus == nullptr ? std::nullopt : std::optional(without(members, surplus->replica));
    }
    auto next = members;
    // A learner of the same VM belongs to a disk that was lost before the learner was promoted.
    std::erase_if(next, [&request](const ControlMember &member) {
        return member.vm == request.vm && !member.voter;
    });
    next.push_back(ControlMember{request.vm, request.endpoint, false, request.replica, request.zone});
    return next;
}

} // namespace

auto nextMemberChange(const Members &group, std::span<const JoinRequest> requests, const std::function<bool(ReplicaId)> &caughtUp, const RepairRules &rules)
    -> std::optional<std::vector<ControlMember>>
{
    auto change = rules.spreadOverZones ? changeInZones(group.members, caughtUp, rules) : changeForLearner(group.members, caughtUp, rules);
    if (change) {
        return change;
    }
    if (const auto *const lost = lostLearner(group.members, rules)) {
        return without(group.members, lost->replica);
    }
    const auto *const request = nextRequest(group.members, requests, rules.spreadOverZones);
    return request == nullptr ? std::nullopt : changeForRequest(group.members, *request, rules);
}

auto mayDepart(ReplicaId replica, const Members &group, std::span<const JoinRequest> requests, const Presence &presence, const RepairRules &rules) -> bool
{
    const auto &members = group.members;
    const auto isVoter = std::any_of(members.begin(), members.end(), [replica](const ControlMember &member) {
        return member.voter && member.replica == replica;
    });
    if (!isVoter) {
        return true;
    }
    const auto remaining = std::count_if(members.begin(), members.end(), [replica, &presence](const ControlMember &member) {
        return member.voter && member.replica != replica && presence.certain(member.replica);
    });
    if (static_cast<std::size_t>(remaining) < voterCount(members) / 2 + 1) {
        return false;
    }
    if (!rules.spreadOverZones) {
        return true;
    }
    const auto hasSuccessor = std::any_of(members.begin(), members.end(), [&members, &presence](const ControlMember &member) {
        return !member.voter && presence.possible(member.replica) && formerReplica(members, member) == nullptr;
    });
    const auto hasNewcomer = std::any_of(requests.begin(), requests.end(), [&members](const JoinRequest &request) {
        return std::none_of(members.begin(), members.end(), [&request](const ControlMember &member) {
            return member.vm == request.vm;
        });
    });
    return !hasSuccessor && !hasNewcomer && voterCount(members) <= rules.voters;
}

} // namespace sapphirespool::consensus
