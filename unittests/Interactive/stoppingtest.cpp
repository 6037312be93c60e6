#include "Interactive/sessionfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace sapphirespool::interactive
{

namespace
{

using namespace std::chrono_literals;
using membership::Consistency;

/// A proxy whose stop has come to the point from which nothing is forwarded.
auto endForwarding(Proxy &proxy) -> void
{
    proxy.service->endForwardingAt(support::now());
}

auto countCommits(const FakeDatabases &databases) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(databases.received.begin(), databases.received.end(), [](const ReceivedCommand &received) {
        return received.command.kind == CommandKind::Commit;
    }));
}

/// \return a session with an open transaction that has written
auto openTransaction(Proxy &proxy) -> std::shared_ptr<Session>
{
    const auto session = proxy.open();
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    return session;
}

} // namespace

TEST_CASE("a commit that comes late in a stop is refused without being forwarded")
{
    // Failure: the upstream runs the commit, and the connection to the caller is closed before the answer.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = openTransaction(proxy);
    endForwarding(proxy);
    const auto reply = proxy.run(session, statementOf(StatementKind::Commit));
    REQUIRE(reply.failure);
    CHECK(reply.failure->failure == Failure::Aborted);
    CHECK(reply.status == TransactionStatus::None);
    proxy.runFor(20ms);
    CHECK(countCommits(proxy.databases) == 0);
    CHECK(proxy.databases.member("a").items.empty());
    CHECK(proxy.databases.received.back().command.kind == CommandKind::Rollback);
    CHECK(proxy.service->counts().transactions == 0);
}

TEST_CASE("late in a stop nothing of a transaction is forwarded")
{
    // Failure: a statement of a transaction, or a commit that would open one itself, runs without an answer.
    auto proxy = Proxy(Consistency::Strong);
    const auto writer = openTransaction(proxy);
    const auto reader = proxy.open();
    proxy.run(reader, statementOf(StatementKind::BeginReadOnly));
    proxy.run(reader, fetch("a"));
    const auto empty = proxy.open();
    proxy.run(empty, statementOf(StatementKind::Begin));
    endForwarding(proxy);
    const auto before = proxy.databases.received.size();
    SECTION("a write")
    {
        CHECK(proxy.run(writer, store("b", "2")).failure->failure == Failure::Aborted);
        CHECK(proxy.run(writer, statementOf(StatementKind::Rollback)).status == TransactionStatus::None);
    }
    SECTION("the commit of a transaction that only reads")
    {
        CHECK(proxy.run(reader, statementOf(StatementKind::Commit)).failure->failure == Failure::Aborted);
    }
    SECTION("a commit as the first statement")
    {
        CHECK(proxy.run(empty, statementOf(StatementKind::Commit)).failure->failure == Failure::Aborted);
    }
    SECTION("a rollback")
    {
        CHECK_FALSE(proxy.run(writer, statementOf(StatementKind::Rollback)).failure);
    }
    proxy.runFor(20ms);
    for (auto index = before; index < proxy.databases.received.size(); ++index) {
        CHECK(proxy.databases.received[index].command.kind == CommandKind::Rollback);
    }
    CHECK(proxy.databases.member("a").items.empty());
}

TEST_CASE("late in a stop new work is refused as not run")
{
    // Failure: a statement outside of a transaction is forwarded shortly before the connections close.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = proxy.open();
    endForwarding(proxy);
    for (const auto &statement : {store("a", "1"), fetch("a"), statementOf(StatementKind::Begin)}) {
        const auto reply = proxy.run(session, statement);
        REQUIRE(reply.failure);
        CHECK(reply.failure->failure == Failure::Busy);
        CHECK(reply.failure->retryAfter == 0ms);
    }
    CHECK(proxy.databases.received.empty());
}

TEST_CASE("a statement that waits when forwarding ends is refused without being forwarded")
{
    // Failure: a statement that was admitted early in a stop is forwarded late in it.
    auto proxy = Proxy(Consistency::Strong);
    proxy.databases.service.timeout = 2s;
    proxy.databases.service.objective = 2s;
    ++proxy.databases.revision;
    proxy.publish();
    const auto holder = openTransaction(proxy);
    SECTION("for a connection")
    {
        proxy.pool->setLimits(UpstreamId("a"), {1, 1});
        const auto single = proxy.start(proxy.open(), store("b", "2"));
        const auto committing = proxy.open();
        proxy.run(committing, statementOf(StatementKind::Begin));
        const auto commit = proxy.start(committing, statementOf(StatementKind::Commit));
        proxy.runFor(10ms);
        endForwarding(proxy);
        proxy.run(holder, statementOf(StatementKind::Rollback));
        proxy.runFor(50ms);
        REQUIRE(single->has_value());
        CHECK((*single)->failure->failure == Failure::Busy);
        REQUIRE(commit->has_value());
        CHECK((*commit)->failure->failure == Failure::Aborted);
        CHECK(countCommits(proxy.databases) == 0);
    }
    SECTION("for room in the upstream's queue")
    {
        proxy.databases.member("a").fault = [](const Command &command) {
            return command.kind == CommandKind::Commit ? Fault::Busy : Fault::None;
        };
        const auto commit = proxy.start(holder, statementOf(StatementKind::Commit));
        proxy.runFor(30ms);
        endForwarding(proxy);
        proxy.databases.member("a").fault = nullptr;
        proxy.runFor(50ms);
        REQUIRE(commit->has_value());
        CHECK((*commit)->failure->failure == Failure::Aborted);
    }
    CHECK(proxy.databases.member("a").items.empty());
}

TEST_CASE("what was forwarded before forwarding ends is answered after it")
{
    // Failure: a stop takes the answer of a commit that the upstream has run for a refusal.
    auto proxy = Proxy(Consistency::Strong);
    const auto session = openTransaction(proxy);
    proxy.databases.member("a").answerDelay = 60ms;
    const auto commit = proxy.start(session, statementOf(StatementKind::Commit));
    proxy.runFor(10ms);
    endForwarding(proxy);
    CHECK_FALSE(commit->has_value());
    CHECK(proxy.service->counts().statements == 1);
    proxy.runFor(150ms);
    REQUIRE(commit->has_value());
    CHECK_FALSE((*commit)->failure);
    CHECK(proxy.databases.member("a").items.size() == 1);
}

} // namespace sapphirespool::interactive
