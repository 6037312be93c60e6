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

/// Counts the suspicions that reach control.
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

/// Opens no link, as an owner may say, while the upstream takes connections of this proxy.
class OneSidedConnector : public LinkConnector
{
public:
    auto connect(GroupId, membership::UpstreamView, Duration) -> boost::asio::awaitable<ConnectResult> override
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
    return static_cast<std::size_t>(std::count_if(databases.seen.begin(), databases.seen.end(), [kind](const Seen &seen) {
        return seen.command.kind == kind;
    }));
}

} // namespace

TEST_CASE("a write and a read in one session, answered with the upstream's signature")
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

TEST_CASE("a read that must be current runs inside a transaction that only a primary begins")
{
    // The caller reads a booking made a moment ago through another proxy. This proxy has not heard that the primary was replaced; the
    // old one still answers plain reads with what it had. It refuses the transaction, so the proxy waits for the new view and asks there.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.databases.promote("b");
    proxy.databases.member("b").items["satchel"] = "booked";
    const auto pending = proxy.start(session, fetch("satchel"));
    proxy.pass(20ms);
    CHECK_FALSE(pending->has_value());
    proxy.databases.viewedPrimary = "b";
    ++proxy.databases.revision;
    proxy.publish();
    proxy.pass(20ms);
    REQUIRE(pending->has_value());
    CHECK((*pending)->rows == std::vector<std::string>{"booked"});
    const auto onOld = std::count_if(proxy.databases.seen.begin(), proxy.databases.seen.end(), [](const Seen &seen) {
        return seen.member == "a" && seen.command.kind == CommandKind::Run;
    });
    CHECK(onOld == 0);
}

TEST_CASE("a session reads its own write, also from a replica that has it, and not from one that lags")
{
    // A clerk enrols a member and looks it up. The replicas have not received the enrolment: they refuse the read, and the primary
    // answers. Once they have it, one of them answers.
    auto proxy = Proxy(Consistency::ReadYourWrites, 5s);
    const auto session = proxy.open();
    proxy.run(session, store("member", "enrolled"));
    CHECK(proxy.run(session, fetch("member")).rows == std::vector<std::string>{"enrolled"});
    proxy.databases.replicate();
    proxy.databases.member("a").trouble = [](const Command &) {
        return Trouble::BreakBefore;
    };
    CHECK(proxy.run(session, fetch("member")).rows == std::vector<std::string>{"enrolled"});
    CHECK(proxy.recorder->byReplica >= 1);
}

TEST_CASE("a read that accepts age goes to a replica although its proxy has heard nothing of the primary yet")
{
    // All proxies were restarted, and each caller's read accepts data of some age. The proxies know nothing of the log: if all those reads
    // went to the primary, its queue would be full and most be refused. One question, which takes no slot of the primary, tells how far
    // the log is; then the replicas serve.
    auto proxy = Proxy(Consistency::BoundedStaleness, 5s);
    proxy.databases.member("a").items["satchel"] = "booked";
    proxy.databases.member("a").applied = 1;
    proxy.databases.replicate();
    auto pending = std::vector<std::shared_ptr<std::optional<Reply>>>();
    for (auto caller = 0; caller < 50; ++caller) {
        pending.push_back(proxy.start(proxy.open(), fetch("satchel")));
    }
    proxy.pass(50ms);
    for (const auto &reply : pending) {
        REQUIRE(reply->has_value());
        CHECK((*reply)->rows == std::vector<std::string>{"booked"});
    }
    CHECK(proxy.recorder->byReplica == 50);
    CHECK(countKind(proxy.databases, CommandKind::Begin) == 1);
}

TEST_CASE("a replaced primary proves nothing")
{
    // This proxy has not heard that the primary was replaced, and the new one has acknowledged a booking. The old one is asked how far the
    // log is; were its word taken, the proxy would read from a replica that lacks the booking. It refuses to begin a transaction.
    auto proxy = Proxy(Consistency::BoundedStaleness, 0ms);
    proxy.databases.promote("b");
    proxy.databases.member("b").items["satchel"] = "booked";
    const auto pending = proxy.start(proxy.open(), fetch("satchel"));
    proxy.pass(20ms);
    CHECK_FALSE(pending->has_value());
    proxy.databases.viewedPrimary = "b";
    ++proxy.databases.revision;
    proxy.publish();
    proxy.pass(20ms);
    REQUIRE(pending->has_value());
    CHECK((*pending)->rows == std::vector<std::string>{"booked"});
}

