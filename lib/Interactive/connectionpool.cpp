#include "sapphirespool/Interactive/connectionpool.h"

#include "meteredconnection.h"
#include "sessionhelpers.h"
#include "singleflight.h"
#include "upstreamentry.h"

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

/// Retry delay in the refusal of a statement whose upstream is unreachable: the longest pause between two probes, since the pool detects by a
/// probe that the upstream is reachable again.
constexpr auto unreachableRetryDelay = std::chrono::duration_cast<std::chrono::milliseconds>(support::Presence::longestPause);

/// Time limit of a probe. It is longer than that of a probe on which statements wait, because an overloaded proxy or network path must
/// not make a live upstream count as unreachable.
constexpr auto probeLimit = 2 * http::reachLimit;

/// Minimum time between two probes of an upstream with overdue statements. Such an upstream is slow, or its answers are lost, for
/// seconds at a time.
constexpr auto overdueProbeSpacing = std::chrono::milliseconds(500);

/// Lower bound of the time after which a statement is overdue: a few times the duration of most statements.
constexpr auto shortestOverdueLimit = std::chrono::milliseconds(100);

auto unreachableReply(const UpstreamId &upstream) -> FailureReply
{
    return {Failure::Unreachable, upstream.value() + " could not be reached a moment ago", unreachableRetryDelay};
}

class LocalConnectionPool : public ConnectionPool, public SlotObserver, public std::enable_shared_from_this<LocalConnectionPool>
{
public:
    LocalConnectionPool(std::shared_ptr<UpstreamConnector> connector, asio::any_io_executor executor)
        : connector(std::move(connector))
        , executor(std::move(executor))
        , proving(this->executor)
    {
    }

    auto acquire(GroupId group, membership::UpstreamView upstream, ConnectionRequest claim) -> asio::awaitable<LeaseResult> override
    {
        const auto self = this->shared_from_this();
        const auto id = upstream.id;
        auto &entry = this->entries[id];
        entry.retired = false;
        entry.upstream = upstream;
        if (entry.idle.empty() && !entry.presence.isPresent()) {
            co_return unreachableReply(id);
        }
        if (!claim.takesSlot || (entry.waiters.empty() && entry.hasSlot())) {
            if (auto connection = entry.idle.take(claim)) {
                this->occupy(entry, claim.takesSlot);
                co_return this->lease(id, std::move(connection), claim.takesSlot);
            }
            if (entry.canOpen() || entry.idle.evict()) {
                this->occupy(entry, claim.takesSlot);
                co_return co_await this->open(std::move(group), std::move(upstream), claim);
            }
        }
        const auto now = support::now();
        const auto statement = decisions::QueuedStatement{claim.priority, now + claim.objective, claim.takesSlot};
        const auto wait = expectedWait(entry, statement, now);
        if (entry.queue.isFullFor(statement, now, wait)) {
            co_return busyReply("too many statements wait for " + id.value(), wait);
        }
        const auto ticket = entry.queue.push(statement);
        const auto waiter = std::make_shared<Waiter>(this->executor, claim);
        entry.waiters.emplace(ticket, waiter);
        waiter->timer.expires_after(claim.waitLimit);
        co_await waiter->timer.async_wait(awaitTuple);
        if (waiter->connection != nullptr) {
            co_return this->lease(id, std::move(waiter->connection), claim.takesSlot);
        }
        if (waiter->mayOpen) {
            co_return co_await this->open(std::move(group), std::move(upstream), claim);
        }
        if (waiter->unreachable) {
            co_return unreachableReply(id);
        }
        auto &current = this->entries[id];
        current.queue.erase(ticket);
        current.waiters.erase(ticket);
        co_return busyReply("no connection to " + id.value() + " came free in time", expectedWait(current, statement, support::now()));
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
        auto result = co_await this->connector->connect(std::move(group), std::move(upstream), CustomerId(), limit);
        if (auto *const connection = std::get_if<std::shared_ptr<UpstreamConnection>>(&result)) {
            (*connection)->close();
            co_return std::nullopt;
        }
        co_return std::get<FailureReply>(std::move(result));
    }

