// shutdowntimes.h: the steps of a stop as the settings of the VM ask for them.
#pragma once

#include "sapphirespool/ProxyRole/gracefulshutdown.h"
#include "sapphirespool/Settings/settings.h"

namespace sapphirespool::node
{

[[nodiscard]] inline auto shutdownTimes(const settings::Shutdown &shutdown) -> proxy::ShutdownTimes
{
    return shutdown.grace.count() > 0 ? proxy::ShutdownTimes::ofGrace(shutdown.grace)
                                      : proxy::ShutdownTimes::ofDrain(shutdown.balancerDelay, shutdown.drainTimeout);
}

} // namespace sapphirespool::node
