// sessionmetrics.h: enters what sessions do into the process's metrics.
#pragma once

#include "sapphirespool/Interactive/session.h"
#include "sapphirespool/Metrics/metrics.h"

#include <memory>

namespace sapphirespool::node
{

[[nodiscard]] auto makeSessionMetrics(std::shared_ptr<metrics::Metrics> metrics) -> std::shared_ptr<interactive::SessionRecorder>;

} // namespace sapphirespool::node
