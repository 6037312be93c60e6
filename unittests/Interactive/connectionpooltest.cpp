#include "Interactive/fakedatabases.h"

#include "sapphirespool/Interactive/connectionpool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// A pool with one upstream that has four connections and a single slot.
struct SingleSlotPool
{
    SingleSlotPool()
        : pool(makeConnectionPool(this->databases.connector(), this->io.get_executor()))
    {
        this->pool->setLimits(UpstreamId("a"), {4, 1});
    }

    using PendingLease = std::shared_ptr<std::optional<LeaseResult>>;

    auto acquire(std::uint32_t priority, Duration objective = 1h) -> PendingLease
    {
        auto pending = std::make_shared<std::optional<LeaseResult>>();
        asio::co_spawn(this->io, acquireInto(*this, priority, objective, pending), asio::detached);
        this->runReady();
        return pending;
    }

    auto run(const PendingLease &pending, std::vector<Command> commands) -> void
    {
        asio::co_spawn(this->io, send(std::get<ConnectionLease>(**pending), std::move(commands)), asio::detached);
        this->runReady();
    }

    auto runReady() -> void
    {
        this->io.restart();
        this->io.run_for(5ms);
    }

    static auto isGranted(const PendingLease &pending) -> bool
    {
        return pending->has_value() && std::holds_alternative<ConnectionLease>(**pending);
    }

    FakeDatabases databases;
    asio::io_context io;
    std::shared_ptr<ConnectionPool> pool;

private:
    static auto acquireInto(SingleSlotPool &self, std::uint32_t priority, Duration objective, PendingLease pending) -> asio::awaitable<void>
    {
        const auto view = self.databases.view();
        const auto &group = view->groups.front();
        auto claim = ConnectionRequest();
        claim.waitLimit = 10s;
        claim.connectLimit = 1s;
        claim.objective = objective;
        claim.priority = priority;
        *pending = co_await self.pool->acquire(group.id, group.members.front(), std::move(claim));
    }

    static auto send(ConnectionLease &lease, std::vector<Command> commands) -> asio::awaitable<void>
    {
        co_await lease.connection().exchange(commands, 1s);
    }
};

auto commandOf(CommandKind kind, std::string text = {}) -> Command
{
    auto command = Command();
    command.kind = kind;
    command.id = "s1";
    command.text = std::move(text);
    return command;
}

} // namespace

TEST_CASE("statements beyond the upstream's slots wait in the pool, and the most urgent one is served first")
{
    // A booking arrives while reads wait for the only slot. Queued at the upstream, all would run in order of arrival.
    auto upstream = SingleSlotPool();
    const auto first = upstream.acquire(2);
    REQUIRE(SingleSlotPool::isGranted(first));
    const auto read = upstream.acquire(2, 400ms);
    const auto booking = upstream.acquire(1, 200ms);
    CHECK_FALSE(read->has_value());
    CHECK_FALSE(booking->has_value());
    std::get<ConnectionLease>(**first).release();
    upstream.runReady();
    CHECK(SingleSlotPool::isGranted(booking));
    CHECK_FALSE(read->has_value());
    std::get<ConnectionLease>(**booking).release();
    upstream.runReady();
    CHECK(SingleSlotPool::isGranted(read));
}

TEST_CASE("a connection that is idle in transaction keeps no slot")
{
    // A caller pauses inside a transaction. It holds a connection, but the upstream does no work for it; if it kept its slot, no other
    // caller would be served. Its next statement is served at once, since the transaction holds resources that others need.
    auto upstream = SingleSlotPool();
    const auto paused = upstream.acquire(2);
    upstream.run(paused, {commandOf(CommandKind::Begin), commandOf(CommandKind::Run, "STORE item 1")});
    CHECK(upstream.pool->counts().withoutSlot == 1);
    const auto other = upstream.acquire(2);
    REQUIRE(SingleSlotPool::isGranted(other));
    upstream.run(paused, {commandOf(CommandKind::Commit)});
    CHECK(upstream.databases.member("a").items.contains("item"));
    CHECK(upstream.pool->counts().withoutSlot == 0);
    std::get<ConnectionLease>(**paused).release();
    std::get<ConnectionLease>(**other).release();
    CHECK(upstream.pool->counts().busy == 0);
    CHECK(upstream.pool->counts().idle == 2);
}

