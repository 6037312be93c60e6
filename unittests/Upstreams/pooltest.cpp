#include "sapphirespool/Upstreams/pool.h"

#include "loop.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sapphirespool::upstreams
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using ConnectionPointer = std::shared_ptr<Connection>;

/// What the fake upstream sees.
struct FakeUpstream
{
    std::size_t open = 0;
    std::size_t mostOpen = 0;
    std::size_t opened = 0;
    bool refuses = false;
    bool clean = true;
};

class FakeConnection : public Connection
{
public:
    explicit FakeConnection(FakeUpstream &upstream)
        : upstream(upstream)
    {
        ++upstream.opened;
        upstream.mostOpen = std::max(upstream.mostOpen, ++upstream.open);
    }

    FakeConnection(const FakeConnection &) = delete;
    auto operator=(const FakeConnection &) -> FakeConnection & = delete;

    ~FakeConnection() override
    {
        this->close();
    }

    auto execute(platform::ExecuteRequest, TimePoint) -> asio::awaitable<ExchangeOutcome> override
    {
        co_return ExchangeFailure{};
    }

    [[nodiscard]] auto isClean() const -> bool override
    {
        return this->isOpen && this->upstream.clean;
    }

    auto close() -> void override
    {
        this->upstream.open -= this->isOpen ? 1 : 0;
        this->isOpen = false;
    }

private:
    FakeUpstream &upstream;
    bool isOpen = true;
};

class FakeConnector : public Connector
{
public:
    explicit FakeConnector(FakeUpstream &upstream)
        : upstream(upstream)
    {
    }

    auto connect(Endpoint, TimePoint) -> asio::awaitable<ConnectionPointer> override
    {
        auto executor = co_await asio::this_coro::executor;
        auto timer = asio::steady_timer(executor, 1ms);
        co_await timer.async_wait(asio::use_awaitable);
        if (this->upstream.refuses) {
            co_return nullptr;
        }
        co_return std::make_shared<FakeConnection>(this->upstream);
    }

private:
    FakeUpstream &upstream;
};

struct PoolFixture
{
    FakeUpstream upstream;
    Loop loop;
    std::shared_ptr<Pool> pool = makePool(std::make_shared<FakeConnector>(this->upstream), this->loop.io.get_executor());
    membership::UpstreamView view = limitedTo(2);

    static auto limitedTo(std::uint32_t connections) -> membership::UpstreamView
    {
        auto view = membership::UpstreamView();
        view.id = UpstreamId("u1");
        view.incarnation = Incarnation(1);
        view.connectionLimit = connections;
        return view;
    }

    auto acquire(TimePoint deadline = farDeadline()) -> ConnectionPointer
    {
        return this->loop.wait(this->pool->acquire(this->view, deadline));
    }

    auto counts() -> PoolCounts
    {
        return this->pool->counts(this->view.id);
    }
};

} // namespace

TEST_CASE("a clean connection is used again, an unclean one is closed")
{
    auto fixture = PoolFixture();
    fixture.acquire().reset();
    CHECK(fixture.counts().idle == 1);
    auto second = fixture.acquire();
    CHECK(fixture.upstream.opened == 1);
    CHECK(fixture.counts().busy == 1);
    fixture.upstream.clean = false;
    second.reset();
    CHECK(fixture.upstream.open == 0);
    CHECK(fixture.counts().idle == 0);
    CHECK(fixture.counts().busy == 0);
}

TEST_CASE("the limit holds however many want a connection at a time")
{
    // 35 connections serve 12 proxies. If sessions that connect at the same moment each counted only what is open already, the
    // proxy would open more than its share and another proxy would be refused.
    auto fixture = PoolFixture();
    auto served = 0;
    auto user = [](PoolFixture *used, int *count) -> asio::awaitable<void> {
        const auto connection = co_await used->pool->acquire(used->view, farDeadline());
        REQUIRE(connection != nullptr);
        auto timer = asio::steady_timer(used->loop.io, 1ms);
        co_await timer.async_wait(asio::use_awaitable);
        ++*count;
    };
    for (auto index = 0; index < 50; ++index) {
        asio::co_spawn(fixture.loop.io, user(&fixture, &served), asio::detached);
    }
    fixture.loop.runUntil([&served] {
        return served == 50;
    });
    CHECK(fixture.upstream.mostOpen == 2);
    CHECK(fixture.upstream.opened == 2);
    CHECK(fixture.counts().idle == 2);
}

TEST_CASE("waiting ends at the deadline with nothing sent")
{
    auto fixture = PoolFixture();
    const auto first = fixture.acquire();
    const auto second = fixture.acquire();
    CHECK(fixture.acquire(std::chrono::steady_clock::now() + 5ms) == nullptr);
}

