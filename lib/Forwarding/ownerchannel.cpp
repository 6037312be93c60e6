#include "ownerchannel.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::forwarding
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// A round trip between availability zones takes some milliseconds; a proxy that accepts no connection in this time is down or unreachable.
constexpr auto connectTimeout = std::chrono::milliseconds(400);
/// Time that an answer may take beyond the owner's own time limit: the round trip, and scheduling delays of a busy processor.
constexpr auto answerMargin = std::chrono::milliseconds(250);
/// An owner that has sent nothing for this long while a request is pending is pinged. Owners answer the statements of many proxies, which
/// take some tens of milliseconds; at most one ping per interval makes the cost of an idle owner negligible.
constexpr auto pingInterval = std::chrono::milliseconds(100);
/// Time limit of a probe. No statement waits for a probe, and an owner that is short of processor time answers late but can still serve.
constexpr auto probeTimeout = std::chrono::milliseconds(1'000);
/// A responsive owner answers a ping within the round trip and one scheduling delay of a busy processor.
constexpr auto pongTimeout = std::chrono::milliseconds(150);

auto busyReply(std::string detail) -> interactive::FailureReply
{
    constexpr auto retryAfter = std::chrono::milliseconds(100);
    return {interactive::Failure::Busy, std::move(detail), retryAfter};
}

/// A connection to an upstream that another proxy holds and this one leases.
class RemoteConnection : public interactive::UpstreamConnection
{
public:
    RemoteConnection(std::shared_ptr<OwnerChannel> channel, std::uint64_t lease)
        : channel(std::move(channel))
        , lease(lease)
        , generation(this->channel->generation())
    {
    }

    ~RemoteConnection() override
    {
        this->release(false);
    }

    auto exchange(std::span<const interactive::Command> commands, Duration limit) -> asio::awaitable<interactive::ExchangeResult> override
    {
        const auto sentAt = support::now();
        auto result = interactive::ExchangeResult();
        if (!this->isUsable()) {
            result.broken = true;
            result.sentAt = sentAt;
            co_return result;
        }
        auto request = Exchange{{commands.begin(), commands.end()}, std::chrono::ceil<std::chrono::milliseconds>(limit)};
        result = co_await this->channel->exchange(this->lease, std::move(request));
        // The owner does not report its send time, since the clocks of two proxies cannot be compared. The send time here is earlier than
        // the owner's, so a proof never appears younger than it is.
        result.sentAt = sentAt;
        this->broken = this->broken || result.broken;
        co_return result;
    }

    auto close() -> void override
    {
        this->release(false);
    }

    [[nodiscard]] auto isUsable() const -> bool override
    {
        return !this->released && !this->broken && this->channel->generation() == this->generation;
    }

    /// Releases the lease at the owner.
    auto release(bool clean) -> void
    {
        if (!std::exchange(this->released, true) && this->channel->generation() == this->generation) {
            this->channel->release(this->lease, Release{clean && !this->broken, clean ? this->state : interactive::AppliedState()});
        }
    }

private:
    std::shared_ptr<OwnerChannel> channel;
    std::uint64_t lease;
    std::uint64_t generation;
    bool broken = false;
    bool released = false;
};

} // namespace

auto releaseRemote(interactive::UpstreamConnection &connection, bool clean) -> void
{
    if (auto *const remote = dynamic_cast<RemoteConnection *>(&connection)) {
        remote->release(clean);
    }
}

OwnerChannel::OwnerChannel(const asio::any_io_executor &executor, Endpoint endpoint)
    : executor(executor)
    , endpoint(std::move(endpoint))
{
}

