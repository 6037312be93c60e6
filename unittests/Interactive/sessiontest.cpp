#include "Interactive/sessionfixture.h"

#include "../../lib/Interactive/primarysearch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <thread>

namespace sapphirespool::interactive
{

namespace
{

using namespace std::chrono_literals;
using membership::Consistency;

/// Counts the suspicions reported to control.
class CountingControl : public membership::ControlLink
{
public:
    auto announce(platform::Announcement) -> void override
    {
    }

    auto suspect(membership::Suspicion) -> void override
    {
        ++this->suspicions;
    }

    auto setControlVms(std::vector<Endpoint>) -> void override
    {
    }

    auto leave() -> void override
    {
    }

    auto changeConfiguration(membership::ConfigurationChange, std::function<void(membership::ConfigurationOutcome)>) -> void override
    {
    }

    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)>) -> void override
    {
    }

    auto readStatus(std::function<void(membership::ClusterStatusOutcome)>) -> void override
    {
    }

    std::size_t suspicions = 0;
};

/// Fails to open connections through their owner, while direct probes from this proxy succeed unless \p reachable is cleared.
class OneSidedConnector : public UpstreamConnector
{
public:
    auto connect(GroupId, membership::UpstreamView, CustomerId, Duration) -> boost::asio::awaitable<ConnectResult> override
    {
        auto why = FailureReply{Failure::Unreachable, "an owner calls it unreachable", {}};
        co_return why;
    }

    auto reaches(membership::UpstreamView, Duration) -> boost::asio::awaitable<bool> override
    {
        co_return this->reachable;
    }

    bool reachable = true;
};

auto countKind(const FakeDatabases &databases, CommandKind kind) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(databases.received.begin(), databases.received.end(), [kind](const ReceivedCommand &received) {
        return received.command.kind == kind;
    }));
}

} // namespace

TEST_CASE("a write and a read in one session return the upstream's signature")
{
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    const auto written = proxy.run(session, store("satchel", "booked"));
    CHECK_FALSE(written.failure);
    CHECK(written.signature == "signed");
    const auto read = proxy.run(session, fetch("satchel"));
    REQUIRE(read.rows.size() == 1);
    CHECK(read.rows.front() == "booked");
    CHECK(read.status == TransactionStatus::None);
}

TEST_CASE("a strong read runs in a transaction that only the current primary begins")
{
    // Failure: a stale read. The caller reads a booking just made through another proxy. This proxy's view still names the replaced
    // primary, which answers plain reads with its old data. It refuses the transaction, so the proxy waits for the new view and reads
    // at the new primary.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.databases.promote("b");
    proxy.databases.member("b").items["satchel"] = "booked";
    const auto pending = proxy.start(session, fetch("satchel"));
    proxy.runFor(20ms);
    CHECK_FALSE(pending->has_value());
    proxy.databases.viewedPrimary = "b";
    ++proxy.databases.revision;
    proxy.publish();
    proxy.runFor(20ms);
    REQUIRE(pending->has_value());
    CHECK((*pending)->rows == std::vector<std::string>{"booked"});
    const auto onOld = std::count_if(proxy.databases.received.begin(), proxy.databases.received.end(), [](const ReceivedCommand &received) {
        return received.member == "a" && received.command.kind == CommandKind::Run;
    });
    CHECK(onOld == 0);
}

TEST_CASE("a session reads its own write from a replica that has it, and not from one that lags")
{
    // A write is followed by a read of the same item. Replicas that have not applied the write refuse the read, and the primary
    // answers. Once they have applied it, one of them answers.
    auto proxy = Proxy(Consistency::ReadYourWrites, 5s);
    const auto session = proxy.open();
    proxy.run(session, store("member", "enrolled"));
    CHECK(proxy.run(session, fetch("member")).rows == std::vector<std::string>{"enrolled"});
    proxy.databases.replicate();
    proxy.databases.member("a").fault = [](const Command &) {
        return Fault::BreakBefore;
    };
    CHECK(proxy.run(session, fetch("member")).rows == std::vector<std::string>{"enrolled"});
    CHECK(proxy.recorder->byReplica >= 1);
}

