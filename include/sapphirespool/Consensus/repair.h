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
    /// Whether voters are spread over the availability zones, and voters beyond the maximum become learners.
    bool spreadOverZones = false;
    /// The replica that leads the group; it remains a voter.
    ReplicaId leader{};
};

/// Chooses one membership change at a time: a VM with an empty data folder is added as a learner; once it has caught up, the replica
/// that it ran before its disk was lost is removed; then it is promoted to voter. If the group already has all its voters, a learner
/// replaces a voter that is lost permanently.
///
/// With spreadOverZones, the next voter is a learner from the zone with the fewest voters. If two zones differ by two voters or more, a
/// learner of the smaller one is promoted and then a voter of the larger one becomes a learner. Each choice follows from the members
/// alone, so that the next leader continues where a failed one stopped.
///
/// Without it, a group that lost a disk would run with one voter less until an operator noticed, and the next loss would stop it.
/// \param caughtUp whether a learner holds all committed entries
/// \return the members after the change, or empty if no change is needed
[[nodiscard]] auto
nextMemberChange(const Members &group, std::span<const JoinRequest> requests, const std::function<bool(ReplicaId)> &caughtUp, const RepairRules &rules = {})
    -> std::optional<std::vector<ControlMember>>;

} // namespace sapphirespool::consensus
