// repair.h: chooses the next membership change that replaces lost replicas by available control VMs.
#pragma once

#include "sapphirespool/Consensus/messages.h"

#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace sapphirespool::consensus
{

/// Sent repeatedly by a VM with an empty data folder until it is a member of the group.
struct JoinRequest
{
    VmId vm;
    Endpoint endpoint;
    ReplicaId replica;
    ZoneId zone{};
};

/// Target size of the group and the condition for replacing a member.
struct RepairRules
{
    /// Maximum number of voters.
    std::size_t voters = std::numeric_limits<std::size_t>::max();
    /// Maximum number of members, learners included.
    std::size_t members = std::numeric_limits<std::size_t>::max();
    /// Whether a member has been unresponsive for so long that another one should replace it; empty if members are never replaced.
    std::function<bool(ReplicaId)> lost;
    /// Whether a member is about to end, so that a learner should take its vote before; empty if votes are not handed over.
    std::function<bool(ReplicaId)> stopping;
    /// Whether a voter has ended after it announced that; it is replaced like one that is lost.
    std::function<bool(ReplicaId)> ended;
    /// Whether voters are spread over the availability zones, and voters beyond the maximum become learners.
    bool spreadOverZones = false;
    /// The replica that leads the group; it remains a voter.
    ReplicaId leader{};
};

/// Who will be there after a member has ended. A new leader has yet to hear from the members: it counts on none of them, and gives up none.
struct Presence
{
    /// Whether a member responds and was not told that it may end.
    std::function<bool(ReplicaId)> certain;
    /// Whether a member may respond soon and is not about to end.
    std::function<bool(ReplicaId)> possible;
};

/// Chooses one membership change at a time: a VM with an empty data folder is added as a learner; once it has caught up, the replica
/// that it ran before its disk was lost is removed; then it is promoted to voter. If the group already has all its voters, a learner
/// replaces a voter that is lost permanently.
///
/// With spreadOverZones, the next voter is a learner from the zone with the fewest voters. If two zones differ by two voters or more, a
/// learner of the smaller one is promoted and then a voter of the larger one becomes a learner. Each choice follows from the members
/// alone, so that the next leader continues where a failed one stopped.
///
/// The vote of a member that is about to end goes to a learner while it still runs: the learner is promoted, then the member becomes a learner.
/// Until then the group has one voter more, all of which run, so it bears a loss at each step.
///
/// Without it, a group that lost a disk would run with one voter less until an operator noticed, and the next loss would stop it.
/// \param caughtUp whether a learner holds all committed entries
/// \return the members after the change, or empty if no change is needed
[[nodiscard]] auto
nextMemberChange(const Members &group, std::span<const JoinRequest> requests, const std::function<bool(ReplicaId)> &caughtUp, const RepairRules &rules = {})
    -> std::optional<std::vector<ControlMember>>;

/// Decides whether the process of \p replica may end now. It should wait if another VM can take its vote, or is about to be able to, and if the
/// group would lose its quorum. A VM that only restarts finds nobody to take its vote, and ends at once.
/// \param group the members, the last change of which is committed
[[nodiscard]] auto mayDepart(ReplicaId replica, const Members &group, std::span<const JoinRequest> requests, const Presence &presence, const RepairRules &rules)
    -> bool;

} // namespace sapphirespool::consensus