TEST_CASE("a bounded staleness read is served by a replica although the proxy has no position proof yet")
{
    // Failure: after a restart of all proxies, none of them has a position proof. If all reads that accept stale data went to the
    // primary, its queue would fill up and most of them be refused. One proof, which takes no slot of the primary, gives the position of
    // the log, and the replicas serve the reads.
    auto proxy = Proxy(Consistency::BoundedStaleness, 5s);
    proxy.databases.member("a").items["satchel"] = "booked";
    proxy.databases.member("a").applied = 1;
    proxy.databases.replicate();
    auto pending = std::vector<std::shared_ptr<std::optional<Reply>>>();
    for (auto caller = 0; caller < 50; ++caller) {
        pending.push_back(proxy.start(proxy.open(), fetch("satchel")));
    }
    proxy.runFor(50ms);
    for (const auto &reply : pending) {
        REQUIRE(reply->has_value());
        CHECK((*reply)->rows == std::vector<std::string>{"booked"});
    }
    CHECK(proxy.recorder->byReplica == 50);
    CHECK(countKind(proxy.databases, CommandKind::Begin) == 1);
}

TEST_CASE("a replaced primary gives no position proof")
{
    // Failure: a stale read. This proxy's view still names the replaced primary, and the new one has acknowledged a booking. With a
    // position proof of the old primary, the proxy would read from a replica that lacks the booking. The old primary gives none, since it
    // refuses to begin a transaction.
    auto proxy = Proxy(Consistency::BoundedStaleness, 0ms);
    proxy.databases.promote("b");
    proxy.databases.member("b").items["satchel"] = "booked";
    const auto pending = proxy.start(proxy.open(), fetch("satchel"));
    proxy.runFor(20ms);
    CHECK_FALSE(pending->has_value());
    proxy.databases.viewedPrimary = "b";
    ++proxy.databases.revision;
    proxy.publish();
    proxy.runFor(20ms);
    REQUIRE(pending->has_value());
    CHECK((*pending)->rows == std::vector<std::string>{"booked"});
}

TEST_CASE("a transaction holds one connection from its first statement to its end")
{
    auto proxy = Proxy(Consistency::Strong);
    const auto first = proxy.open();
    const auto second = proxy.open();
    proxy.run(first, statementOf(StatementKind::Begin));
    CHECK(proxy.databases.received.empty());
    proxy.run(first, store("a", "1"));
    proxy.run(second, store("b", "2"));
    proxy.run(first, store("c", "3"));
    const auto committed = proxy.run(first, statementOf(StatementKind::Commit));
    CHECK_FALSE(committed.failure);
    CHECK(committed.signature == "signed");
    auto connections = std::set<std::size_t>();
    auto others = std::set<std::size_t>();
    for (const auto &received : proxy.databases.received) {
        (received.command.text == "STORE b 2" ? others : connections).insert(received.connection);
    }
    CHECK(connections.size() == 1);
    CHECK(others.size() == 1);
    CHECK(*connections.begin() != *others.begin());
}

TEST_CASE("a transaction is rolled back when its caller disconnects")
{
    // The caller disconnects after an uncommitted write. The transaction on the upstream connection is rolled back, and the connection
    // serves the next caller, whose statements neither see the write nor join its transaction.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("satchel", "half"));
    session->end();
    proxy.runFor(10ms);
    CHECK(proxy.service->counts().transactions == 0);
    const auto next = proxy.open();
    CHECK(proxy.run(next, fetch("satchel")).rows.empty());
    CHECK(proxy.databases.connectionsMade == 1);
}

TEST_CASE("values and prepared names of one session do not affect statements of another")
{
    // Two callers use the same prepared name for different shapes, and set different values, on one shared connection. Each statement
    // must run with its own caller's values and shape.
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.service.consistency = Consistency::Strong;
    const auto first = proxy.open();
    const auto second = proxy.open();
    proxy.run(first, setValue("tenant", "derwent"));
    proxy.run(second, setValue("locale", "jm"));
    proxy.run(first, prepareShape("p", true, "q1"));
    proxy.run(second, prepareShape("p", false, "q2"));
    CHECK_FALSE(proxy.run(first, executePrepared("p", "item data")).failure);
    CHECK(proxy.run(second, executePrepared("p", "item")).rows == std::vector<std::string>{"data"});
    CHECK_FALSE(proxy.run(first, store("x", "y")).failure);
    for (const auto &received : proxy.databases.received) {
        if (received.command.kind == CommandKind::Execute && received.command.text == "item data") {
            CHECK(received.values == SessionValues{{"tenant", "derwent"}});
        }
        if (received.command.kind == CommandKind::Execute && received.command.text == "item") {
            CHECK(received.values == SessionValues{{"locale", "jm"}});
        }
        if (received.command.text == "STORE x y") {
            CHECK(received.values == SessionValues{{"tenant", "derwent"}});
        }
    }
    CHECK(proxy.databases.connectionsMade == 1);
    CHECK(proxy.run(first, executePrepared("unknown", "item")).failure->failure == Failure::UnknownName);
}

