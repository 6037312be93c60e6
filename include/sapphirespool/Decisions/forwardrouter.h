// forwardrouter.h: chooses the upstream, and thereby the owner proxy, to which an entry proxy forwards work.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"

#include <cstdint>
#include <unordered_map>

namespace sapphirespool::decisions
{

/// Balances forwarded work by peak-sensitive latency and in-flight work of each upstream.
///
/// Load pattern: each upstream's queue is at one proxy in its zone; twelve entry proxies forward to it, and each sees only its own work.
/// Without the router reads go round-robin to both replicas, even to one that is ten times slower, and never to an idle primary.
/// The cost of an upstream is its recent latency times this proxy's in-flight work there, as in peak EWMA load balancers.
/// A group has three members, so all are compared, which is better than two random choices.
class ForwardRouter
{
public:
    /// Latency of the best replica above which reads that accept stale data may go to the primary; equal to the longest wait of
    /// a read for a replica within one proxy (RoutingSettings::maximumReplicaWait).
    static constexpr auto spillLatency = std::chrono::milliseconds(100);

    /// \return the upstream for \p work, or nothing if none can serve it
    [[nodiscard]] auto choose(const membership::GroupView &group, const Work &work, TimePoint now) const -> std::optional<UpstreamId>;

    /// Records that work was forwarded.
    auto recordSent(const UpstreamId &upstream) -> void;

    /// Records the end of forwarded work. \param latency time until the answer, or the wait that a refusal stated
    auto recordEnded(const UpstreamId &upstream, Duration latency, TimePoint now) -> void;

private:
    struct LatencyRecord
    {
        std::uint32_t inFlight = 0;
        double latency = 0;
        TimePoint updatedAt{};
    };

    [[nodiscard]] auto latency(const UpstreamId &upstream, TimePoint now) const -> double;
    [[nodiscard]] auto cost(const UpstreamId &upstream, TimePoint now) const -> double;

    std::unordered_map<UpstreamId, LatencyRecord> records;
};

} // namespace sapphirespool::decisions
