// factory.h: creates dispatchers.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Decisions/settings.h"

#include <memory>

namespace sapphirespool::decisions
{

/// \return the dispatcher for production traffic
[[nodiscard]] auto makeDispatcher(DispatcherSettings settings) -> std::unique_ptr<Dispatcher>;

/// \return the baseline for benchmarks: one FIFO queue and static shares, with all load control modules disabled
[[nodiscard]] auto makeFifoDispatcher(VmId vm, ZoneId zone) -> std::unique_ptr<Dispatcher>;

} // namespace sapphirespool::decisions
