#include "sapphirespool/Interactive/upstreamload.h"

#include <algorithm>
#include <cmath>

namespace sapphirespool::interactive
{

namespace
{

auto inMs(Duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

auto UpstreamLoad::served(const UpstreamId &upstream, Duration time, TimePoint now) -> void
{
    auto &member = this->members[upstream];
    const auto ms = inMs(time);
    // A time above the average counts for half immediately, because queues grow faster than they drain.
    member.averageMs = ms > member.averageMs ? (member.averageMs + ms) / 2 : member.averageMs + newestWeight * (ms - member.averageMs);
    member.updatedAt = now;
    member.backoff = std::chrono::milliseconds(0);
    member.backoffUntil = TimePoint{};
}

auto UpstreamLoad::failed(const UpstreamId &upstream, TimePoint now) -> void
{
    auto &member = this->members[upstream];
    member.backoff = std::clamp(member.backoff * 2, firstBackoff, longestBackoff);
    member.backoffUntil = now + member.backoff;
}

auto UpstreamLoad::lagged(const UpstreamId &upstream, Duration behind, TimePoint now) -> void
{
    auto &member = this->members[upstream];
    const auto backoff = std::clamp<Duration>(behind / lagDivisor, shortestLagBackoff, longestLagBackoff);
    member.backoffUntil = std::max(member.backoffUntil, now + backoff);
}

auto UpstreamLoad::keepOnly(const std::set<UpstreamId> &present) -> void
{
    std::erase_if(this->members, [&present](const auto &member) {
        return !present.contains(member.first);
    });
}

auto UpstreamLoad::choose(std::span<const ReadCandidate> candidates, TimePoint now) const -> const ReadCandidate *
{
    const auto found = std::min_element(candidates.begin(), candidates.end(), [this, now](const ReadCandidate &left, const ReadCandidate &right) {
        return this->expectedMs(left, now) < this->expectedMs(right, now);
    });
    return found == candidates.end() ? nullptr : &*found;
}

auto UpstreamLoad::expectedMs(const ReadCandidate &candidate, TimePoint now) const -> double
{
    // Exceeds any realistic expected time, so that a member in backoff is chosen only if each candidate is in backoff.
    constexpr auto backoffPenaltyMs = 1'000'000.0;
    auto average = inMs(leastExpectedTime);
    auto penalty = candidate.inOwnZone ? 0.0 : inMs(crossZonePenalty);
    penalty += candidate.isWarm ? 0.0 : inMs(handshakePenalty);
    if (const auto found = this->members.find(candidate.upstream); found != this->members.end()) {
        const auto &member = found->second;
        const auto decayed = member.averageMs * std::exp2(-inMs(now - member.updatedAt) / inMs(halfLife));
        average = std::max(average, decayed);
        penalty += now < member.backoffUntil ? backoffPenaltyMs : 0.0;
    }
    const auto weight = candidate.isPrimary ? primaryWeight : 1.0;
    return weight * average * static_cast<double>(candidate.inUse + 1) + penalty;
}

} // namespace sapphirespool::interactive