auto OwnerChannel::acquire(Acquire request) -> asio::awaitable<AcquireResult>
{
    const auto self = this->shared_from_this();
    auto result = AcquireResult();
    result.connection = busyReply("the proxy that owns the connections does not answer");
    if (this->presence.isGivenUp(support::now())) {
        co_return result;
    }
    const auto connected = co_await this->connect(connectTimeout);
    if (!connected) {
        co_return result;
    }
    const auto limit = std::max<Duration>(request.waitLimit, request.connectLimit) + answerMargin;
    const auto lease = ++this->lastLease;
    const auto generation = this->generation();
    auto message = Message{lease, std::move(request)};
    auto answer = co_await this->sendRequest(std::move(message), limit, UnresponsivePolicy::Abandon);
    if (!answer) {
        if (generation == this->generation()) {
            this->release(lease, Release());
            this->noteFailure();
        }
        co_return result;
    }
    result.answered = true;
    if (auto *const refused = std::get_if<Refused>(&answer->body)) {
        result.connection = std::move(refused->why);
        result.notOwner = refused->notOwner;
        co_return result;
    }
    if (auto *const acquired = std::get_if<Acquired>(&answer->body)) {
        const auto remote = std::make_shared<RemoteConnection>(self, lease);
        remote->state = std::move(acquired->state);
        result.load = acquired->load;
        result.connection = std::static_pointer_cast<interactive::UpstreamConnection>(remote);
    }
    co_return result;
}

auto OwnerChannel::exchange(std::uint64_t lease, Exchange request) -> asio::awaitable<interactive::ExchangeResult>
{
    const auto self = this->shared_from_this();
    const auto limit = request.limit + answerMargin;
    const auto hasLastingEffect = std::any_of(request.commands.begin(), request.commands.end(), [](const interactive::Command &command) {
        return command.mayCommit;
    });
    auto message = Message{lease, std::move(request)};
    auto answer = co_await this->sendRequest(std::move(message), limit, hasLastingEffect ? UnresponsivePolicy::KeepWaiting : UnresponsivePolicy::Abandon);
    if (answer) {
        if (auto *const exchanged = std::get_if<Exchanged>(&answer->body)) {
            co_return std::move(exchanged->result);
        }
    }
    // Without an answer it is unknown whether the owner sent the commands to the upstream.
    auto lost = interactive::ExchangeResult();
    lost.sent = true;
    lost.broken = true;
    co_return lost;
}

auto OwnerChannel::prove(Prove request) -> asio::awaitable<std::optional<interactive::PositionProof>>
{
    const auto self = this->shared_from_this();
    if (this->presence.isGivenUp(support::now())) {
        co_return std::nullopt;
    }
    const auto connected = co_await this->connect(connectTimeout);
    if (!connected) {
        co_return std::nullopt;
    }
    const auto sentAt = support::now();
    const auto limit = request.limit + answerMargin;
    auto message = Message{++this->lastLease, std::move(request)};
    const auto answer = co_await this->sendRequest(std::move(message), limit, UnresponsivePolicy::Abandon);
    const auto *const proved = answer ? std::get_if<Proved>(&answer->body) : nullptr;
    if (proved == nullptr || !proved->position) {
        co_return std::nullopt;
    }
    // The owner measured the age after it received the request. Subtracted from the time of the request, the age makes the proof appear
    // slightly older than it is, which is the safe direction.
    co_return interactive::PositionProof{sentAt - proved->age, *proved->position};
}

auto OwnerChannel::takeQuota(CustomerId customer, Duration maxWait, Duration limit) -> asio::awaitable<decisions::QuotaDecision>
{
    const auto self = this->shared_from_this();
    if (this->presence.isGivenUp(support::now())) {
        co_return decisions::NotAllocator();
    }
    const auto connected = co_await this->connect(std::min<Duration>(connectTimeout, limit));
    if (!connected) {
        co_return decisions::NotAllocator();
    }
    auto message = Message{++this->lastLease, TakeQuota{std::move(customer), std::chrono::floor<std::chrono::microseconds>(maxWait)}};
    const auto generation = this->generation();
    const auto answer = co_await this->sendRequest(std::move(message), std::min<Duration>(limit, answerMargin), UnresponsivePolicy::Abandon);
    const auto *const taken = answer ? std::get_if<QuotaTaken>(&answer->body) : nullptr;
    if (taken == nullptr) {
        if (generation == this->generation()) {
            this->noteFailure();
        }
        co_return decisions::NotAllocator();
    }
    co_return taken->decision;
}