TEST_CASE("dropping a connection that is idle in transaction keeps the counts correct")
{
    auto upstream = SingleSlotPool();
    {
        const auto paused = upstream.acquire(2);
        upstream.run(paused, {commandOf(CommandKind::Begin), commandOf(CommandKind::Run, "STORE item 1")});
        CHECK(upstream.pool->counts().withoutSlot == 1);
    }
    CHECK(upstream.pool->counts().withoutSlot == 0);
    CHECK(upstream.pool->counts().busy == 0);
    CHECK(SingleSlotPool::isGranted(upstream.acquire(2)));
}

TEST_CASE("an unreachable upstream is not connected to until a probe succeeds, and requests for it fail at once")
{
    // The upstream is partitioned from this proxy. Each statement that tries to connect would wait until the connect limit. If the pool
    // refuses the statement at once, its proxy can try another owner.
    auto upstream = SingleSlotPool();
    upstream.databases.member("a").reachable = false;
    const auto first = upstream.acquire(2);
    REQUIRE(first->has_value());
    CHECK(std::get<FailureReply>(**first).failure == Failure::Unreachable);
    upstream.databases.member("a").reachable = true;
    const auto meanwhile = upstream.acquire(2);
    REQUIRE(meanwhile->has_value());
    CHECK(std::get<FailureReply>(**meanwhile).failure == Failure::Unreachable);
    CHECK(upstream.databases.connectionsMade == 0);
    upstream.io.restart();
    upstream.io.run_for(100ms);
    std::this_thread::sleep_for(100ms);
    CHECK(SingleSlotPool::isGranted(upstream.acquire(2)));
}

TEST_CASE("waiters for a connection to an upstream that becomes unreachable are refused at once")
{
    // Statements without an answer occupy all connections. A statement that waits for one of them would be refused only after half of its
    // time, although it could have gone to another member or waited for the next primary.
    auto slot = SingleSlotPool();
    slot.pool->setLimits(UpstreamId("a"), {1, 1});
    const auto lost = slot.acquire(0);
    slot.databases.member("a").fault = [](const Command &) {
        return Fault::NoAnswer;
    };
    slot.run(lost, {commandOf(CommandKind::Run, "read a")});
    const auto next = slot.acquire(0);
    REQUIRE_FALSE(next->has_value());

    SECTION("if the upstream accepts no connection")
    {
        slot.databases.member("a").reachable = false;
        slot.io.restart();
        slot.io.run_for(150ms);
        REQUIRE(next->has_value());
        CHECK(std::get<FailureReply>(**next).failure == Failure::Unreachable);
        CHECK(slot.pool->counts(UpstreamId("a")).waiting == 0);
    }
    SECTION("but not if the upstream still accepts connections")
    {
        slot.io.restart();
        slot.io.run_for(150ms);
        CHECK_FALSE(next->has_value());
    }
}

TEST_CASE("a statement whose answer is lost does not block an idle upstream")
{
    // Failure: callers are refused for seconds although the upstream is idle. The answers to some statements are lost; each of these
    // statements waits until its deadline and would keep the slot that the next one needs.
    auto slot = SingleSlotPool();
    const auto lost = slot.acquire(0);
    slot.databases.member("a").fault = [](const Command &) {
        return Fault::NoAnswer;
    };
    slot.run(lost, {commandOf(CommandKind::Run, "read a")});
    const auto next = slot.acquire(0);
    CHECK_FALSE(SingleSlotPool::isGranted(next));
    slot.io.restart();
    slot.io.run_for(150ms);
    CHECK(SingleSlotPool::isGranted(next));
    CHECK(slot.pool->counts(UpstreamId("a")).withoutSlot == 1);
    // The connection of the lost statement stays busy until the time limit of the exchange; afterwards the counts are correct again.
    slot.io.restart();
    slot.io.run_for(1s);
    std::get<ConnectionLease>(**lost).release();
    CHECK(slot.pool->counts(UpstreamId("a")).withoutSlot == 0);
}

} // namespace sapphirespool::interactive
