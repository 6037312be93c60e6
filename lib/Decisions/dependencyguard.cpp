#include "sapphirespool/Decisions/dependencyguard.h"

namespace sapphirespool::decisions
{

DependencyGuard::DependencyGuard(DependencySettings settings)
    : settings(settings)
{
}

auto DependencyGuard::roll(TimePoint now) -> void
{
    const auto passedTime = now - this->windowStart;
    if (passedTime < this->settings.window) {
        return;
    }
    const auto total = this->admitted + this->refused;
    const auto judged = total >= this->settings.minimumRequests && passedTime < 2 * this->settings.window;
    this->lastRefusing = judged && this->refused >= this->settings.refusedFraction * total;
    this->windowStart = now;
    this->admitted = 0;
    this->refused = 0;
}

auto DependencyGuard::recordAdmitted(TimePoint now) -> void
{
    this->roll(now);
    ++this->admitted;
}

auto DependencyGuard::recordRefused(TimePoint now, Duration retryAfter) -> void
{
    this->roll(now);
    ++this->refused;
    this->lastRetryAfter = retryAfter;
}

auto DependencyGuard::refusing(TimePoint now) -> bool
{
    this->roll(now);
    return this->settings.enabled && this->lastRefusing;
}

auto DependencyGuard::probe() -> bool
{
    ++this->passed;
    return this->passed % this->settings.probeEvery == 0;
}

auto DependencyGuard::retryAfter() const -> Duration
{
    return this->lastRetryAfter;
}

} // namespace sapphirespool::decisions
