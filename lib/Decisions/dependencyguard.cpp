#include "sapphirespool/Decisions/dependencyguard.h"

namespace sapphirespool::decisions
{

DependencyGuard::DependencyGuard(DependencySettings settings)
    : settings(settings)
{
}

auto DependencyGuard::rollWindow(TimePoint now) -> void
{
    const auto elapsed = now - this->windowStart;
    if (elapsed < this->settings.window) {
        return;
    }
    const auto total = this->admitted + this->refused;
    const auto hasEnoughRequests = total >= this->settings.minimumRequests && elapsed < 2 * this->settings.window;
    this->refusedLastWindow = hasEnoughRequests && this->refused >= this->settings.refusedFraction * total;
    this->windowStart = now;
    this->admitted = 0;
    this->refused = 0;
}

auto DependencyGuard::recordAdmitted(TimePoint now) -> void
{
    this->rollWindow(now);
    ++this->admitted;
}

auto DependencyGuard::recordRefused(TimePoint now, Duration retryAfter) -> void
{
    this->rollWindow(now);
    ++this->refused;
    this->lastRetryAfter = retryAfter;
}

auto DependencyGuard::isRefusing(TimePoint now) -> bool
{
    this->rollWindow(now);
    return this->settings.enabled && this->refusedLastWindow;
}

auto DependencyGuard::tryProbe() -> bool
{
    ++this->requestsWhileRefusing;
    return this->requestsWhileRefusing % this->settings.probeEvery == 0;
}

auto DependencyGuard::retryAfter() const -> Duration
{
    return this->lastRetryAfter;
}

} // namespace sapphirespool::decisions