TEST_CASE("a write whose answer is lost is in doubt and is not resent")
{
    // Failure: a write runs twice. The upstream runs the write and its answer is lost. If the proxy resent it, or reported that it did not
    // run so that the caller repeats it, the booking would be made twice.
    auto proxy = Proxy(Consistency::Strong);
    auto ran = 0;
    proxy.databases.member("a").fault = [&ran](const Command &command) {
        ran += command.kind == CommandKind::Run ? 1 : 0;
        return Fault::BreakAfter;
    };
    const auto reply = proxy.run(proxy.open(), store("satchel", "booked"));
    REQUIRE(reply.failure);
    CHECK(reply.failure->failure == Failure::InDoubt);
    CHECK_FALSE(guaranteesNoEffect(reply.failure->failure));
    CHECK(ran == 1);
}

TEST_CASE("a commit whose answer is lost is in doubt, a statement before it is not")
{
    // Until the commit is sent, the upstream rolls the transaction back when the connection closes, so the failure guarantees that it had
    // no effect. After that the outcome is unknown.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.databases.member("a").fault = [](const Command &) {
        return Fault::BreakAfter;
    };
    const auto statement = proxy.run(session, store("b", "2"));
    CHECK(statement.failure->failure == Failure::Aborted);
    CHECK(statement.status == TransactionStatus::Failed);
    CHECK(proxy.run(session, fetch("a")).failure->failure == Failure::Malformed);
    CHECK(proxy.run(session, statementOf(StatementKind::Rollback)).status == TransactionStatus::None);
    CHECK(proxy.databases.member("a").items.empty());
    proxy.databases.member("a").fault = nullptr;
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.databases.member("a").fault = [](const Command &command) {
        return command.kind == CommandKind::Commit ? Fault::BreakAfter : Fault::None;
    };
    const auto commit = proxy.run(session, statementOf(StatementKind::Commit));
    CHECK(commit.failure->failure == Failure::InDoubt);
    CHECK(commit.status == TransactionStatus::None);
}

TEST_CASE("a read is retried at another member when its connection breaks")
{
    auto proxy = Proxy(Consistency::BoundedStaleness, 5s);
    const auto session = proxy.open();
    proxy.run(session, store("parcel", "sent"));
    proxy.databases.replicate();
    for (const auto *const id : {"a", "b"}) {
        proxy.databases.member(id).fault = [](const Command &) {
            return Fault::BreakBefore;
        };
    }
    CHECK(proxy.run(session, fetch("parcel")).rows == std::vector<std::string>{"sent"});
}

TEST_CASE("without a primary a write waits for one for half of its timeout and is then refused as not run")
{
    // A promotion is in progress. The statement waits only as long as it could still be served before its deadline, and the refusal
    // carries a retry delay.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.databases.viewedPrimary = "";
    ++proxy.databases.revision;
    proxy.publish();
    const auto began = std::chrono::steady_clock::now();
    const auto reply = proxy.run(session, store("a", "1"));
    REQUIRE(reply.failure);
    CHECK(guaranteesNoEffect(reply.failure->failure));
    CHECK(reply.failure->retryAfter);
    CHECK(std::chrono::steady_clock::now() - began < 180ms);
    CHECK(proxy.databases.received.empty());
}

TEST_CASE("a statement of a transaction waits while the upstream's queue is full")
{
    // The queue is full for a short time. Aborting the transaction for that would lose its earlier statements.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    auto refusals = 2;
    proxy.databases.member("a").fault = [&refusals](const Command &) {
        return refusals-- > 0 ? Fault::Busy : Fault::None;
    };
    CHECK_FALSE(proxy.run(session, store("b", "2")).failure);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Commit)).failure);
    CHECK(proxy.databases.member("a").items.size() == 2);
}

TEST_CASE("a transaction that is idle for too long returns its connection")
{
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.service.transactionIdle = 20ms;
    ++proxy.databases.revision;
    proxy.publish();
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.runFor(60ms);
    CHECK(proxy.service->counts().transactions == 0);
    CHECK(proxy.run(session, statementOf(StatementKind::Commit)).failure->failure == Failure::Aborted);
    CHECK(proxy.databases.member("a").items.empty());
}