    auto prove(GroupId group, membership::UpstreamView upstream, Duration maxAge, Duration limit) -> asio::awaitable<std::optional<PositionProof>> override
    {
        const auto self = this->shared_from_this();
        const auto id = upstream.id;
        if (auto known = this->provenSince(id, support::now() - maxAge)) {
            co_return known;
        }
        const auto requestedAt = support::now();
        const auto flight = this->proving.begin(id);
        if (flight == nullptr) {
            co_await this->proving.join(id);
            co_return this->provenSince(id, requestedAt - maxAge);
        }
        auto claim = ConnectionRequest();
        claim.waitLimit = limit;
        claim.connectLimit = limit;
        claim.takesSlot = false;
        claim.anyCustomer = true;
        auto leased = co_await this->acquire(std::move(group), std::move(upstream), std::move(claim));
        auto *const lease = std::get_if<ConnectionLease>(&leased);
        if (lease == nullptr) {
            co_return std::nullopt;
        }
        auto proof = co_await proveOn(*lease, limit);
        if (proof) {
            this->entries[id].proof = proof;
        }
        co_return proof;
    }

    auto setLimits(const UpstreamId &upstream, const ConnectionLimits &limits) -> void override
    {
        auto &entry = this->entries[upstream];
        entry.limits = limits;
        while (!entry.idle.empty() && entry.idle.size() + entry.busy > limits.connections) {
            entry.idle.evict();
        }
        this->serveWaiters(entry);
        this->eraseIfUnused(upstream);
    }

    auto retire(const UpstreamId &upstream) -> void override
    {
        const auto found = this->entries.find(upstream);
        if (found == this->entries.end()) {
            return;
        }
        auto &entry = found->second;
        entry.retired = true;
        entry.idle.closeAll();
    }

    [[nodiscard]] auto counts(const UpstreamId &upstream) const -> ConnectionCounts override
    {
        const auto found = this->entries.find(upstream);
        return found == this->entries.end() ? ConnectionCounts() : countsOf(found->second);
    }

    [[nodiscard]] auto counts() const -> ConnectionCounts override
    {
        auto sum = ConnectionCounts();
        for (const auto &[id, entry] : this->entries) {
            const auto part = countsOf(entry);
            sum.idle += part.idle;
            sum.busy += part.busy;
            sum.waiting += part.waiting;
            sum.withoutSlot += part.withoutSlot;
        }
        return sum;
    }

    auto slotReleased(const UpstreamId &upstream) -> void override
    {
        auto &entry = this->entries[upstream];
        ++entry.withoutSlot;
        this->serveWaiters(entry);
    }

    auto slotTaken(const UpstreamId &upstream) -> void override
    {
        --this->entries[upstream].withoutSlot;
    }

    auto commandAnswered(const UpstreamId &upstream, Duration took) -> void override
    {
        this->entries[upstream].serviceTime.record(took);
    }

    auto commandOverdue(const UpstreamId &upstream) -> void override
    {
        auto &entry = this->entries[upstream];
        const auto now = support::now();
        if (entry.presence.isPresent() && now - entry.overdueProbeAt >= overdueProbeSpacing) {
            entry.overdueProbeAt = now;
            asio::co_spawn(this->executor, probeOverdue(this->shared_from_this(), upstream), asio::detached);
        }
    }

    [[nodiscard]] auto overdueLimit(const UpstreamId &upstream) const -> Duration override
    {
        const auto found = this->entries.find(upstream);
        return found == this->entries.end() ? shortestOverdueLimit : std::max<Duration>(shortestOverdueLimit, found->second.serviceTime.upperEstimate());
    }

private:
    static auto countsOf(const UpstreamEntry &entry) -> ConnectionCounts
    {
        return {entry.idle.size(), entry.busy, entry.waiters.size(), entry.withoutSlot};
    }

    static auto expectedWait(const UpstreamEntry &entry, const decisions::QueuedStatement &statement, TimePoint now) -> Duration
    {
        return entry.queue.expectedWait(statement, now, entry.serviceTime.mean(), std::min(entry.limits.statements, entry.limits.connections));
    }

