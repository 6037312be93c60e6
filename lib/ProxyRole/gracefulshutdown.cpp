#include "sapphirespool/ProxyRole/gracefulshutdown.h"

namespace sapphirespool::proxy
{

GracefulShutdown::GracefulShutdown(std::chrono::milliseconds balancerDelay, std::chrono::milliseconds drainTimeout)
    : balancerDelay(balancerDelay)
    , drainTimeout(drainTimeout)
{
}

auto GracefulShutdown::begin(TimePoint now) -> void
{
    if (this->current != ShutdownPhase::Serving) {
        return;
    }
    this->current = ShutdownPhase::Unready;
    this->finishAt = now + this->balancerDelay;
    this->cutAt = this->finishAt + this->drainTimeout;
}

auto GracefulShutdown::advance(RunningWork work, TimePoint now) -> std::optional<ShutdownPhase>
{
    if (!this->isStepDue(work, now)) {
        return std::nullopt;
    }
    this->current = static_cast<ShutdownPhase>(static_cast<int>(this->current) + 1);
    return this->current;
}

auto GracefulShutdown::phase() const -> ShutdownPhase
{
    return this->current;
}

auto GracefulShutdown::isStepDue(RunningWork work, TimePoint now) const -> bool
{
    switch (this->current) {
    case ShutdownPhase::Serving:
    case ShutdownPhase::Done:
        return false;
    case ShutdownPhase::Unready:
        return now >= this->finishAt;
    case ShutdownPhase::Finishing:
        // A transaction whose connection closed under it would be rolled back by a stop that promises to cut nothing.
        return (work.requests == 0 && work.transactions == 0) || now >= this->cutAt;
    case ShutdownPhase::Closing:
        return work.unanswered == 0 || now >= this->cutAt;
    }
    return false;
}

} // namespace sapphirespool::proxy
