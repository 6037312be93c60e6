// observers.h: distinguishes suspicions of a failed primary from those of VMs with a network fault of their own.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>

namespace sapphirespool::controller
{

/// Counts the primaries that each VM suspects at a time.
///
/// Load pattern: the network link of a VM is saturated for seconds, for example by a configuration that an operator sends through it. Its
/// connections to all primaries time out, and it suspects one primary after another. A second such VM in another zone would cause the
/// replacement of all primaries, each with a second without writes, although every other VM is served. If a zone is lost, in contrast, each
/// VM suspects only the primaries in that zone, about a third of all.
class Observers
{
public:
    /// Number of groups that a VM may always suspect at a time: in a system of three groups all primaries may be in one zone.
    static constexpr auto alwaysCredible = std::size_t{3};
    /// Divisor of the number of groups that gives the groups that a VM may suspect at a time.
    static constexpr auto credibleDivisor = std::size_t{3};

    /// Records that \p vm suspects the primary of \p group.
    /// \param groups number of all groups
    /// \return whether the suspicion is credible; otherwise a fault of the VM's own network is more likely
    auto note(const VmId &vm, const GroupId &group, std::size_t groups, TimePoint now) -> bool;

private:
    /// Time of the last suspicion from each VM for each group.
    std::map<VmId, std::map<GroupId, TimePoint>> suspected;
};

} // namespace sapphirespool::controller
