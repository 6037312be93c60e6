// forwardrouter.h: chooses the upstream, and with it the owner proxy, to which an entry proxy forwards work.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"

#include <cstdint>
#include <unordered_map>

namespace sapphirespool::decisions
{

/// Peak latency and own work under way for each upstream.
///
/// Load pattern: each upstream's queue is at one proxy in its zone; twelve entry proxies forward to it and see only their own work.
/// Without the router reads go in turn to both replicas, also to one that is ten times slower, and never to an idle primary.
/// The cost of an upstream is its recent latency times the work that this proxy has there, as in the balancers that weigh by
/// peak latency; with three members all are compared, which is better than two choices at random.
class ForwardRouter
{
public:
    /// Latency of the best replica from which reads that accept age may go to the primary; the same time for which a read
    /// waits for a replica within one proxy.
    static constexpr auto spillLatency = std::chrono::milliseconds(100);

    /// \return the upstream for \p work; nothing if no upstream can serve it
    [[nodiscard]] auto choose(const membership::GroupView &group, const Work &work, TimePoint now) const -> std::optional<UpstreamId>;

    auto sent(const UpstreamId &upstream) -> void;

    /// Records the end of work that was forwarded. \param latency time until the answer, or what a refusal said about the wait
    auto ended(const UpstreamId &upstream, Duration latency, TimePoint now) -> void;

private:
    struct Record
    {
        std::uint32_t underWay = 0;
        double latency = 0;
        TimePoint at{};
    };

    [[nodiscard]] auto latency(const UpstreamId &upstream, TimePoint now) const -> double;
    [[nodiscard]] auto cost(const UpstreamId &upstream, TimePoint now) const -> double;

    std::unordered_map<UpstreamId, Record> records;
};

} // namespace sapphirespool::decisions