TEST_CASE("a transaction holds one connection from its first statement to its end")
{
    auto proxy = Proxy(Consistency::Strong);
    const auto first = proxy.open();
    const auto second = proxy.open();
    proxy.run(first, statementOf(StatementKind::Begin));
    CHECK(proxy.databases.seen.empty());
    proxy.run(first, store("a", "1"));
    proxy.run(second, store("b", "2"));
    proxy.run(first, store("c", "3"));
    const auto committed = proxy.run(first, statementOf(StatementKind::Commit));
    CHECK_FALSE(committed.failure);
    CHECK(committed.signature == "signed");
    auto connections = std::set<std::size_t>();
    auto others = std::set<std::size_t>();
    for (const auto &seen : proxy.databases.seen) {
        (seen.command.text == "STORE b 2" ? others : connections).insert(seen.connection);
    }
    CHECK(connections.size() == 1);
    CHECK(others.size() == 1);
    CHECK(*connections.begin() != *others.begin());
}

TEST_CASE("a caller that leaves in the middle of a transaction leaves nothing behind")
{
    // The caller's connection ends after a write that was not committed. The upstream's connection is rolled back and serves the next
    // caller, whose work does not see the write and is not part of it.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("satchel", "half"));
    session->end();
    proxy.pass(10ms);
    CHECK(proxy.service->counts().transactions == 0);
    const auto next = proxy.open();
    CHECK(proxy.run(next, fetch("satchel")).rows.empty());
    CHECK(proxy.databases.connectionsMade == 1);
}

TEST_CASE("values and prepared names of one session never reach another one's statements")
{
    // Two callers use the same names for other things, on one shared connection. Each statement must run with its own caller's values
    // and shape.
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
    for (const auto &seen : proxy.databases.seen) {
        if (seen.command.kind == CommandKind::Execute && seen.command.text == "item data") {
            CHECK(seen.values == SessionValues{{"tenant", "derwent"}});
        }
        if (seen.command.kind == CommandKind::Execute && seen.command.text == "item") {
            CHECK(seen.values == SessionValues{{"locale", "jm"}});
        }
        if (seen.command.text == "STORE x y") {
            CHECK(seen.values == SessionValues{{"tenant", "derwent"}});
        }
    }
    CHECK(proxy.databases.connectionsMade == 1);
    CHECK(proxy.run(first, executePrepared("unknown", "item")).failure->failure == Failure::UnknownName);
}

TEST_CASE("a write whose answer is lost is in doubt, and is not sent again")
{
    // The upstream books the satchel and its answer is lost. Sent again, the booking would be made twice; called not run, the caller
    // would make it a second time.
    auto proxy = Proxy(Consistency::Strong);
    auto ran = 0;
    proxy.databases.member("a").trouble = [&ran](const Command &command) {
        ran += command.kind == CommandKind::Run ? 1 : 0;
        return Trouble::BreakAfter;
    };
    const auto reply = proxy.run(proxy.open(), store("satchel", "booked"));
    REQUIRE(reply.failure);
    CHECK(reply.failure->failure == Failure::InDoubt);
    CHECK_FALSE(promisesNothingKept(reply.failure->failure));
    CHECK(ran == 1);
}

TEST_CASE("a commit whose answer is lost is in doubt, a statement before it is not")
{
    // Before the commit is sent, the end of the connection rolls everything back, and the caller may be told that nothing is kept.
    // After it, nobody knows.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.databases.member("a").trouble = [](const Command &) {
        return Trouble::BreakAfter;
    };
    const auto statement = proxy.run(session, store("b", "2"));
    CHECK(statement.failure->failure == Failure::Aborted);
    CHECK(statement.status == TransactionStatus::Failed);
    CHECK(proxy.run(session, fetch("a")).failure->failure == Failure::Malformed);
    CHECK(proxy.run(session, statementOf(StatementKind::Rollback)).status == TransactionStatus::None);
    CHECK(proxy.databases.member("a").items.empty());
    proxy.databases.member("a").trouble = nullptr;
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.databases.member("a").trouble = [](const Command &command) {
        return command.kind == CommandKind::Commit ? Trouble::BreakAfter : Trouble::None;
    };
    const auto commit = proxy.run(session, statementOf(StatementKind::Commit));
    CHECK(commit.failure->failure == Failure::InDoubt);
    CHECK(commit.status == TransactionStatus::None);
}

