#include "sapphirespool/Interactive/linkpool.h"

#include "linkplace.h"
#include "meteredlink.h"
#include "runvalues.h"
#include "singleflight.h"

#include "sapphirespool/Http/liveness.h"
#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"
#include "sapphirespool/Support/presence.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Retry delay for callers that met an unreachable upstream: about the time until the pool's probes find the upstream reachable again.
constexpr auto unreachableRetry = std::chrono::duration_cast<std::chrono::milliseconds>(support::Presence::longestPause);

/// Time limit of a probe. It is longer than that of a probe on which statements wait, because an overloaded proxy or network path must
/// not make a live upstream count as unreachable.
constexpr auto lookLimit = 2 * http::reachLimit;

/// Minimum time between two probes of an upstream with overdue statements. Such an upstream is slow, or its answers are lost, for
/// seconds at a time.
constexpr auto overdueLookSpacing = std::chrono::milliseconds(500);

/// Lower bound of the time after which a statement is overdue: a few times the duration of most statements.
constexpr auto soonestOverdue = std::chrono::milliseconds(100);

auto unreachableReply(const UpstreamId &upstream) -> FailureReply
{
    return {Failure::Unreachable, upstream.value() + " could not be reached a moment ago", unreachableRetry};
}

class PlainLinkPool : public LinkPool, public WorkMeter, public std::enable_shared_from_this<PlainLinkPool>
{
public:
    PlainLinkPool(std::shared_ptr<LinkConnector> connector, asio::any_io_executor executor)
        : connector(std::move(connector))
        , executor(std::move(executor))
        , proving(this->executor)
    {
    }

    auto acquire(GroupId group, membership::UpstreamView upstream, LinkClaim claim) -> asio::awaitable<LeaseResult> override
    {
        const auto self = this->shared_from_this();
        const auto id = upstream.id;
        auto &place = this->places[id];
        place.retired = false;
        place.upstream = upstream;
        if (place.idle.empty() && !place.presence.isPresent()) {
            co_return unreachableReply(id);
        }
        if (!claim.takesSlot || (place.waiters.empty() && place.hasSlot())) {
            if (auto link = takeIdle(place, claim.values)) {
                this->occupy(place, claim.takesSlot);
                co_return this->lease(id, std::move(link), claim.takesSlot);
            }
            if (place.hasRoom()) {
                this->occupy(place, claim.takesSlot);
                co_return co_await this->open(std::move(group), std::move(upstream), claim);
            }
        }
        const auto now = support::now();
        const auto statement = decisions::QueuedStatement{claim.priority, now + claim.objective, claim.takesSlot};
        const auto wait = expectedWait(place, statement, now);
        if (place.queue.isFullFor(statement, now, wait)) {
            co_return busyReply("too many statements wait for " + id.value(), wait);
        }
        const auto ticket = place.queue.push(statement);
        const auto waiter = std::make_shared<Waiter>(this->executor);
        waiter->takesSlot = claim.takesSlot;
        place.waiters.emplace(ticket, waiter);
        waiter->timer.expires_after(claim.patience);
        co_await waiter->timer.async_wait(awaitTuple);
        if (waiter->link != nullptr) {
            co_return this->lease(id, std::move(waiter->link), claim.takesSlot);
        }
        if (waiter->mayOpen) {
            co_return co_await this->open(std::move(group), std::move(upstream), claim);
        }
        if (waiter->unreachable) {
            co_return unreachableReply(id);
        }
        auto &left = this->places[id];
        left.queue.erase(ticket);
        left.waiters.erase(ticket);
        co_return busyReply("no connection to " + id.value() + " came free in time", expectedWait(left, statement, support::now()));
    }

    auto probe(GroupId group, membership::UpstreamView upstream, Duration limit, bool thorough) -> asio::awaitable<std::optional<FailureReply>> override
    {
        const auto self = this->shared_from_this();
        const auto reached = co_await this->connector->reaches(upstream, std::min<Duration>(http::reachLimit, limit));
        if (!reached) {
            auto why = FailureReply{Failure::Unreachable, upstream.id.value() + " takes no connection", {}};
            co_return why;
        }
        if (!thorough) {
            co_return std::nullopt;
        }
        auto result = co_await this->connector->connect(std::move(group), std::move(upstream), limit);
        if (auto *const link = std::get_if<std::shared_ptr<UpstreamLink>>(&result)) {
            (*link)->close();
            co_return std::nullopt;
        }
        co_return std::get<FailureReply>(std::move(result));
    }