TEST_CASE("a stopping proxy refuses new work and lets an open transaction commit")
{
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.service->refuseNewWork();
    CHECK(proxy.run(proxy.open(), store("b", "2")).failure->failure == Failure::Busy);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Commit)).failure);
}

TEST_CASE("a database name without a service is unknown only if the proxy has a current view")
{
    auto proxy = Proxy(Consistency::Strong);
    CHECK(std::get<FailureReply>(proxy.service->open("nobody", {})).failure == Failure::UnknownDatabase);
    auto fresh = std::make_shared<membership::ViewHolder>();
    auto parts = SessionServiceDependencies();
    parts.views = fresh;
    parts.pool = proxy.pool;
    parts.recorder = proxy.recorder;
    parts.executor = proxy.io.get_executor();
    const auto service = makeSessionService(std::move(parts));
    CHECK(std::get<FailureReply>(service->open("orders", {})).failure == Failure::Busy);
}

TEST_CASE("a strong read leaves no transaction open")
{
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, fetch("a"));
    proxy.run(session, fetch("a"));
    CHECK(countKind(proxy.databases, CommandKind::Begin) == 2);
    CHECK(countKind(proxy.databases, CommandKind::Rollback) == 2);
    CHECK(proxy.databases.connectionsMade == 1);
}

TEST_CASE("a proxy without contact to control does not wait for another primary")
{
    // Failure: a statement waits for half of its timeout and is then refused, although another proxy could serve it. The proxy is
    // partitioned from control and from the new primary. The primary of its view refuses, and no view can name another one.
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.member("a").isPrimary = false;
    proxy.databases.member("b").isPrimary = true;
    proxy.databases.member("b").reachable = false;
    proxy.views->noteContact(support::now() - 2s);
    const auto began = std::chrono::steady_clock::now();
    const auto reply = proxy.run(proxy.open(), store("a", "1"));
    REQUIRE(reply.failure);
    CHECK(reply.failure->failure == Failure::Busy);
    CHECK(reply.failure->retryAfter);
    CHECK(std::chrono::steady_clock::now() - began < proxy.databases.service.timeout / 4);
}

TEST_CASE("a proxy that is partitioned from control finds a reachable new primary")
{
    // Failure: the view that names the new primary does not arrive, and each write and strong read of the group is refused until the
    // partition heals.
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.promote("b");
    proxy.views->noteContact(support::now() - 2s);
    const auto session = proxy.open();
    CHECK_FALSE(proxy.run(session, store("a", "1")).failure);
    CHECK(proxy.databases.member("b").items.at("a") == "1");
    CHECK_FALSE(proxy.run(session, fetch("a")).failure);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Begin)).failure);
    CHECK_FALSE(proxy.run(session, store("b", "2")).failure);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Commit)).failure);
    CHECK(proxy.databases.member("b").items.at("b") == "2");

    SECTION("and the primary after that one")
    {
        proxy.databases.replicate();
        proxy.databases.promote("c");
        std::this_thread::sleep_for(PrimarySearch::searchSpacing);
        CHECK_FALSE(proxy.run(session, store("a", "3")).failure);
        CHECK(proxy.databases.member("c").items.at("a") == "3");
    }
    SECTION("and uses the view again once it names a later term")
    {
        proxy.databases.replicate();
        proxy.databases.promote("c");
        proxy.databases.viewedPrimary = "c";
        ++proxy.databases.revision;
        proxy.publish();
        const auto begun = countKind(proxy.databases, CommandKind::Begin);
        CHECK_FALSE(proxy.run(session, store("a", "3")).failure);
        CHECK(countKind(proxy.databases, CommandKind::Begin) == begun);
    }
}

TEST_CASE("a write whose primary is unreachable is retried at the next primary")
{
    // Failure: the primary loses power, and all attempts at the statement are used up before control has named another primary.
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.member("a").reachable = false;
    const auto pending = proxy.start(proxy.open(), store("a", "1"));
    proxy.runFor(80ms);
    REQUIRE_FALSE(pending->has_value());
    proxy.databases.promote("b");
    proxy.databases.viewedPrimary = "b";
    ++proxy.databases.revision;
    proxy.publish();
    proxy.runFor(100ms);
    REQUIRE(pending->has_value());
    CHECK_FALSE((*pending)->failure);
    CHECK(proxy.databases.member("b").items.at("a") == "1");
}

