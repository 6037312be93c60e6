// factory.h: makes the dispatchers.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Decisions/settings.h"

#include <memory>

namespace sapphirespool::decisions
{

/// \return the dispatcher of the traffic path
[[nodiscard]] auto makeDispatcher(DispatcherSettings settings) -> std::unique_ptr<Dispatcher>;

/// \return the baseline that the measurements compare with: one queue in order of arrival, static shares, no module
[[nodiscard]] auto makeFifoDispatcher(VmId vm, ZoneId zone) -> std::unique_ptr<Dispatcher>;

} // namespace sapphirespool::decisions
