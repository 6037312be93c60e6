#include "sapphirespool/Upstreams/pool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cassert>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphirespool::upstreams
{

namespace
{

namespace asio = boost::asio;

/// Time for a connection that is opened ahead of demand; many times the 12 ms that one costs.
constexpr auto warmingTimeout = std::chrono::milliseconds(1000);

/// Connections to one upstream.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool>
{
public:
    explicit UpstreamPool(std::shared_ptr<Connector> connector)
        : connector(std::move(connector))
    {
    }

    static auto acquire(std::shared_ptr<UpstreamPool> self, TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>>;
    auto warm(std::uint32_t connections, const asio::any_io_executor &executor) -> void;

    /// Takes the address and the incarnation of \p view; connections to an earlier one are of no use.
    auto meet(const membership::UpstreamView &view) -> void;
    auto setLimit(std::uint32_t connections) -> void;
    auto retire() -> void;
    [[nodiscard]] auto counts() const -> PoolCounts;
    [[nodiscard]] auto isEmpty() const -> bool;

private:
    class Lease;
    class Waiter;
    class Place;

    auto connect(std::unique_ptr<Place> place, TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>>;
    auto awaitTurn(TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>>;
    auto lease(std::shared_ptr<Connection> connection, std::unique_ptr<Place> place) -> std::shared_ptr<Connection>;
    auto giveBack(std::shared_ptr<Connection> connection, std::unique_ptr<Place> place) -> void;
    auto takeIdle() -> std::shared_ptr<Connection>;
    auto startEpoch() -> void;
    auto closeSurplus() -> void;
    auto wakeWaiters() -> void;

    /// An idle connection and the place it fills.
    struct IdleConnection
    {
        std::shared_ptr<Connection> connection;
        std::unique_ptr<Place> place;
    };

    std::shared_ptr<Connector> connector;
    Endpoint endpoint;
    Incarnation incarnation;
    std::uint32_t limit = 0;
    bool limitGiven = false;
    /// Counts retirements and restarts of the upstream; a connection of an earlier epoch is closed when it comes back.
    std::uint64_t epoch = 0;
    std::uint32_t places = 0;
    std::ptrdiff_t connecting = 0;
    std::vector<IdleConnection> idle;
    std::deque<Waiter *> waiting;
};

/// One of the connections that the limit allows. It is held from before the connection is opened until after it is closed, by
/// an object, so that an abandoned coroutine gives it back as well.
class UpstreamPool::Place
{
public:
    explicit Place(std::shared_ptr<UpstreamPool> pool)
        : pool(std::move(pool))
        , epoch(this->pool->epoch)
    {
        ++this->pool->places;
    }

    Place(const Place &) = delete;
    auto operator=(const Place &) -> Place & = delete;

    ~Place()
    {
        this->setConnecting(false);
        --this->pool->places;
        this->pool->wakeWaiters();
    }

    [[nodiscard]] auto isCurrent() const -> bool
    {
        return this->epoch == this->pool->epoch;
    }

    auto setConnecting(bool now) -> void
    {
        if (now != this->connecting) {
            this->connecting = now;
            this->pool->connecting += now ? 1 : -1;
        }
    }

private:
    std::shared_ptr<UpstreamPool> pool;
    std::uint64_t epoch;
    bool connecting = false;
};

/// What a session holds. Its end is the only way back into the pool.
class UpstreamPool::Lease : public Connection
{
public:
    Lease(std::shared_ptr<UpstreamPool> pool, std::shared_ptr<Connection> connection, std::unique_ptr<Place> place)
        : pool(std::move(pool))
        , connection(std::move(connection))
        , place(std::move(place))
    {
    }

    Lease(const Lease &) = delete;
    auto operator=(const Lease &) -> Lease & = delete;

    ~Lease() override
    {
        this->pool->giveBack(std::move(this->connection), std::move(this->place));
    }

    auto execute(platform::ExecuteRequest request, TimePoint deadline) -> asio::awaitable<ExchangeOutcome> override
    {
        return this->connection->execute(std::move(request), deadline);
    }

    [[nodiscard]] auto isClean() const -> bool override
    {
        return this->connection->isClean();
    }

    auto close() -> void override
    {
        this->connection->close();
    }

private:
    std::shared_ptr<UpstreamPool> pool;
    std::shared_ptr<Connection> connection;
    std::unique_ptr<Place> place;
};

/// A session in the queue. It leaves the queue with its object: a waiter whose caller is gone must not be handed a connection
/// that nobody would give back.
class UpstreamPool::Waiter
{
public:
    Waiter(std::shared_ptr<UpstreamPool> pool, const asio::any_io_executor &executor, TimePoint deadline)
        : timer(executor, deadline)
        , pool(std::move(pool))
    {
        this->pool->waiting.push_back(this);
    }

    Waiter(const Waiter &) = delete;
    auto operator=(const Waiter &) -> Waiter & = delete;

    ~Waiter()
    {
        std::erase(this->pool->waiting, this);
        // What was granted and not taken goes to the next one.
        this->granted.reset();
        this->place.reset();
    }

    asio::steady_timer timer;
    /// A connection for this waiter, or a place to open one.
    std::shared_ptr<Connection> granted;
    std::unique_ptr<Place> place;

private:
    std::shared_ptr<UpstreamPool> pool;
};

auto UpstreamPool::acquire(std::shared_ptr<UpstreamPool> self, TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>>
{
    if (auto found = self->takeIdle()) {
        co_return found;
    }
    if (self->places < self->limit) {
        auto opened = co_await self->connect(std::make_unique<Place>(self), deadline);
        co_return opened;
    }
    auto waited = co_await self->awaitTurn(deadline);
    co_return waited;
}

auto UpstreamPool::awaitTurn(TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>>
{
    const auto self = this->shared_from_this();
    auto executor = co_await asio::this_coro::executor;
    auto place = std::unique_ptr<Place>();
    {
        auto waiter = Waiter(self, executor, deadline);
        co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (waiter.granted != nullptr) {
            co_return std::move(waiter.granted);
        }
        place = std::move(waiter.place);
    }
    if (place == nullptr) {
        co_return nullptr;
    }
    auto opened = co_await this->connect(std::move(place), deadline);
    co_return opened;
}

auto UpstreamPool::connect(std::unique_ptr<Place> place, TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>>
{
    const auto self = this->shared_from_this();
    place->setConnecting(true);
    auto connection = co_await this->connector->connect(this->endpoint, deadline);
    place->setConnecting(false);
    if (connection == nullptr) {
        co_return nullptr;
    }
    if (!place->isCurrent()) {
        connection->close();
        co_return nullptr;
    }
    co_return this->lease(std::move(connection), std::move(place));
}

auto UpstreamPool::lease(std::shared_ptr<Connection> connection, std::unique_ptr<Place> place) -> std::shared_ptr<Connection>
{
    return std::make_shared<Lease>(this->shared_from_this(), std::move(connection), std::move(place));
}

auto UpstreamPool::giveBack(std::shared_ptr<Connection> connection, std::unique_ptr<Place> place) -> void
{
    if (!connection->isClean() || !place->isCurrent() || this->places > this->limit) {
        // A connection in a transaction, or one that still waits for an answer, would mix the next session's work with this
        // one's. Its end at the upstream rolls the transaction back.
        connection->close();
        return;
    }
    if (this->waiting.empty()) {
        this->idle.push_back(IdleConnection{std::move(connection), std::move(place)});
        return;
    }
    auto *const next = this->waiting.front();
    this->waiting.pop_front();
    next->granted = this->lease(std::move(connection), std::move(place));
    next->timer.cancel();
}

auto UpstreamPool::takeIdle() -> std::shared_ptr<Connection>
{
    while (!this->idle.empty()) {
        // The last one used is the least likely to have been closed by the upstream meanwhile.
        auto candidate = std::move(this->idle.back());
        this->idle.pop_back();
        if (candidate.connection->isClean()) {
            return this->lease(std::move(candidate.connection), std::move(candidate.place));
        }
    }
    return nullptr;
}

auto UpstreamPool::warm(std::uint32_t connections, const asio::any_io_executor &executor) -> void
{
    for (auto missing = std::min(connections, this->limit); this->places < missing;) {
        auto open = [](std::shared_ptr<UpstreamPool> pool, std::unique_ptr<Place> place) -> asio::awaitable<void> {
            // The lease ends at once, which puts the connection into the pool.
            co_await pool->connect(std::move(place), std::chrono::steady_clock::now() + warmingTimeout);
        };
        asio::co_spawn(executor, open(this->shared_from_this(), std::make_unique<Place>(this->shared_from_this())), asio::detached);
    }
}

auto UpstreamPool::meet(const membership::UpstreamView &view) -> void
{
    if (!this->limitGiven) {
        this->limit = view.connectionLimit;
    }
    if (view.endpoint == this->endpoint && view.incarnation == this->incarnation) {
        return;
    }
    this->endpoint = view.endpoint;
    this->incarnation = view.incarnation;
    this->startEpoch();
}

auto UpstreamPool::setLimit(std::uint32_t connections) -> void
{
    this->limit = connections;
    this->limitGiven = true;
    this->closeSurplus();
    this->wakeWaiters();
}

auto UpstreamPool::retire() -> void
{
    for (auto *const waiter : std::exchange(this->waiting, {})) {
        waiter->timer.cancel();
    }
    this->startEpoch();
}

auto UpstreamPool::counts() const -> PoolCounts
{
    const auto opening = static_cast<std::size_t>(this->connecting);
    return PoolCounts{opening, this->idle.size(), this->places - this->idle.size() - opening};
}

auto UpstreamPool::isEmpty() const -> bool
{
    return this->places == 0;
}

auto UpstreamPool::startEpoch() -> void
{
    ++this->epoch;
    for (auto &old : std::exchange(this->idle, {})) {
        old.connection->close();
    }
}

auto UpstreamPool::closeSurplus() -> void
{
    while (this->places > this->limit && !this->idle.empty()) {
        const auto surplus = std::move(this->idle.back());
        this->idle.pop_back();
        surplus.connection->close();
    }
}

auto UpstreamPool::wakeWaiters() -> void
{
    while (this->places < this->limit && !this->waiting.empty()) {
        auto *const next = this->waiting.front();
        this->waiting.pop_front();
        next->place = std::make_unique<Place>(this->shared_from_this());
        next->timer.cancel();
    }
}

class ConnectionPool : public Pool
{
public:
    ConnectionPool(std::shared_ptr<Connector> connector, asio::any_io_executor warming)
        : connector(std::move(connector))
        , warming(std::move(warming))
    {
    }

    ConnectionPool(const ConnectionPool &) = delete;
    auto operator=(const ConnectionPool &) -> ConnectionPool & = delete;

    /// Idle connections hold their pool; nothing else would end them.
    ~ConnectionPool() override
    {
        for (const auto &[upstream, pool] : this->pools) {
            pool->retire();
        }
    }

    auto acquire(membership::UpstreamView upstream, TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>> override
    {
        const auto pool = this->poolOf(upstream.id);
        pool->meet(upstream);
        return UpstreamPool::acquire(pool, deadline);
    }

    auto setLimit(const UpstreamId &upstream, std::uint32_t connections) -> void override
    {
        this->poolOf(upstream)->setLimit(connections);
    }

    auto warm(membership::UpstreamView upstream, std::uint32_t connections) -> void override
    {
        if (!this->warming) {
            return;
        }
        const auto pool = this->poolOf(upstream.id);
        pool->meet(upstream);
        pool->warm(connections, this->warming);
    }

    auto retire(const UpstreamId &upstream) -> void override
    {
        const auto found = this->pools.find(upstream);
        if (found == this->pools.end()) {
            return;
        }
        const auto pool = found->second;
        pool->retire();
        // Busy connections go on to count against the limit should the upstream come back.
        if (pool->isEmpty()) {
            this->pools.erase(found);
        }
    }

    [[nodiscard]] auto counts(const UpstreamId &upstream) const -> PoolCounts override
    {
        const auto found = this->pools.find(upstream);
        return found == this->pools.end() ? PoolCounts() : found->second->counts();
    }

private:
    auto poolOf(const UpstreamId &upstream) -> std::shared_ptr<UpstreamPool>
    {
        auto &pool = this->pools[upstream];
        if (pool == nullptr) {
            pool = std::make_shared<UpstreamPool>(this->connector);
        }
        return pool;
    }

    std::shared_ptr<Connector> connector;
    asio::any_io_executor warming;
    std::unordered_map<UpstreamId, std::shared_ptr<UpstreamPool>> pools;
};

} // namespace

auto makePool(std::shared_ptr<Connector> connector, asio::any_io_executor warming) -> std::shared_ptr<Pool>
{
    return std::make_shared<ConnectionPool>(std::move(connector), std::move(warming));
}

} // namespace sapphirespool::upstreams
