// formation.h: decides when a VM founds the group, and keeps the requests of those that want to join it.
#pragma once

#include "sapphirespool/Consensus/repair.h"
#include "sapphirespool/Support/types.h"

#include <map>
#include <set>
#include <vector>

namespace sapphirespool::consensus
{

/// The first VM of the settings founds the group as its only voter, once each other one has said that it is of no group either; the
/// others then join like any VM that comes back with an empty disk. So two VMs can never found two groups, and a first VM that lost
/// its disk cannot found a second one: some other VM is of the first.
class Formation
{
public:
    /// \param mayFound whether this may be the very first start of the system
    /// \param openToOthers whether VMs may join that neither the settings nor the group name
    Formation(VmId self, std::vector<ControlMember> initialMembers, bool mayFound = true, bool openToOthers = false);

    /// Notes that \p vm answered whether it is of no group.
    auto noteAnswer(const VmId &vm, bool empty) -> void;

    /// \return whether this VM has to found the group; meaningful while it is of none
    [[nodiscard]] auto shouldFound() const -> bool;

    /// Notes a request to join. One of a VM that is neither in the settings nor in \p group is dropped, unless others may join.
    auto noteRequest(const JoinRequest &request, const Members &group, TimePoint now) -> void;

    /// \return the requests that were repeated lately
    [[nodiscard]] auto requests(TimePoint now) const -> std::vector<JoinRequest>;

private:
    struct DatedRequest
    {
        JoinRequest request;
        TimePoint at;
    };

    VmId self;
    std::vector<ControlMember> initialMembers;
    bool mayFound;
    bool openToOthers;
    std::set<VmId> emptyVms;
    std::map<VmId, DatedRequest> wanting;
};

} // namespace sapphirespool::consensus
