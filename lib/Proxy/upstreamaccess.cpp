#include "upstreamaccess.h"
#include "sapphirespool/Support/clock.h"

#include "sapphirespool/Decisions/retrybudget.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sapphirespool::proxy
{

namespace
{

/// When a view may be confirmed again: control's leader changes within about a second.
constexpr auto staleViewRetry = std::chrono::milliseconds(1000);

/// When a resend after a lost primary has a chance: a promotion takes up to about a second.
constexpr auto promotionRetry = std::chrono::milliseconds(1000);

/// Least pause before the primary is tried again; at this pace one waiting request adds 50 refused connections a second at most.
constexpr auto shortestPromotionPause = std::chrono::milliseconds(20);

/// Requests that may wait outside of the dispatcher's queue: as many as the queue of a service holds by default.
constexpr auto mostPausing = std::size_t{256};

/// A primary must show the present; an old one cannot be told from it by its answers, so its age counts from the lease.
auto acceptedAge(const decisions::Work &work) -> std::chrono::milliseconds
{
    return work.access == Access::Write ? std::chrono::milliseconds(0) : work.maxAge;
}

} // namespace

auto staleView() -> NotRun
{
    return NotRun{RefusalReason::StaleView, "control has not confirmed this proxy's view of the group for too long", staleViewRetry};
}

auto stopping() -> NotRun
{
    return NotRun{RefusalReason::Draining, "this proxy is about to stop", std::chrono::milliseconds(0)};
}

UpstreamAccess::UpstreamAccess(std::shared_ptr<membership::ViewHolder> views,
                               std::shared_ptr<membership::ControlLink> control,
                               std::shared_ptr<Admission> admission,
                               std::shared_ptr<upstreams::Pool> pool,
                               std::shared_ptr<Recorder> recorder,
                               std::uint64_t seed)
    : views(std::move(views))
    , control(std::move(control))
    , admission(std::move(admission))
    , pool(std::move(pool))
    , recorder(std::move(recorder))
    , random(seed)
{
}

auto UpstreamAccess::obtain(decisions::Work work, GroupId group) -> boost::asio::awaitable<GrantOutcome>
{
    for (auto round = std::uint32_t{1};; ++round) {
        auto obtained = co_await this->tryObtain(work, group);
        auto *const again = std::get_if<TryAgain>(&obtained);
        if (again == nullptr || !again->awaitsPrimary) {
            co_return obtained;
        }
        const auto paused = co_await this->pauseForPromotion(round, work.deadline);
        if (!paused) {
            co_return std::move(std::get<NotRun>(again->lastResort));
        }
        this->recorder->retried(work.service, metrics::RetryReason::ConnectFailed);
    }
}

auto UpstreamAccess::pauseForPromotion(std::uint32_t round, TimePoint deadline) -> boost::asio::awaitable<bool>
{
    // For the second or so between the loss of a primary and the promotion every connection to it fails. Given up at once, the bookings
    // of that second would all come back as refusals, though most of their callers allow the time that the promotion takes.
    const auto part = std::uniform_real_distribution<double>(0, 1)(this->random);
    const auto pause = shortestPromotionPause + decisions::retryDelay(round, part);
    if (this->pausing >= mostPausing || std::chrono::steady_clock::now() + pause >= deadline) {
        co_return false;
    }
    ++this->pausing;
    auto executor = co_await boost::asio::this_coro::executor;
    auto timer = boost::asio::steady_timer(executor, pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
    --this->pausing;
    co_return true;
}

auto UpstreamAccess::tryObtain(decisions::Work work, GroupId group) -> boost::asio::awaitable<GrantOutcome>
{
    if (this->hasForwardingEnded()) {
        co_return stopping();
    }
    if (!this->leaseCovers(acceptedAge(work))) {
        co_return staleView();
    }
    auto admitted = co_await this->admission->admit(work);
    if (const auto *const refusal = std::get_if<decisions::Refuse>(&admitted)) {
        co_return NotRun{refusal->reason, "no upstream of group " + group.value() + " could take it", refusal->retryAfter};
    }
    auto &slot = std::get<Slot>(admitted);
    const auto view = this->views->current();
    const auto *const groupView = view->findGroup(group);
    const auto *const member = groupView == nullptr ? nullptr : groupView->findMember(slot.upstream());
    if (member == nullptr) {
        auto refusal = NotRun{RefusalReason::NoUpstream, "upstream " + slot.upstream().value() + " left the group"};
        co_return TryAgain{metrics::RetryReason::NotSent, std::move(refusal)};
    }
    const auto isPrimary = groupView->primary == slot.upstream();
    if (work.access == Access::Write && !isPrimary) {
        auto refusal = NotRun{RefusalReason::NoPrimary, "the primary of group " + group.value() + " changed"};
        co_return TryAgain{metrics::RetryReason::NotSent, std::move(refusal)};
    }
    auto upstream = slot.upstream();
    auto grant = Grant{std::move(slot), nullptr, std::move(upstream), std::move(group), groupView->term, isPrimary};
    auto connected = co_await this->connect(std::move(grant), *member, std::move(work));
    co_return connected;
}

auto UpstreamAccess::connect(Grant grant, membership::UpstreamView member, decisions::Work work) -> boost::asio::awaitable<GrantOutcome>
{
    grant.connection = co_await this->pool->acquire(std::move(member), work.deadline);
    if (grant.connection == nullptr) {
        this->suspect(grant);
        grant.slot.finish(decisions::WorkOutcome::Failed);
        auto refusal = NotRun{RefusalReason::ConnectFailed, "no connection to " + grant.upstream.value(), promotionRetry};
        co_return TryAgain{metrics::RetryReason::ConnectFailed, std::move(refusal), false, false, false, grant.isPrimary};
    }
    if (this->hasForwardingEnded()) {
        co_return stopping();
    }
    // The lease may have run out in the queue or while connecting. A write sent now could reach a primary that was replaced
    // meanwhile; and while it runs nobody would learn of it.
    if (!this->leaseCovers(acceptedAge(work))) {
        co_return staleView();
    }
    co_return grant;
}

auto UpstreamAccess::leaseCovers(std::chrono::milliseconds age) const -> bool
{
    // Nobody is promoted before the leases on the old term have run out. So what an upstream of the viewed term shows is at
    // most as old as the lease is over, and a read that accepts this age may still be served.
    return this->views->leaseLive(support::now() - age);
}

auto UpstreamAccess::endForwardingAt(TimePoint end) -> void
{
    this->forwardingEnd = end;
}

auto UpstreamAccess::hasForwardingEnded() const -> bool
{
    return support::now() >= this->forwardingEnd;
}

auto UpstreamAccess::suspect(const Grant &grant) -> void
{
    if (grant.isPrimary && this->control != nullptr) {
        this->control->suspect({grant.group, grant.term, grant.upstream});
    }
}

auto UpstreamAccess::view() const -> std::shared_ptr<const membership::ClusterView>
{
    return this->views->current();
}

} // namespace sapphirespool::proxy
