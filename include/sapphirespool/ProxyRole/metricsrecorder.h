// metricsrecorder.h: enters what the traffic path does into the process's metrics.
#pragma once

#include "sapphirespool/Metrics/metrics.h"
#include "sapphirespool/Proxy/recorder.h"

#include <memory>

namespace sapphirespool::proxy
{

[[nodiscard]] auto makeMetricsRecorder(std::shared_ptr<metrics::Metrics> metrics) -> std::shared_ptr<Recorder>;

} // namespace sapphirespool::proxy
