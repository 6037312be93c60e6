#include "callershutdown.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <chrono>
#include <utility>

namespace sapphirespool::node
{

namespace
{

/// How often a stop is looked at: a small part of the grace of some seconds.
constexpr auto stepInterval = std::chrono::milliseconds(25);

} // namespace

CallerShutdown::CallerShutdown(CallerShutdownParts givenParts, proxy::ShutdownTimes times)
    : parts(std::move(givenParts))
    , steps(times)
    , timer(this->parts.executor)
{
}

auto CallerShutdown::begin(std::function<void()> whenDone) -> void
{
    this->done = std::move(whenDone);
    this->steps.begin(support::now());
    // By time and not by a step: a statement admitted between the end and the step after it would be sent too late.
    this->parts.sessions->endForwardingAt(this->steps.forwardingEnd());
    if (this->parts.pool != nullptr) {
        this->parts.pool->endLendingAt(this->steps.forwardingEnd());
    }
    this->advance();
}

auto CallerShutdown::cancel() -> void
{
    this->timer.cancel();
}

auto CallerShutdown::isServing() const -> bool
{
    return this->steps.phase() == proxy::ShutdownPhase::Serving;
}

auto CallerShutdown::runningWork() const -> proxy::RunningWork
{
    const auto counts = this->parts.sessions->counts();
    const auto lent = this->parts.pool == nullptr ? forwarding::LentWork() : this->parts.pool->lent();
    auto work = proxy::RunningWork();
    work.requests = this->parts.callers->connections() + counts.statements + lent.exchanges;
    work.transactions = counts.transactions + lent.leases;
    work.unanswered = this->parts.callers->unanswered() + lent.exchanges;
    return work;
}

auto CallerShutdown::advance() -> void
{
    const auto entered = this->steps.advance(this->runningWork(), support::now());
    if (entered == proxy::ShutdownPhase::Finishing) {
        this->parts.callers->drain();
        this->parts.leave();
    } else if (entered == proxy::ShutdownPhase::Closing) {
        this->parts.callers->closeUnasked();
    } else if (entered == proxy::ShutdownPhase::Done) {
        if (const auto unanswered = this->runningWork().unanswered; unanswered > 0) {
            support::log(support::Event::RequestsCut, {{"requests", std::uint64_t{unanswered}}});
        }
        this->done();
        return;
    }
    this->timer.expires_after(stepInterval);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->advance();
        }
    });
}

} // namespace sapphirespool::node
