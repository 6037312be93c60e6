// quotatiming.h: time for which a proxy allocates quota after the last renewal of its lease.
#pragma once

#include <chrono>

namespace sapphirespool::membership
{

/// Time after the expiry of its lease for which a proxy still allocates its shares of the customers' quotas, so that an outage of control
/// causes no refusals.
constexpr auto quotaHoldOver = std::chrono::milliseconds(15'000);

/// Upper bound of the clock drift between two VMs during a hold-over.
constexpr auto quotaClockMargin = std::chrono::milliseconds(2'000);

} // namespace sapphirespool::membership
