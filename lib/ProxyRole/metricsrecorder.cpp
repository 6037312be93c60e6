#include "sapphirespool/ProxyRole/metricsrecorder.h"

#include <utility>

namespace sapphirespool::proxy
{

namespace
{

class MetricsRecorder : public Recorder
{
public:
    explicit MetricsRecorder(std::shared_ptr<metrics::Metrics> metrics)
        : metrics(std::move(metrics))
    {
    }

    auto served(const ServiceId &service, Access access, metrics::ServedRole role, Duration latency) -> void override
    {
        this->metrics->recordLatency(service, access, role, latency);
    }

    auto refused(const ServiceId &service, RefusalReason reason) -> void override
    {
        this->metrics->countRefusal(service, reason);
    }

    auto retried(const ServiceId &service, metrics::RetryReason reason) -> void override
    {
        this->metrics->countRetry(service, reason);
    }

    auto connections(metrics::ConnectionState state, std::uint64_t count) -> void override
    {
        this->metrics->setConnections(state, count);
    }

private:
    std::shared_ptr<metrics::Metrics> metrics;
};

} // namespace

auto makeMetricsRecorder(std::shared_ptr<metrics::Metrics> metrics) -> std::shared_ptr<Recorder>
{
    return std::make_shared<MetricsRecorder>(std::move(metrics));
}

} // namespace sapphirespool::proxy
