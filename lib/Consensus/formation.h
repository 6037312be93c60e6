// formation.h: decides when a VM bootstraps the Raft group, and stores the requests to join it.
#pragma once

#include "sapphirespool/Consensus/repair.h"
#include "sapphirespool/Support/types.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace sapphirespool::consensus
{

/// The first VM of the settings bootstraps the group as its only voter, once each other VM of the settings has answered that it belongs
/// to no group either. The others then join like any VM that restarts with an empty disk. So two VMs can never bootstrap two groups,
/// and a first VM that lost its disk cannot bootstrap a second one, as some other VM still belongs to the first group.
class GroupFormation
{
public:
    /// \param mayFound whether this may be the first start of the whole system
    /// \param openToOthers whether VMs may join that are listed neither in the settings nor in the group
    GroupFormation(VmId self, std::vector<ControlMember> initialMembers, bool mayFound = true, bool openToOthers = false);

    /// Records the answer of \p vm to a join request. \p empty says whether it belongs to no group.
    auto recordAnswer(const VmId &vm, bool empty) -> void;

    /// \return whether this VM must bootstrap the group; meaningful only while it belongs to none
    [[nodiscard]] auto shouldFound() const -> bool;

    /// Records a request to join. Drops it if the VM is neither in the settings nor in \p group, unless other VMs may join.
    auto recordRequest(const JoinRequest &request, const Members &group, TimePoint now) -> void;

    /// \return whether \p group, which has fewer voters than it should, has taken in all VMs that there are: no VM that is not a member asked
    ///         for a while, and no learner responds that could still become a voter
    /// \param leadsSince since when this VM has been the leader; an earlier one may have received requests that this one did not
    [[nodiscard]] auto isComplete(const Members &group, const std::function<bool(ReplicaId)> &responds, TimePoint leadsSince, TimePoint now) const -> bool;

    /// \return the requests that were repeated recently
    [[nodiscard]] auto requests(TimePoint now) const -> std::vector<JoinRequest>;

private:
    struct ReceivedRequest
    {
        JoinRequest request;
        TimePoint at;
    };

    VmId self;
    std::vector<ControlMember> initialMembers;
    bool mayFound;
    bool openToOthers;
    std::set<VmId> vmsWithoutGroup;
    std::map<VmId, ReceivedRequest> joinRequests;
    /// When a VM that was not a member last asked to join. A learner that asks although it is a member does not receive the log; it counts
    /// only while it responds, as it would otherwise keep the group from accepting commands for as long as its link is broken.
    TimePoint lastRequestTime = TimePoint::min();
};

} // namespace sapphirespool::consensus