TEST_CASE("a primary that is unreachable only for others is not suspected")
{
    // Failure: an owner of connections is short of processor time and reports a healthy primary as unreachable. All proxies that use this
    // owner report a suspicion, so that two availability zones suspect the primary, and the promotion leaves every caller without a
    // primary for a second.
    auto proxy = Proxy(Consistency::Strong);
    const auto control = std::make_shared<CountingControl>();
    const auto connector = std::make_shared<OneSidedConnector>();
    auto parts = SessionServiceDependencies();
    parts.views = proxy.views;
    parts.control = control;
    parts.pool = makeConnectionPool(connector, proxy.io.get_executor());
    parts.recorder = proxy.recorder;
    parts.executor = proxy.io.get_executor();
    proxy.service = makeSessionService(std::move(parts));
    CHECK(proxy.run(proxy.open(), store("a", "1")).failure);
    CHECK(control->suspicions == 0);
    connector->reachable = false;
    CHECK(proxy.run(proxy.open(), store("a", "1")).failure);
    CHECK(control->suspicions > 0);
}

TEST_CASE("a proxy without contact to control does not retry an unreachable primary")
{
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.member("a").reachable = false;
    proxy.views->noteContact(support::now() - 2s);
    const auto began = std::chrono::steady_clock::now();
    const auto reply = proxy.run(proxy.open(), store("a", "1"));
    REQUIRE(reply.failure);
    CHECK(guaranteesNoEffect(reply.failure->failure));
    CHECK(std::chrono::steady_clock::now() - began < 100ms);
}

TEST_CASE("a write whose answer was lost is not resent to a newly found primary")
{
    // The old primary may have run the write; resent to the new one, it would run twice.
    auto proxy = Proxy(Consistency::Strong);
    proxy.views->noteContact(support::now() - 2s);
    proxy.databases.member("a").fault = [](const Command &) {
        return Fault::BreakAfter;
    };
    const auto session = proxy.open();
    const auto pending = proxy.start(session, store("a", "1"));
    proxy.runFor(20ms);
    proxy.databases.promote("b");
    proxy.runFor(300ms);
    REQUIRE(pending->has_value());
    REQUIRE((*pending)->failure);
    CHECK((*pending)->failure->failure == Failure::InDoubt);
    CHECK_FALSE(proxy.databases.member("b").items.contains("a"));
}

TEST_CASE("a caller that connects before the first view waits for it")
{
    // Failure: all VMs restart at once after a power failure, and a proxy refuses a caller that it could have served a moment later.
    auto proxy = Proxy(Consistency::Strong);
    const auto former = std::exchange(proxy.views, std::make_shared<membership::ViewHolder>());
    auto parts = SessionServiceDependencies();
    parts.views = proxy.views;
    parts.pool = proxy.pool;
    parts.recorder = proxy.recorder;
    parts.executor = proxy.io.get_executor();
    proxy.service = makeSessionService(std::move(parts));
    auto waited = 0;
    const auto wait = [&proxy, &waited]() -> boost::asio::awaitable<void> {
        co_await proxy.service->awaitFirstView();
        ++waited;
    };
    boost::asio::co_spawn(proxy.io, wait, boost::asio::detached);
    proxy.runFor(20ms);
    CHECK(waited == 0);
    proxy.publish();
    proxy.runFor(1ms);
    CHECK(waited == 1);
    CHECK(std::holds_alternative<std::shared_ptr<Session>>(proxy.service->open("orders", {})));
    boost::asio::co_spawn(proxy.io, wait, boost::asio::detached);
    proxy.runFor(1ms);
    CHECK(waited == 2);
}

TEST_CASE("a caller waits only a bounded time when no view arrives")
{
    auto proxy = Proxy(Consistency::Strong);
    auto parts = SessionServiceDependencies();
    parts.views = std::make_shared<membership::ViewHolder>();
    parts.pool = proxy.pool;
    parts.recorder = proxy.recorder;
    parts.executor = proxy.io.get_executor();
    const auto service = makeSessionService(std::move(parts));
    auto over = false;
    const auto wait = [&service, &over]() -> boost::asio::awaitable<void> {
        co_await service->awaitFirstView();
        over = true;
    };
    boost::asio::co_spawn(proxy.io, wait, boost::asio::detached);
    proxy.runFor(500ms);
    CHECK(over);
    const auto opened = service->open("orders", {});
    const auto *const why = std::get_if<FailureReply>(&opened);
    REQUIRE(why != nullptr);
    CHECK(why->failure == Failure::Busy);
    CHECK(why->retryAfter);
}

} // namespace sapphirespool::interactive