    auto prove(GroupId group, membership::UpstreamView upstream, Duration oldest, Duration limit) -> asio::awaitable<std::optional<PositionProof>> override
    {
        const auto self = this->shared_from_this();
        const auto id = upstream.id;
        if (auto known = this->provenSince(id, support::now() - oldest)) {
            co_return known;
        }
        const auto asked = support::now();
        const auto flight = this->proving.begin(id);
        if (flight == nullptr) {
            co_await this->proving.join(id);
            co_return this->provenSince(id, asked - oldest);
        }
        auto claim = LinkClaim();
        claim.patience = limit;
        claim.connectLimit = limit;
        claim.takesSlot = false;
        auto leased = co_await this->acquire(std::move(group), std::move(upstream), std::move(claim));
        auto *const lease = std::get_if<LinkLease>(&leased);
        if (lease == nullptr) {
            co_return std::nullopt;
        }
        auto proof = co_await proveOn(*lease, limit);
        if (proof) {
            this->places[id].proof = proof;
        }
        co_return proof;
    }

    auto setLimits(const UpstreamId &upstream, const LinkLimits &limits) -> void override
    {
        auto &place = this->places[upstream];
        place.limits = limits;
        while (!place.idle.empty() && place.idle.size() + place.busy > limits.links) {
            place.idle.front()->close();
            place.idle.erase(place.idle.begin());
        }
        this->serveWaiters(place);
        this->forgetIfUnused(upstream);
    }

    auto retire(const UpstreamId &upstream) -> void override
    {
        const auto found = this->places.find(upstream);
        if (found == this->places.end()) {
            return;
        }
        auto &place = found->second;
        place.retired = true;
        for (const auto &link : place.idle) {
            link->close();
        }
        place.idle.clear();
    }

    [[nodiscard]] auto counts(const UpstreamId &upstream) const -> LinkCounts override
    {
        const auto found = this->places.find(upstream);
        return found == this->places.end() ? LinkCounts() : countsOf(found->second);
    }

    [[nodiscard]] auto counts() const -> LinkCounts override
    {
        auto sum = LinkCounts();
        for (const auto &[id, place] : this->places) {
            const auto part = countsOf(place);
            sum.idle += part.idle;
            sum.busy += part.busy;
            sum.waiting += part.waiting;
            sum.resting += part.resting;
        }
        return sum;
    }

    auto rested(const UpstreamId &upstream) -> void override
    {
        auto &place = this->places[upstream];
        ++place.resting;
        this->serveWaiters(place);
    }

    auto resumed(const UpstreamId &upstream) -> void override
    {
        --this->places[upstream].resting;
    }

    auto worked(const UpstreamId &upstream, Duration took) -> void override
    {
        this->places[upstream].serviceTime.record(took);
    }

    auto overdue(const UpstreamId &upstream) -> void override
    {
        auto &place = this->places[upstream];
        const auto now = support::now();
        if (place.presence.isPresent() && now - place.overdueLookAt >= overdueLookSpacing) {
            place.overdueLookAt = now;
            asio::co_spawn(this->executor, lookAtOverdue(this->shared_from_this(), upstream), asio::detached);
        }
    }

    [[nodiscard]] auto overdueAfter(const UpstreamId &upstream) const -> Duration override
    {
        const auto found = this->places.find(upstream);
        return found == this->places.end() ? soonestOverdue : std::max<Duration>(soonestOverdue, found->second.serviceTime.high());
    }

private:
    static auto countsOf(const Place &place) -> LinkCounts
    {
        return {place.idle.size(), place.busy, place.waiters.size(), place.resting};
    }

    static auto expectedWait(const Place &place, const decisions::QueuedStatement &statement, TimePoint now) -> Duration
    {
        return place.queue.expectedWait(statement, now, place.serviceTime.mean(), std::min(place.limits.statements, place.limits.links));
    }

