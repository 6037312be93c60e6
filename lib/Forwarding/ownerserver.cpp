#include "ownerserver.h"

#include "sapphirespool/Support/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace sapphirespool::forwarding
{

namespace
{

namespace asio = boost::asio;

/// How long a request waits for a view that makes this proxy an owner. A new revision of the view reaches all proxies within some tenths of a
/// second. An owner that takes longer has lost contact to the control group, and the requesting proxy should try the next owner.
constexpr auto viewWaitLimit = std::chrono::milliseconds(250);

} // namespace

class OwnerConnection::Leases
{
public:
    std::map<std::uint64_t, interactive::ConnectionLease> held;
    /// Leases that were released before they were granted, or while an exchange was running on them. The release takes effect when the
    /// lease is granted or the exchange ends.
    std::set<std::uint64_t> releasedEarly;
    /// Leases on which an exchange is running.
    std::set<std::uint64_t> exchanging;
};

OwnerConnection::OwnerConnection(std::shared_ptr<FramedConnection> connection,
                                 std::shared_ptr<interactive::ConnectionPool> pool,
                                 std::weak_ptr<OwnedUpstreams> owned,
                                 std::shared_ptr<QuotaParts> quota)
    : connection(std::move(connection))
    , pool(std::move(pool))
    , owned(std::move(owned))
    , quota(std::move(quota))
    , leases(std::make_unique<Leases>())
{
}

OwnerConnection::~OwnerConnection() = default;

auto OwnerConnection::start(std::function<void()> closed) -> void
{
    const auto self = this->shared_from_this();
    this->connection->start(
        [self](Message message) {
            self->receive(std::move(message));
        },
        [self, closed = std::move(closed)] {
            self->leases->held.clear();
            closed();
        });
}

auto OwnerConnection::close() -> void
{
    this->connection->close();
}

auto OwnerConnection::lent() const -> LentWork
{
    const auto running = this->leases->exchanging.size();
    return {this->leases->held.size() + running, running + (this->connection->isWriting() ? 1U : 0U)};
}

auto OwnerConnection::receive(Message message) -> void
{
    const auto self = this->shared_from_this();
    if (auto *const request = std::get_if<Acquire>(&message.body)) {
        asio::co_spawn(this->connection->executor(), acquire(self, message.lease, std::move(*request)), asio::detached);
    } else if (auto *const commands = std::get_if<Exchange>(&message.body)) {
        asio::co_spawn(this->connection->executor(), exchange(self, message.lease, std::move(*commands)), asio::detached);
    } else if (auto *const ending = std::get_if<Release>(&message.body)) {
        this->release(message.lease, std::move(*ending));
    } else if (auto *const proof = std::get_if<Prove>(&message.body)) {
        asio::co_spawn(this->connection->executor(), prove(self, message.lease, std::move(*proof)), asio::detached);
    } else if (const auto *const taking = std::get_if<TakeQuota>(&message.body)) {
        this->connection->send(Message{message.lease, QuotaTaken{this->quota->takeOwn(taking->customer, support::now(), taking->maxWait)}});
    } else if (std::holds_alternative<Ping>(message.body)) {
        this->connection->send(Message{message.lease, Pong()});
    } else {
        // Only an owner sends answers; a peer that sends them here violates the protocol.
        this->connection->close();
    }
}

auto OwnerConnection::acquire(std::shared_ptr<OwnerConnection> self, std::uint64_t lease, Acquire request) -> asio::awaitable<void>
{
    auto upstream = co_await self->findOwned(request.group, request.upstream, std::min<Duration>(viewWaitLimit, request.waitLimit));
    if (!upstream || !self->mayLend()) {
        const auto *const detail = upstream ? "the owner is stopping and lends no connection to upstream " : "the owner does not know upstream ";
        auto why = interactive::FailureReply{interactive::Failure::Busy, detail + request.upstream.value(), {}};
        self->refuse(lease, Refused{std::move(why), true});
        co_return;
    }
    auto claim = interactive::ConnectionRequest();
    claim.customer = std::move(request.customer);
    claim.values = std::move(request.values);
    claim.waitLimit = request.waitLimit;
    claim.connectLimit = request.connectLimit;
    claim.objective = request.objective;
    claim.priority = request.priority;
    auto result = co_await self->pool->acquire(request.group, *std::move(upstream), std::move(claim));
    if (auto *const why = std::get_if<interactive::FailureReply>(&result)) {
        self->refuse(lease, Refused{std::move(*why)});
        co_return;
    }
    auto held = std::get<interactive::ConnectionLease>(std::move(result));
    if (!self->connection->isOpen() || self->leases->releasedEarly.erase(lease) > 0) {
        held.release();
        co_return;
    }
    const auto counts = self->pool->counts(request.upstream);
    auto answer = Message{lease, Acquired{held.connection().state, static_cast<std::uint32_t>(counts.busy + counts.waiting)}};
    self->leases->held.insert_or_assign(lease, std::move(held));
    self->connection->send(answer);
}

auto OwnerConnection::exchange(std::shared_ptr<OwnerConnection> self, std::uint64_t lease, Exchange request) -> asio::awaitable<void>
{
    auto answer = Message{lease, Exchanged()};
    auto &result = std::get<Exchanged>(answer.body).result;
    const auto found = self->leases->held.find(lease);
    if (found == self->leases->held.end()) {
        result.broken = true;
        self->connection->send(answer);
        co_return;
    }
    if (!self->mayLend()) {
        // Without the lease the connection closes, and the upstream rolls back what was not committed.
        self->leases->held.erase(found);
        result.broken = true;
        self->connection->send(answer);
        co_return;
    }
    // The lease is taken out of the map while the exchange runs: the connection may end meanwhile, which clears the map.
    auto held = std::move(found->second);
    self->leases->held.erase(found);
    self->leases->exchanging.insert(lease);
    result = co_await held.connection().exchange(request.commands, request.limit);
    self->leases->exchanging.erase(lease);
    const auto releasedEarly = self->leases->releasedEarly.erase(lease) > 0;
    if (self->connection->isOpen() && !releasedEarly) {
        self->leases->held.insert_or_assign(lease, std::move(held));
        self->connection->send(answer);
    }
}

auto OwnerConnection::release(std::uint64_t lease, Release request) -> void
{
    const auto found = this->leases->held.find(lease);
    if (found == this->leases->held.end()) {
        this->leases->releasedEarly.insert(lease);
        return;
    }
    auto held = std::move(found->second);
    this->leases->held.erase(found);
    if (request.clean) {
        held.connection().state = std::move(request.state);
        held.release();
    }
}

auto OwnerConnection::prove(std::shared_ptr<OwnerConnection> self, std::uint64_t number, Prove request) -> asio::awaitable<void>
{
    auto answer = Message{number, Proved()};
    auto upstream = co_await self->findOwned(request.group, request.upstream, Duration(0));
    if (upstream) {
        const auto proof = co_await self->pool->prove(request.group, *std::move(upstream), request.maxAge, request.limit);
        if (proof) {
            // Rounded up: a proof may be reported older than it is, never younger.
            const auto age = std::chrono::ceil<std::chrono::milliseconds>(support::now() - proof->sent);
            answer.body = Proved{proof->position, age};
        }
    }
    self->connection->send(answer);
}

auto OwnerConnection::findOwned(GroupId group, UpstreamId upstream, Duration waitLimit) -> asio::awaitable<std::optional<membership::UpstreamView>>
{
    const auto upstreams = this->owned.lock();
    if (upstreams == nullptr) {
        co_return std::nullopt;
    }
    co_return co_await upstreams->awaitOwned(std::move(group), std::move(upstream), waitLimit);
}

auto OwnerConnection::mayLend() const -> bool
{
    const auto upstreams = this->owned.lock();
    return upstreams != nullptr && upstreams->mayLend();
}

auto OwnerConnection::refuse(std::uint64_t lease, Refused refused) -> void
{
    if (this->leases->releasedEarly.erase(lease) == 0) {
        this->connection->send(Message{lease, std::move(refused)});
    }
}

} // namespace sapphirespool::forwarding