    static auto busyReply(std::string detail, Duration wait) -> FailureReply
    {
        // Lower bound of the retry delay. A caller that retries before the present queue is served would wait in it again, and a single
        // statement is rarely answered sooner.
        constexpr auto soonest = std::chrono::milliseconds(50);
        return {Failure::Busy, std::move(detail), std::max(soonest, std::chrono::ceil<std::chrono::milliseconds>(wait))};
    }

    auto occupy(UpstreamEntry &entry, bool takesSlot) -> void
    {
        ++entry.busy;
        entry.withoutSlot += takesSlot ? 0 : 1;
    }

    [[nodiscard]] auto provenSince(const UpstreamId &upstream, TimePoint moment) const -> std::optional<PositionProof>
    {
        const auto found = this->entries.find(upstream);
        const auto covers = found != this->entries.end() && found->second.proof && found->second.proof->sent >= moment;
        return covers ? found->second.proof : std::nullopt;
    }

    static auto proveOn(ConnectionLease &lease, Duration limit) -> asio::awaitable<std::optional<PositionProof>>
    {
        const auto commands = std::vector<Command>{makeCommand(CommandKind::Begin), makeCommand(CommandKind::Rollback)};
        const auto exchange = co_await lease.connection().exchange(commands, limit);
        if (exchange.results.size() < commands.size() || exchange.results.back().status != TransactionStatus::None) {
            co_return std::nullopt;
        }
        lease.release();
        const auto &begun = exchange.results.front();
        if (begun.failure || !begun.position) {
            co_return std::nullopt;
        }
        co_return PositionProof{exchange.sentAt, *begun.position};
    }

    /// Leases a connection that occupy() has already counted.
    auto lease(const UpstreamId &upstream, std::shared_ptr<MeteredConnection> connection, bool takesSlot) -> LeaseResult
    {
        connection->withoutSlot = !takesSlot;
        return ConnectionLease(this->weak_from_this(), upstream, std::move(connection));
    }

    /// Opens a connection that occupy() has already counted, and leases it.
    auto open(GroupId group, membership::UpstreamView upstream, ConnectionRequest claim) -> asio::awaitable<LeaseResult>
    {
        const auto id = upstream.id;
        auto result = co_await this->connector->connect(std::move(group), std::move(upstream), claim.customer, claim.connectLimit);
        if (auto *const connection = std::get_if<std::shared_ptr<UpstreamConnection>>(&result)) {
            markReachable(id, this->entries[id]);
            auto metered = std::make_shared<MeteredConnection>(std::move(*connection), this->weak_from_this(), id, std::move(claim.customer));
            co_return this->lease(id, std::move(metered), claim.takesSlot);
        }
        auto &entry = this->entries[id];
        --entry.busy;
        entry.withoutSlot -= claim.takesSlot ? 0 : 1;
        auto why = std::get<FailureReply>(std::move(result));
        if (why.failure == Failure::Unreachable) {
            this->markUnreachable(id, entry);
        }
        this->serveWaiters(entry);
        co_return why;
    }

    /// Marks \p upstream as unreachable, refuses all its waiters and probes it in the background until it is reachable again.
    auto markUnreachable(const UpstreamId &upstream, UpstreamEntry &entry) -> void
    {
        const auto now = support::now();
        if (entry.presence.failed(now) && entry.logBudget.tryTake(now)) {
            support::log(support::Event::UpstreamAway, {{"upstream", upstream.value()}, {"waiting", entry.waiters.size()}, {"busy", entry.busy}});
        }
        // A network partition does not close connections. A statement sent on an idle one would wait until its deadline.
        entry.idle.closeAll();
        for (const auto &[ticket, waiter] : std::exchange(entry.waiters, {})) {
            entry.queue.erase(ticket);
            waiter->unreachable = true;
            waiter->timer.cancel();
        }
        if (!std::exchange(entry.isProbed, true)) {
            asio::co_spawn(this->executor, probeUntilReachable(this->shared_from_this(), upstream), asio::detached);
        }
    }

    static auto markReachable(const UpstreamId &upstream, UpstreamEntry &entry) -> void
    {
        const auto now = support::now();
        if (entry.presence.answered() && entry.logBudget.tryTake(now)) {
            support::log(support::Event::UpstreamBack, {{"upstream", upstream.value()}, {"away_ms", now - entry.presence.missedSince()}});
        }
    }