    static auto busyReply(std::string detail, Duration wait) -> FailureReply
    {
        // A caller that retries before the present queue is served finds it again. The answer to a single statement rarely arrives
        // sooner than this minimum.
        constexpr auto soonest = std::chrono::milliseconds(50);
        return {Failure::Busy, std::move(detail), std::max(soonest, std::chrono::ceil<std::chrono::milliseconds>(wait))};
    }

    auto occupy(Place &place, bool takesSlot) -> void
    {
        ++place.busy;
        place.resting += takesSlot ? 0 : 1;
    }

    static auto takeIdle(Place &place, const SessionValues &wanted) -> std::shared_ptr<MeteredLink>
    {
        std::erase_if(place.idle, [](const std::shared_ptr<MeteredLink> &link) {
            if (!link->isUsable()) {
                link->close();
                return true;
            }
            return false;
        });
        if (place.idle.empty()) {
            return nullptr;
        }
        auto found = std::find_if(place.idle.rbegin(), place.idle.rend(), [&wanted](const std::shared_ptr<MeteredLink> &link) {
            return link->state.values == wanted;
        });
        if (found == place.idle.rend()) {
            found = place.idle.rbegin();
        }
        auto link = std::move(*found);
        place.idle.erase(std::next(found).base());
        return link;
    }

    [[nodiscard]] auto provenSince(const UpstreamId &upstream, TimePoint moment) const -> std::optional<PositionProof>
    {
        const auto found = this->places.find(upstream);
        const auto covers = found != this->places.end() && found->second.proof && found->second.proof->sent >= moment;
        return covers ? found->second.proof : std::nullopt;
    }

    static auto proveOn(LinkLease &lease, Duration limit) -> asio::awaitable<std::optional<PositionProof>>
    {
        const auto commands = std::vector<Command>{commandOfKind(CommandKind::Begin), commandOfKind(CommandKind::Rollback)};
        const auto exchange = co_await lease.link().exchange(commands, limit);
        if (exchange.results.size() < commands.size() || exchange.results.back().status != TransactionStatus::None) {
            co_return std::nullopt;
        }
        lease.giveBack();
        const auto &begun = exchange.results.front();
        if (begun.failure || !begun.position) {
            co_return std::nullopt;
        }
        co_return PositionProof{exchange.sentAt, *begun.position};
    }

    /// Leases a connection that occupy() has already counted.
    auto lease(const UpstreamId &upstream, std::shared_ptr<MeteredLink> link, bool takesSlot) -> LeaseResult
    {
        link->resting = !takesSlot;
        return LinkLease(this->weak_from_this(), upstream, std::move(link));
    }

    /// Opens a connection that occupy() has already counted, and leases it.
    auto open(GroupId group, membership::UpstreamView upstream, LinkClaim claim) -> asio::awaitable<LeaseResult>
    {
        const auto id = upstream.id;
        auto result = co_await this->connector->connect(std::move(group), std::move(upstream), claim.connectLimit);
        if (auto *const link = std::get_if<std::shared_ptr<UpstreamLink>>(&result)) {
            noteBack(id, this->places[id]);
            auto metered = std::make_shared<MeteredLink>(std::move(*link), this->weak_from_this(), id);
            co_return this->lease(id, std::move(metered), claim.takesSlot);
        }
        auto &place = this->places[id];
        --place.busy;
        place.resting -= claim.takesSlot ? 0 : 1;
        auto why = std::get<FailureReply>(std::move(result));
        if (why.failure == Failure::Unreachable) {
            this->leaveAlone(id, place);
        }
        this->serveWaiters(place);
        co_return why;
    }

    /// Marks \p upstream as unreachable, refuses all its waiters and probes it in the background until it is reachable again.
    auto leaveAlone(const UpstreamId &upstream, Place &place) -> void
    {
        const auto now = support::now();
        if (place.presence.failed(now) && place.lines.tryTake(now)) {
            support::log(support::Event::UpstreamAway, {{"upstream", upstream.value()}, {"waiting", place.waiters.size()}, {"busy", place.busy}});
        }
        // A network partition does not close connections. A statement sent on one of them would wait until its deadline.
        for (const auto &link : place.idle) {
            link->close();
        }
        place.idle.clear();
        for (const auto &[ticket, waiter] : std::exchange(place.waiters, {})) {
            place.queue.erase(ticket);
            waiter->unreachable = true;
            waiter->timer.cancel();
        }
        if (!std::exchange(place.lookedFor, true)) {
            asio::co_spawn(this->executor, lookFor(this->shared_from_this(), upstream), asio::detached);
        }
    }

