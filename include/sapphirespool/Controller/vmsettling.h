// vmsettling.h: decides when a proxy that joined may allocate quota.
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

/// Soft state of one control leader; pure.
///
/// A proxy that joins takes over parts of quotas from other proxies. One of those may be cut off and go on allocating under its former view.
/// If the new proxy allocated too, a customer could run more than its quota. A lease is only extended for a view that lists the new
/// proxy, so the former allocator has stopped once its last lease and the hold-over have passed.
class VmSettling
{
public:
    static constexpr auto settleAfter = promotion::leaseLength + membership::quotaHoldOver + membership::quotaClockMargin;

    /// \param known the VMs of the replicated state
    /// \return those that are to be settled now
    [[nodiscard]] auto due(std::span<const membership::ProxyView> known, TimePoint now) -> std::vector<membership::ProxyView>;

private:
    /// When this leader first saw each VM that is not settled.
    std::map<VmId, TimePoint> unsettledSince;
};

} // namespace sapphirespool::controller