TEST_CASE("a read is tried at another member when its connection breaks")
{
    auto proxy = Proxy(Consistency::BoundedStaleness, 5s);
    const auto session = proxy.open();
    proxy.run(session, store("parcel", "sent"));
    proxy.databases.replicate();
    for (const auto *const id : {"a", "b"}) {
        proxy.databases.member(id).trouble = [](const Command &) {
            return Trouble::BreakBefore;
        };
    }
    CHECK(proxy.run(session, fetch("parcel")).rows == std::vector<std::string>{"sent"});
}

TEST_CASE("without a primary a write waits for one for half its time, and is then refused as not run")
{
    // A promotion is under way. The caller is held only for as long as its statement could still be served in time, and is told when
    // to come back.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.databases.viewedPrimary = "";
    ++proxy.databases.revision;
    proxy.publish();
    const auto began = std::chrono::steady_clock::now();
    const auto reply = proxy.run(session, store("a", "1"));
    REQUIRE(reply.failure);
    CHECK(promisesNothingKept(reply.failure->failure));
    CHECK(reply.failure->retryAfter);
    CHECK(std::chrono::steady_clock::now() - began < 180ms);
    CHECK(proxy.databases.seen.empty());
}

TEST_CASE("a statement of a transaction waits while the upstream's queue is full")
{
    // The queue is full for a moment. The transaction's earlier statements would be lost if it were given up for that.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    auto refusals = 2;
    proxy.databases.member("a").trouble = [&refusals](const Command &) {
        return refusals-- > 0 ? Trouble::Busy : Trouble::None;
    };
    CHECK_FALSE(proxy.run(session, store("b", "2")).failure);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Commit)).failure);
    CHECK(proxy.databases.member("a").items.size() == 2);
}

TEST_CASE("a transaction whose caller rests for too long gives its connection back")
{
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.service.transactionIdle = 20ms;
    ++proxy.databases.revision;
    proxy.publish();
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.pass(60ms);
    CHECK(proxy.service->counts().transactions == 0);
    CHECK(proxy.run(session, statementOf(StatementKind::Commit)).failure->failure == Failure::Aborted);
    CHECK(proxy.databases.member("a").items.empty());
}

TEST_CASE("a stopping proxy begins nothing and lets a transaction end")
{
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.service->refuseNewWork();
    CHECK(proxy.run(proxy.open(), store("b", "2")).failure->failure == Failure::Busy);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Commit)).failure);
}

TEST_CASE("a name without a route is unknown, unless the proxy cannot know")
{
    auto proxy = Proxy(Consistency::Strong);
    CHECK(std::get<FailureReply>(proxy.service->open("nobody")).failure == Failure::UnknownDatabase);
    auto fresh = std::make_shared<membership::ViewHolder>();
    auto parts = SessionServiceParts();
    parts.views = fresh;
    parts.pool = proxy.pool;
    parts.recorder = proxy.recorder;
    parts.executor = proxy.io.get_executor();
    const auto service = makeSessionService(std::move(parts));
    CHECK(std::get<FailureReply>(service->open("orders")).failure == Failure::Busy);
}

TEST_CASE("a read of current data leaves no transaction open")
{
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    proxy.run(session, fetch("a"));
    proxy.run(session, fetch("a"));
    CHECK(countKind(proxy.databases, CommandKind::Begin) == 2);
    CHECK(countKind(proxy.databases, CommandKind::Rollback) == 2);
    CHECK(proxy.databases.connectionsMade == 1);
}

