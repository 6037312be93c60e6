#include "sapphirespool/Decisions/forwardrouter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sapphirespool::decisions
{

namespace
{

/// Half-life in seconds of a latency estimate without answers: an upstream that received no work for a while is tried again.
constexpr auto halfLifeSeconds = 1.0;
/// Weights of a new latency below and above the current estimate. An increase weighs more, so that a slow upstream is avoided at once.
constexpr auto decreaseWeight = 1.0 / 16;
constexpr auto increaseWeight = 1.0 / 4;
/// Latency in seconds below which differences are noise.
constexpr auto minLatencySeconds = 0.005;

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

auto ForwardRouter::latency(const UpstreamId &upstream, TimePoint now) const -> double
{
    const auto found = this->records.find(upstream);
    if (found == this->records.end()) {
        return minLatencySeconds;
    }
    const auto decayed = found->second.latency * std::exp2(-seconds(now - found->second.updatedAt) / halfLifeSeconds);
    return std::max(minLatencySeconds, decayed);
}

auto ForwardRouter::cost(const UpstreamId &upstream, TimePoint now) const -> double
{
    const auto found = this->records.find(upstream);
    const auto inFlight = found == this->records.end() ? 0U : found->second.inFlight;
    return this->latency(upstream, now) * (1.0 + inFlight);
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

auto ForwardRouter::recordSent(const UpstreamId &upstream) -> void
{
    ++this->records[upstream].inFlight;
}

auto ForwardRouter::recordEnded(const UpstreamId &upstream, Duration latency, TimePoint now) -> void
{
    auto &record = this->records[upstream];
    assert(record.inFlight > 0 && "the work was forwarded");
    --record.inFlight;
    const auto current = this->latency(upstream, now);
    const auto measured = seconds(latency);
    record.latency = current + (measured > current ? increaseWeight : decreaseWeight) * (measured - current);
    record.updatedAt = now;
}

} // namespace sapphirespool::decisions
