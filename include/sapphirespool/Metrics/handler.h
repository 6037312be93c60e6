// handler.h: serves the metrics of a process to Prometheus.
#pragma once

#include "sapphirespool/Http/server.h"
#include "sapphirespool/Metrics/metrics.h"

#include <memory>

namespace sapphirespool::metrics
{

/// \return a handler for `GET /metrics`
[[nodiscard]] auto makeMetricsHandler(std::shared_ptr<const Metrics> metrics) -> std::shared_ptr<http::Handler>;

} // namespace sapphirespool::metrics
