#include "sapphirespool/Decisions/forwardrouter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sapphirespool::decisions
{

namespace
{

/// Half-life in seconds of a latency estimate without answers: an upstream that received no work for a while is tried again.
constexpr auto halfLife = 1.0;
/// Weights of a new latency below and above the current estimate. An increase weighs more, so that a slow upstream is avoided at once.
constexpr auto fallWeight = 1.0 / 16;
constexpr auto riseWeight = 1.0 / 4;
/// Latency in seconds below which differences are noise.
constexpr auto leastLatency = 0.005;

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

auto ForwardRouter::latency(const UpstreamId &upstream, TimePoint now) const -> double
{
    const auto found = this->records.find(upstream);
    if (found == this->records.end()) {
        return leastLatency;
    }
    const auto faded = found->second.latency * std::exp2(-seconds(now - found->second.at) / halfLife);
    return std::max(leastLatency, faded);
}

auto ForwardRouter::cost(const UpstreamId &upstream, TimePoint now) const -> double
{
    const auto found = this->records.find(upstream);
    const auto underWay = found == this->records.end() ? 0U : found->second.underWay;
    return this->latency(upstream, now) * (1.0 + underWay);
}

auto ForwardRouter::choose(const membership::GroupView &group, const Work &work, TimePoint now) const -> std::optional<UpstreamId>
{
    const auto tolerant = work.access == Access::Read && work.maxAge > std::chrono::milliseconds::zero();
    if (!tolerant) {
        return group.primary;
    }
    const membership::UpstreamView *best = nullptr;
    for (const auto &member : group.members) {
        if (member.leaving || group.primary == member.id) {
            continue;
        }
        if (best == nullptr || this->cost(member.id, now) < this->cost(best->id, now)) {
            best = &member;
        }
    }
    if (best == nullptr) {
        return group.primary;
    }
    const auto replicaLatency = this->latency(best->id, now);
    const auto spill = group.primary && replicaLatency > seconds(spillLatency) && this->latency(*group.primary, now) < replicaLatency / 2;
    return spill ? group.primary : std::optional(best->id);
}

auto ForwardRouter::sent(const UpstreamId &upstream) -> void
{
    ++this->records[upstream].underWay;
}

auto ForwardRouter::ended(const UpstreamId &upstream, Duration latency, TimePoint now) -> void
{
    auto &record = this->records[upstream];
    assert(record.underWay > 0 && "the work was forwarded");
    --record.underWay;
    const auto present = this->latency(upstream, now);
    const auto measured = seconds(latency);
    record.latency = present + (measured > present ? riseWeight : fallWeight) * (measured - present);
    record.at = now;
}

} // namespace sapphirespool::decisions