TEST_CASE("a proxy that does not hear control waits for no other primary")
{
    // The caller sees: a statement that is held for half of its time and then refused, although a proxy beside this one could serve it.
    // The proxy is cut off from control and from the new primary. The one that it knows refuses; nobody can tell it of another one.
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

TEST_CASE("a proxy that is cut off from control finds a new primary that it reaches")
{
    // The view that names the new primary does not come, and each write and current read of the group would be refused until the cut heals.
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

    SECTION("and the next one after that")
    {
        proxy.databases.replicate();
        proxy.databases.promote("c");
        std::this_thread::sleep_for(PrimarySearch::rest);
        CHECK_FALSE(proxy.run(session, store("a", "3")).failure);
        CHECK(proxy.databases.member("c").items.at("a") == "3");
    }
    SECTION("and goes by the view again once it names a later term")
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

TEST_CASE("a write whose primary cannot be reached is tried again at the next one")
{
    // The primary loses its power. All attempts at the statement would be over before control has named another one.
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.member("a").reachable = false;
    const auto pending = proxy.start(proxy.open(), store("a", "1"));
    proxy.pass(80ms);
    REQUIRE_FALSE(pending->has_value());
    proxy.databases.promote("b");
    proxy.databases.viewedPrimary = "b";
    ++proxy.databases.revision;
    proxy.publish();
    proxy.pass(100ms);
    REQUIRE(pending->has_value());
    CHECK_FALSE((*pending)->failure);
    CHECK(proxy.databases.member("b").items.at("a") == "1");
}

TEST_CASE("a primary that only others cannot reach is not suspected")
{
    // Failure: a holder of connections is short of processor time and calls a healthy primary unreachable. All proxies that ask it take its word, two zones
    // suspect the primary, and a promotion takes the primary from everyone for a second.
    auto proxy = Proxy(Consistency::Strong);
    const auto control = std::make_shared<CountingControl>();
    const auto connector = std::make_shared<OneSidedConnector>();
    auto parts = SessionServiceParts();
    parts.views = proxy.views;
    parts.control = control;
    parts.pool = makeLinkPool(connector, proxy.io.get_executor());
    parts.recorder = proxy.recorder;
    parts.executor = proxy.io.get_executor();
    proxy.service = makeSessionService(std::move(parts));
    CHECK(proxy.run(proxy.open(), store("a", "1")).failure);
    CHECK(control->suspicions == 0);
    connector->reachable = false;
    CHECK(proxy.run(proxy.open(), store("a", "1")).failure);
    CHECK(control->suspicions > 0);
}

TEST_CASE("a proxy without control does not try an unreachable primary again")
{
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.member("a").reachable = false;
    proxy.views->noteContact(support::now() - 2s);
    const auto began = std::chrono::steady_clock::now();
    const auto reply = proxy.run(proxy.open(), store("a", "1"));
    REQUIRE(reply.failure);
    CHECK(promisesNothingKept(reply.failure->failure));
    CHECK(std::chrono::steady_clock::now() - began < 100ms);
}

TEST_CASE("a write whose answer was lost is not sent to a primary that is found")
{
    // The old primary may have run it; at the new one it would run twice.
    auto proxy = Proxy(Consistency::Strong);
    proxy.views->noteContact(support::now() - 2s);
    proxy.databases.member("a").trouble = [](const Command &) {
        return Trouble::BreakAfter;
    };
    const auto session = proxy.open();
    const auto pending = proxy.start(session, store("a", "1"));
    proxy.pass(20ms);
    proxy.databases.promote("b");
    proxy.pass(300ms);
    REQUIRE(pending->has_value());
    REQUIRE((*pending)->failure);
    CHECK((*pending)->failure->failure == Failure::InDoubt);
    CHECK_FALSE(proxy.databases.member("b").items.contains("a"));
}

TEST_CASE("a caller that comes before the first view waits for it, for a moment at most")
{
    // The caller sees: it is sent away by a proxy that could have served it a moment later. All VMs have just come back from a loss of power.
    auto proxy = Proxy(Consistency::Strong);
    const auto former = std::exchange(proxy.views, std::make_shared<membership::ViewHolder>());
    auto parts = SessionServiceParts();
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
    proxy.pass(20ms);
    CHECK(waited == 0);
    proxy.publish();
    proxy.pass(1ms);
    CHECK(waited == 1);
    CHECK(std::holds_alternative<std::shared_ptr<Session>>(proxy.service->open("orders")));
    boost::asio::co_spawn(proxy.io, wait, boost::asio::detached);
    proxy.pass(1ms);
    CHECK(waited == 2);
}

TEST_CASE("a caller is not held where no view comes")
{
    auto proxy = Proxy(Consistency::Strong);
    auto parts = SessionServiceParts();
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
    proxy.pass(500ms);
    CHECK(over);
    const auto opened = service->open("orders");
    const auto *const why = std::get_if<FailureReply>(&opened);
    REQUIRE(why != nullptr);
    CHECK(why->failure == Failure::Busy);
    CHECK(why->retryAfter);
}

} // namespace sapphirespool::interactive
