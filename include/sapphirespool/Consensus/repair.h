// repair.h: decides which change the group needs next so that it consists of the control VMs that are there.
#pragma once

#include "sapphirespool/Consensus/messages.h"

#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace sapphirespool::consensus
{

/// Sent by a VM with an empty data folder until it is part of the group.
struct JoinRequest
{
    VmId vm;
    Endpoint endpoint;
    ReplicaId replica;
};

/// What a group is to look like.
struct RepairRules
{
    /// Voters at most.
    std::size_t voters = std::numeric_limits<std::size_t>::max();
    /// Members at most.
    std::size_t members = std::numeric_limits<std::size_t>::max();
    /// Whether a member has been silent for so long that another one should take its place; empty if none ever should.
    std::function<bool(ReplicaId)> lost;
};

/// Chooses one change at a time: an empty VM becomes a learner; once it has caught up, the replica that it had before its disk was
/// lost is removed; then it becomes a voter. Where the group has its voters, a learner takes the place of one that is lost for good.
///
/// Without it a group that lost a disk would run with one voter less until somebody noticed, and the next loss would stop it.
/// \param caughtUp whether a learner holds all that is committed
/// \return the next group, or nothing if none is due
[[nodiscard]] auto
nextMemberChange(const Members &group, std::span<const JoinRequest> requests, const std::function<bool(ReplicaId)> &caughtUp, const RepairRules &rules = {})
    -> std::optional<std::vector<ControlMember>>;

} // namespace sapphirespool::consensus
