// vmsettling.h: decides when a new proxy may allocate quota.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/quotatiming.h"
#include "sapphirespool/Promotion/timing.h"
#include "sapphirespool/Support/types.h"

#include <map>
#include <span>
#include <vector>

namespace sapphirespool::controller
{

/// Soft state of one control leader; a state machine without I/O.
///
/// A new proxy takes over shares of quotas from other proxies. One of those may be partitioned and still allocate under its former view. If
/// the new proxy allocated too, a customer could exceed its quota. Leases are extended only for views that list the new proxy, so the
/// former allocator has stopped after its last lease and the hold-over have expired.
class VmSettling
{
public:
    static constexpr auto settleAfter = promotion::leaseLength + membership::quotaHoldOver + membership::quotaClockMargin;

    /// \param known VMs in the replicated state
    /// \return the VMs to mark as settled now
    [[nodiscard]] auto due(std::span<const membership::ProxyView> known, TimePoint now) -> std::vector<membership::ProxyView>;

private:
    /// When this leader first found each unsettled VM in the replicated state.
    std::map<VmId, TimePoint> unsettledSince;
};

} // namespace sapphirespool::controller
