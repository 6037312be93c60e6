// clock.h: the clock by which leases and ages are measured.
#pragma once

#include "sapphirespool/Support/types.h"

namespace sapphirespool::support
{

/// \return the time since the VM started, suspensions included
///
/// The steady clock stands still while a VM is suspended. A lease measured by it outlives its promise by the length of the
/// suspension, and the resumed process answers from a view that has long been replaced. Timers of the event loops stay on the steady
/// clock: they are given lengths of time, never points of this clock.
[[nodiscard]] auto now() -> TimePoint;

} // namespace sapphirespool::support