    static auto noteBack(const UpstreamId &upstream, Place &place) -> void
    {
        const auto now = support::now();
        if (place.presence.answered() && place.lines.tryTake(now)) {
            support::log(support::Event::UpstreamBack, {{"upstream", upstream.value()}, {"away_ms", now - place.presence.missedSince()}});
        }
    }

    static auto lookFor(std::shared_ptr<PlainLinkPool> self, UpstreamId upstream) -> asio::awaitable<void>
    {
        auto pause = asio::steady_timer(self->executor);
        auto found = self->places.find(upstream);
        while (found != self->places.end() && !found->second.presence.isPresent() && !found->second.retired) {
            pause.expires_after(found->second.presence.nextPause());
            co_await pause.async_wait(awaitTuple);
            co_await self->lookOnce(upstream);
            found = self->places.find(upstream);
        }
        if (found != self->places.end()) {
            // If the upstream was retired meanwhile, a later request for it connects again.
            found->second.presence.answered();
            found->second.lookedFor = false;
        }
    }

    /// Probes \p upstream and marks it as reachable if it accepts the connection.
    /// \return whether it is reachable, or no longer in the pool
    auto lookOnce(UpstreamId upstream) -> asio::awaitable<bool>
    {
        const auto known = this->places.find(upstream);
        if (known == this->places.end()) {
            co_return true;
        }
        const auto reached = co_await this->connector->reaches(known->second.upstream, lookLimit);
        const auto present = this->places.find(upstream);
        if (reached && present != this->places.end()) {
            noteBack(upstream, present->second);
        }
        co_return reached;
    }

    static auto lookAtOverdue(std::shared_ptr<PlainLinkPool> self, UpstreamId upstream) -> asio::awaitable<void>
    {
        const auto reached = co_await self->lookOnce(upstream);
        const auto found = self->places.find(upstream);
        if (!reached && found != self->places.end()) {
            self->leaveAlone(upstream, found->second);
        }
    }

    auto returned(const UpstreamId &upstream, std::shared_ptr<UpstreamLink> given, bool clean) -> void override
    {
        auto &place = this->places[upstream];
        // The pool leases only metered connections.
        auto link = std::static_pointer_cast<MeteredLink>(std::move(given));
        --place.busy;
        place.resting -= std::exchange(link->resting, false) ? 1 : 0;
        if (clean) {
            noteBack(upstream, place);
        }
        const auto keep = clean && !place.retired && place.idle.size() + place.busy < place.limits.links && link->isUsable();
        if (keep) {
            place.idle.push_back(std::move(link));
        } else {
            link->close();
        }
        this->serveWaiters(place);
        this->forgetIfUnused(upstream);
    }

    auto forgetIfUnused(const UpstreamId &upstream) -> void
    {
        const auto &place = this->places[upstream];
        if (place.limits.links == 0 && place.idle.empty() && place.busy == 0 && place.waiters.empty()) {
            this->places.erase(upstream);
        }
    }

    auto serveWaiters(Place &place) -> void
    {
        while (!place.idle.empty() || place.hasRoom()) {
            const auto next = place.queue.pop(support::now(), place.serviceTime.mean(), place.hasSlot());
            if (!next) {
                return;
            }
            const auto waiter = place.waiters.extract(*next).mapped();
            if (!place.idle.empty()) {
                waiter->link = std::move(place.idle.back());
                place.idle.pop_back();
            } else {
                waiter->mayOpen = true;
            }
            this->occupy(place, waiter->takesSlot);
            waiter->timer.cancel();
        }
    }

    std::shared_ptr<LinkConnector> connector;
    asio::any_io_executor executor;
    std::map<UpstreamId, Place> places;
    SingleFlight<UpstreamId> proving;
};

} // namespace

auto makeLinkPool(std::shared_ptr<LinkConnector> connector, boost::asio::any_io_executor executor) -> std::shared_ptr<LinkPool>
{
    return std::make_shared<PlainLinkPool>(std::move(connector), std::move(executor));
}

} // namespace sapphirespool::interactive
