#include "sapphirespool/ProxyRole/gracefulshutdown.h"

namespace sapphirespool::proxy
{

auto ShutdownTimes::ofGrace(std::chrono::milliseconds grace) -> ShutdownTimes
{
    // A third lets the balancer see, by two probes a second apart, that nothing more is to be sent.
    return {grace / 3, grace / 2, grace * 5 / 6, grace};
}

auto ShutdownTimes::ofDrain(std::chrono::milliseconds balancerDelay, std::chrono::milliseconds drainTimeout) -> ShutdownTimes
{
    const auto done = balancerDelay + drainTimeout;
    return {balancerDelay, balancerDelay + drainTimeout / 2, balancerDelay + drainTimeout * 3 / 4, done};
}

GracefulShutdown::GracefulShutdown(ShutdownTimes times)
    : times(times)
{
}

auto GracefulShutdown::begin(TimePoint now) -> void
{
    if (this->current != ShutdownPhase::Serving) {
        return;
    }
    this->current = ShutdownPhase::Unready;
    this->beganAt = now;
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

auto GracefulShutdown::forwardingEnd() const -> TimePoint
{
    return this->current == ShutdownPhase::Serving ? TimePoint::max() : this->beganAt + this->times.answering;
}

auto GracefulShutdown::isStepDue(RunningWork work, TimePoint now) const -> bool
{
    const auto passed = now - this->beganAt;
    const auto isIdle = work.requests == 0 && work.transactions == 0;
    switch (this->current) {
    case ShutdownPhase::Serving:
    case ShutdownPhase::Done:
        return false;
    case ShutdownPhase::Unready:
        return passed >= this->times.finishing;
    case ShutdownPhase::Finishing:
        return isIdle || passed >= this->times.answering;
    case ShutdownPhase::Answering:
        // The caller of an open transaction is awaited: told that its commit was refused, it can begin again at once, while a closed
        // connection would leave it in doubt.
        return isIdle || passed >= this->times.closing;
    case ShutdownPhase::Closing:
        return work.unanswered == 0 || passed >= this->times.done;
    }
    return false;
}

} // namespace sapphirespool::proxy
