// quotatiming.h: how long a proxy allocates quota after control last confirmed its view.
#pragma once

#include <chrono>

namespace sapphirespool::membership
{

/// A proxy goes on allocating its parts of the customers' quotas for this long after its lease has expired, so that an outage of control
/// refuses no caller.
constexpr auto quotaHoldOver = std::chrono::milliseconds(15'000);

/// Clocks of two VMs may drift apart by this much during a hold-over.
constexpr auto quotaClockMargin = std::chrono::milliseconds(2'000);

} // namespace sapphirespool::membership