auto OwnerChannel::release(std::uint64_t lease, Release request) -> void
{
    if (this->connection != nullptr) {
        this->connection->send(Message{lease, std::move(request)});
    }
}

auto OwnerChannel::close() -> void
{
    this->closed = true;
    if (this->connection != nullptr) {
        this->connection->close();
    }
}

auto OwnerChannel::isReachable() const -> bool
{
    return this->presence.isPresent();
}

auto OwnerChannel::ownerRestarted() -> void
{
    this->noteReachable();
}

auto OwnerChannel::generation() const -> std::uint64_t
{
    return this->connection == nullptr ? 0 : this->connectionNumber;
}

auto OwnerChannel::connect(Duration limit) -> asio::awaitable<bool>
{
    const auto self = this->shared_from_this();
    if (this->connection != nullptr) {
        co_return true;
    }
    if (this->connecting != nullptr) {
        const auto pending = this->connecting;
        co_await pending->async_wait(awaitTuple);
        co_return this->connection != nullptr;
    }
    auto error = boost::system::error_code();
    const auto address = asio::ip::make_address(this->endpoint.address, error);
    if (error) {
        co_return false;
    }
    this->connecting = std::make_shared<asio::steady_timer>(this->executor, limit);
    const auto socket = std::make_shared<tcp::socket>(this->executor);
    this->connecting->async_wait([socket](const boost::system::error_code &waitError) {
        if (!waitError) {
            auto ignored = boost::system::error_code();
            socket->close(ignored);
        }
    });
    const auto [connectError] = co_await socket->async_connect(tcp::endpoint(address, this->endpoint.port), awaitTuple);
    const auto pending = std::exchange(this->connecting, nullptr);
    if (connectError || !socket->is_open()) {
        pending->cancel();
        this->noteFailure();
        co_return false;
    }
    this->connection = std::make_shared<FramedConnection>(std::move(*socket));
    ++this->connectionNumber;
    this->connection->start(
        [weak = this->weak_from_this()](Message message) {
            if (const auto owner = weak.lock()) {
                owner->received(std::move(message));
            }
        },
        [weak = this->weak_from_this()] {
            if (const auto owner = weak.lock()) {
                owner->ended();
            }
        });
    pending->cancel();
    co_return true;
}

auto OwnerChannel::received(Message message) -> void
{
    this->lastContactAt = support::now();
    this->noteReachable();
    const auto found = this->waiters.find(message.lease);
    if (found == this->waiters.end()) {
        return;
    }
    found->second->answer = std::move(message);
    found->second->timer.cancel();
}

auto OwnerChannel::ended() -> void
{
    this->connection.reset();
    for (const auto &[lease, waiter] : this->waiters) {
        waiter->timer.cancel();
    }
}

auto OwnerChannel::noteFailure() -> void
{
    const auto now = support::now();
    if (this->presence.failed(now) && this->logBudget.tryTake(now)) {
        support::log(support::Event::OwnerAway, {{"owner", this->endpoint.address}, {"silent_ms", now - this->lastContactAt}});
    }
    if (!std::exchange(this->probing, true)) {
        asio::co_spawn(this->executor, probeUntilReachable(this->shared_from_this()), asio::detached);
    }
}

auto OwnerChannel::noteReachable() -> void
{
    const auto now = support::now();
    if (this->presence.answered() && this->logBudget.tryTake(now)) {
        support::log(support::Event::OwnerBack, {{"owner", this->endpoint.address}, {"away_ms", now - this->presence.missedSince()}});
    }
}

