#include "sapphirespool/Decisions/upstreamstate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirespool::decisions
{

namespace
{

/// Consecutive normal answers after which the ejection backoff is reset.
constexpr std::uint32_t successesToResetBackoff = 100;
constexpr std::uint32_t maxDoublings = 16;

} // namespace

Ejection::Ejection(EjectionSettings settings)
    : settings(settings)
{
}

auto Ejection::record(WorkOutcome outcome, const ServiceEstimate &own, Duration medianPeerTime) -> bool
{
    if (!this->settings.enabled) {
        return false;
    }
    if (outcome == WorkOutcome::Failed) {
        this->successesInRow = 0;
        ++this->failuresInRow;
        return this->failuresInRow >= this->settings.consecutiveFailures;
    }
    if (outcome == WorkOutcome::NotRun) {
        return false;
    }
    this->failuresInRow = 0;
    const auto slow
        = medianPeerTime > Duration::zero() && own.samples() >= this->settings.minimumSamples && own.mean() > medianPeerTime * this->settings.slowFactor;
    if (slow) {
        this->successesInRow = 0;
        return true;
    }
    ++this->successesInRow;
    if (this->successesInRow >= successesToResetBackoff) {
        this->ejections = 0;
    }
    return false;
}

auto Ejection::eject(TimePoint now) -> void
{
    const auto doublings = std::min(this->ejections, maxDoublings);
    const auto time = std::min(this->settings.firstEjection * (std::int64_t{1} << doublings), this->settings.longestEjection);
    this->until = now + time;
    this->failuresInRow = 0;
    ++this->ejections;
}

auto Ejection::ejected(TimePoint now) const -> bool
{
    return this->until && now < *this->until;
}

auto Ejection::ejectionEnd(TimePoint now) const -> std::optional<TimePoint>
{
    return this->ejected(now) ? this->until : std::nullopt;
}

ConcurrencyLimit::ConcurrencyLimit(ConcurrencySettings settings)
    : settings(settings)
{
}

auto ConcurrencyLimit::record(WorkOutcome outcome, std::uint32_t share) -> void
{
    if (!this->settings.enabled || share == 0) {
        return;
    }
    const auto current = std::min(this->currentLimit.value_or(share), static_cast<double>(share));
    if (outcome == WorkOutcome::Failed || outcome == WorkOutcome::NotRun) {
        this->currentLimit = std::max(1.0, current * this->settings.decrease);
        return;
    }
    this->currentLimit = current + 1.0 / current;
}

auto ConcurrencyLimit::limit(std::uint32_t share) const -> std::uint32_t
{
    if (!this->currentLimit) {
        return share;
    }
    return std::min(share, static_cast<std::uint32_t>(*this->currentLimit));
}

SlowStart::SlowStart(SlowStartSettings settings)
    : settings(settings)
{
}

auto SlowStart::begin(TimePoint now) -> void
{
    if (this->settings.enabled) {
        this->since = now;
    }
}

auto SlowStart::limit(std::uint32_t share, TimePoint now) const -> std::uint32_t
{
    if (!this->since || share == 0) {
        return share;
    }
    const auto fraction = std::chrono::duration<double>(now - *this->since) / std::chrono::duration<double>(this->settings.duration);
    const auto slots = static_cast<std::uint32_t>(1.0 + std::max(0.0, fraction) * share);
    return std::min(share, slots);
}

auto SlowStart::nextStep(std::uint32_t share, TimePoint now) const -> std::optional<TimePoint>
{
    const auto current = this->limit(share, now);
    if (!this->since || current >= share) {
        return std::nullopt;
    }
    const auto step = std::chrono::duration<double>(this->settings.duration) * current / share;
    return *this->since + std::chrono::ceil<Duration>(step) + Duration(1);
}

UpstreamState::UpstreamState(const DispatcherSettings &settings, membership::UpstreamView view)
    : view(std::move(view))
    , ejection(settings.ejection)
    , concurrency(settings.concurrency)
    , slowStart(settings.slowStart)
{
}

auto UpstreamState::usableSlots(TimePoint now) const -> std::uint32_t
{
    if (this->view.leaving) {
        return 0;
    }
    const auto limited = this->concurrency.limit(this->share.slots);
    return std::min(limited, this->slowStart.limit(this->share.slots, now));
}

auto UpstreamState::hasFreeSlot(TimePoint now) const -> bool
{
    return this->running < this->usableSlots(now);
}

auto UpstreamState::age(TimePoint now) const -> std::optional<Duration>
{
    if (!this->observation) {
        return std::nullopt;
    }
    return this->observation->age + (now - this->observedAt);
}

} // namespace sapphirespool::decisions
