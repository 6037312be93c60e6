// observers.h: tells VMs that noticed a dead primary from VMs that have lost their own way.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>

namespace sapphirespool::controller
{

/// Judges the VMs that suspect primaries.
///
/// Load pattern: the link of a VM is full for seconds, for example of a text that an operator sends by it. Its connections to all primaries
/// come late, and it suspects one after the other; a second such VM in another zone would be enough to replace them all, each a second
/// without writes, although every other VM is served. The loss of a zone looks different: there each VM suspects the
/// primaries of that zone, about a third of them, and no others.
class Observers
{
public:
    /// Groups that a VM may suspect at a time whatever their number: in a system of three groups all primaries may be in one zone.
    static constexpr auto alwaysBelieved = std::size_t{3};
    /// Of many groups, one VM may suspect this part.
    static constexpr auto believedPart = std::size_t{3};

    /// Notes that \p vm suspects the primary of \p group.
    /// \param groups how many groups there are
    /// \return whether that says something of the primary; else it says more of the VM
    auto note(const VmId &vm, const GroupId &group, std::size_t groups, TimePoint now) -> bool;

private:
    /// When each VM last suspected the primary of each group.
    std::map<VmId, std::map<GroupId, TimePoint>> suspected;
};

} // namespace sapphirespool::controller