auto OwnerChannel::probeUntilReachable(std::shared_ptr<OwnerChannel> self) -> asio::awaitable<void>
{
    auto pause = asio::steady_timer(self->executor);
    while (!self->presence.isPresent() && !self->closed) {
        pause.expires_after(self->presence.nextPause());
        co_await pause.async_wait(awaitTuple);
        if (!self->presence.isPresent() && !self->closed) {
            co_await self->probe();
        }
    }
    self->probing = false;
}

auto OwnerChannel::probe() -> asio::awaitable<void>
{
    const auto hadConnection = this->connection != nullptr;
    const auto connected = co_await this->connect(connectTimeout);
    if (!connected) {
        co_return;
    }
    const auto answered = co_await this->answersPing();
    if (answered || !hadConnection || this->presence.isPresent()) {
        co_return;
    }
    // After a network partition TCP retransmits on the old connection only after seconds. The old connection is closed only if the owner
    // answers on a new one, because closing it ends the leases of idle transactions, which an owner that is merely slow still holds.
    const auto fresh = std::make_shared<OwnerChannel>(this->executor, this->endpoint);
    const auto reached = co_await fresh->connect(connectTimeout);
    const auto isResponsive = reached && co_await fresh->answersPing();
    fresh->close();
    if (isResponsive && !this->presence.isPresent() && this->connection != nullptr) {
        this->connection->close();
        this->noteReachable();
    }
}

auto OwnerChannel::answersPing() -> asio::awaitable<bool>
{
    // A frozen VM still accepts connections, so only an answer counts.
    auto ping = Message{++this->lastLease, Ping()};
    const auto answer = co_await this->sendRequest(std::move(ping), probeTimeout, UnresponsivePolicy::KeepWaiting);
    co_return answer.has_value();
}

auto OwnerChannel::sendRequest(Message message, Duration limit, UnresponsivePolicy onUnresponsive) -> asio::awaitable<std::optional<Message>>
{
    const auto waiter = std::make_shared<Waiter>(this->executor);
    const auto lease = message.lease;
    this->waiters.insert_or_assign(lease, waiter);
    if (this->connection != nullptr && this->connection->send(message)) {
        if (onUnresponsive == UnresponsivePolicy::Abandon) {
            co_await this->awaitWithPings(waiter, limit);
        } else {
            waiter->timer.expires_after(limit);
            co_await waiter->timer.async_wait(awaitTuple);
        }
    }
    this->waiters.erase(lease);
    co_return std::move(waiter->answer);
}

auto OwnerChannel::awaitWithPings(std::shared_ptr<Waiter> waiter, Duration limit) -> asio::awaitable<void>
{
    // A VM that freezes or is partitioned leaves its connections open, without a reset. Without pings this statement and each one after it
    // would wait until their time limits, although other owners could serve them.
    const auto self = this->shared_from_this();
    const auto startGeneration = this->generation();
    const auto deadline = support::now() + limit;
    while (this->isPending(*waiter, startGeneration) && support::now() < deadline) {
        const auto left = deadline - support::now();
        waiter->timer.expires_after(std::min<Duration>(pingInterval, left));
        co_await waiter->timer.async_wait(awaitTuple);
        const auto isUnresponsive = support::now() - this->lastContactAt >= pingInterval;
        if (!isUnresponsive || !this->isPending(*waiter, startGeneration)) {
            continue;
        }
        const auto sentAt = support::now();
        this->connection->send(Message{0, Ping()});
        waiter->timer.expires_after(pongTimeout);
        co_await waiter->timer.async_wait(awaitTuple);
        if (this->isPending(*waiter, startGeneration) && this->lastContactAt < sentAt) {
            this->noteFailure();
            co_return;
        }
    }
}

auto OwnerChannel::isPending(const Waiter &waiter, std::uint64_t atGeneration) const -> bool
{
    return !waiter.answer && this->generation() == atGeneration;
}

} // namespace sapphirespool::forwarding