TEST_CASE("a connection that comes back goes to whoever waits longest")
{
    auto fixture = PoolFixture();
    auto first = fixture.acquire();
    auto second = fixture.acquire();
    auto earlier = fixture.loop.start(fixture.pool->acquire(fixture.view, farDeadline()));
    auto later = fixture.loop.start(fixture.pool->acquire(fixture.view, farDeadline()));
    fixture.loop.settle();
    first.reset();
    const auto given = fixture.loop.finish(earlier);
    CHECK(given != nullptr);
    CHECK_FALSE(Loop::isReady(later));
    second.reset();
    CHECK(fixture.loop.finish(later) != nullptr);
}

TEST_CASE("a waiter whose caller is gone is not handed a connection")
{
    // The caller hung up while it was queued. Had the connection gone to it, nobody would give it back and the share would
    // shrink with each such caller.
    auto fixture = PoolFixture();
    auto first = fixture.acquire();
    const auto second = fixture.acquire();
    auto cancel = asio::cancellation_signal();
    auto ended = false;
    asio::co_spawn(fixture.loop.io,
                   fixture.pool->acquire(fixture.view, farDeadline()),
                   asio::bind_cancellation_slot(cancel.slot(), [&ended](const std::exception_ptr &, const ConnectionPointer &) {
                       ended = true;
                   }));
    auto patient = fixture.loop.start(fixture.pool->acquire(fixture.view, farDeadline()));
    fixture.loop.settle();
    SECTION("before a connection came back")
    {
        cancel.emit(asio::cancellation_type::terminal);
        fixture.loop.runUntil([&ended] {
            return ended;
        });
        first.reset();
    }
    SECTION("in the same moment")
    {
        first.reset();
        cancel.emit(asio::cancellation_type::terminal);
    }
    CHECK(fixture.loop.finish(patient) != nullptr);
    CHECK(ended);
}

TEST_CASE("a failed connection gives its place back")
{
    auto fixture = PoolFixture();
    fixture.upstream.refuses = true;
    for (auto attempt = 0; attempt < 5; ++attempt) {
        CHECK(fixture.acquire() == nullptr);
    }
    fixture.upstream.refuses = false;
    CHECK(fixture.acquire() != nullptr);
    CHECK(fixture.counts().connecting == 0);
}

TEST_CASE("connections are warmed within the limit")
{
    auto fixture = PoolFixture();
    fixture.pool->warm(fixture.view, 10);
    CHECK(fixture.counts().busy + fixture.counts().connecting == 2);
    fixture.loop.runUntil([&fixture] {
        return fixture.counts().idle == 2;
    });
    CHECK(fixture.upstream.opened == 2);
    CHECK(fixture.acquire() != nullptr);
    CHECK(fixture.upstream.opened == 2);
}

TEST_CASE("a lowered limit closes surplus connections as they become idle, a raised one lets waiters in")
{
    auto fixture = PoolFixture();
    auto first = fixture.acquire();
    fixture.acquire().reset();
    fixture.pool->setLimit(fixture.view.id, 1);
    CHECK(fixture.counts().idle == 0);
    CHECK(fixture.upstream.open == 1);
    auto waiting = fixture.loop.start(fixture.pool->acquire(fixture.view, farDeadline()));
    fixture.loop.settle();
    CHECK_FALSE(Loop::isReady(waiting));
    fixture.pool->setLimit(fixture.view.id, 2);
    const auto second = fixture.loop.finish(waiting);
    CHECK(second != nullptr);
    fixture.pool->setLimit(fixture.view.id, 1);
    first.reset();
    CHECK(fixture.upstream.open == 1);
}

TEST_CASE("a retired upstream's connections close, busy ones at their return")
{
    auto fixture = PoolFixture();
    auto busy = fixture.acquire();
    fixture.acquire().reset();
    fixture.pool->retire(fixture.view.id);
    CHECK(fixture.upstream.open == 1);
    busy.reset();
    CHECK(fixture.upstream.open == 0);
}

TEST_CASE("connections to an earlier process of the upstream are not used for the next one")
{
    auto fixture = PoolFixture();
    auto busy = fixture.acquire();
    fixture.acquire().reset();
    fixture.view.incarnation = Incarnation(2);
    const auto next = fixture.acquire();
    CHECK(next != nullptr);
    CHECK(fixture.upstream.opened == 3);
    busy.reset();
    CHECK(fixture.counts().idle == 0);
}

} // namespace sapphirespool::upstreams