    static auto probeUntilReachable(std::shared_ptr<LocalConnectionPool> self, UpstreamId upstream) -> asio::awaitable<void>
    {
        auto pause = asio::steady_timer(self->executor);
        auto found = self->entries.find(upstream);
        while (found != self->entries.end() && !found->second.presence.isPresent() && !found->second.retired) {
            pause.expires_after(found->second.presence.nextPause());
            co_await pause.async_wait(awaitTuple);
            co_await self->probeOnce(upstream);
            found = self->entries.find(upstream);
        }
        if (found != self->entries.end()) {
            // If the upstream was retired meanwhile, a later request for it connects again.
            found->second.presence.answered();
            found->second.isProbed = false;
        }
    }

    /// Probes \p upstream and marks it as reachable if it accepts the connection.
    /// \return whether it is reachable, or no longer in the pool
    auto probeOnce(UpstreamId upstream) -> asio::awaitable<bool>
    {
        const auto known = this->entries.find(upstream);
        if (known == this->entries.end()) {
            co_return true;
        }
        const auto reached = co_await this->connector->reaches(known->second.upstream, probeLimit);
        const auto present = this->entries.find(upstream);
        if (reached && present != this->entries.end()) {
            markReachable(upstream, present->second);
        }
        co_return reached;
    }

    static auto probeOverdue(std::shared_ptr<LocalConnectionPool> self, UpstreamId upstream) -> asio::awaitable<void>
    {
        const auto reached = co_await self->probeOnce(upstream);
        const auto found = self->entries.find(upstream);
        if (!reached && found != self->entries.end()) {
            self->markUnreachable(upstream, found->second);
        }
    }

    auto returned(const UpstreamId &upstream, std::shared_ptr<UpstreamConnection> given, bool clean) -> void override
    {
        auto &entry = this->entries[upstream];
        // The pool leases only metered connections.
        auto connection = std::static_pointer_cast<MeteredConnection>(std::move(given));
        --entry.busy;
        entry.withoutSlot -= std::exchange(connection->withoutSlot, false) ? 1 : 0;
        if (clean) {
            markReachable(upstream, entry);
        }
        const auto keep = clean && !entry.retired && entry.idle.size() + entry.busy < entry.limits.connections && connection->isUsable();
        if (keep) {
            entry.idle.put(std::move(connection));
            if (entry.idle.size() > entry.limits.idle) {
                entry.idle.evict();
            }
        } else {
            connection->close();
        }
        this->serveWaiters(entry);
        this->eraseIfUnused(upstream);
    }

    auto eraseIfUnused(const UpstreamId &upstream) -> void
    {
        const auto &entry = this->entries[upstream];
        if (entry.limits.connections == 0 && entry.idle.empty() && entry.busy == 0 && entry.waiters.empty()) {
            this->entries.erase(upstream);
        }
    }

    auto serveWaiters(UpstreamEntry &entry) -> void
    {
        while (!entry.idle.empty() || entry.canOpen()) {
            const auto next = entry.queue.pop(support::now(), entry.serviceTime.mean(), entry.hasSlot());
            if (!next) {
                return;
            }
            const auto waiter = entry.waiters.extract(*next).mapped();
            waiter->connection = entry.idle.take(waiter->request);
            waiter->mayOpen = waiter->connection == nullptr && (entry.canOpen() || entry.idle.evict());
            this->occupy(entry, waiter->request.takesSlot);
            waiter->timer.cancel();
        }
    }

    std::shared_ptr<UpstreamConnector> connector;
    asio::any_io_executor executor;
    std::map<UpstreamId, UpstreamEntry> entries;
    SingleFlight<UpstreamId> proving;
};

} // namespace

auto makeConnectionPool(std::shared_ptr<UpstreamConnector> connector, boost::asio::any_io_executor executor) -> std::shared_ptr<ConnectionPool>
{
    return std::make_shared<LocalConnectionPool>(std::move(connector), std::move(executor));
}

} // namespace sapphirespool::interactive
