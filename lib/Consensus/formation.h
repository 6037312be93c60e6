// formation.h: decides when a VM bootstraps the Raft group, and stores the requests to join it.
#pragma once

#include "sapphirespool/Consensus/repair.h"
#include "sapphirespool/Support/types.h"

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
};

} // namespace sapphirespool::consensus
