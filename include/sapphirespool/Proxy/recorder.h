// recorder.h: counts what the traffic path does.
#pragma once

#include "sapphirespool/Metrics/metrics.h"
#include "sapphirespool/Support/refusal.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>

namespace sapphirespool::proxy
{

/// Receives one call for each end of a request and each retry, and now and then the state of the connections.
class Recorder
{
public:
    Recorder() = default;
    Recorder(const Recorder &) = delete;
    auto operator=(const Recorder &) -> Recorder & = delete;
    virtual ~Recorder() = default;

    virtual auto served(const ServiceId &service, Access access, metrics::ServedRole role, Duration latency) -> void = 0;
    virtual auto refused(const ServiceId &service, RefusalReason reason) -> void = 0;
    virtual auto retried(const ServiceId &service, metrics::RetryReason reason) -> void = 0;

    /// Says how many connections are in \p state now.
    virtual auto connections(metrics::ConnectionState state, std::uint64_t count) -> void = 0;
};

} // namespace sapphirespool::proxy
