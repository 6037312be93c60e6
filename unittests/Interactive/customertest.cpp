#include "Interactive/sessionfixture.h"

#include <catch2/catch.hpp>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

namespace sapphirespool::interactive
{

namespace
{

using namespace std::chrono_literals;
using membership::Consistency;

auto customerOf(const std::string &name, const std::vector<std::string> &keys) -> membership::CustomerView
{
    auto customer = membership::CustomerView();
    customer.id = CustomerId(name);
    for (const auto &key : keys) {
        customer.keys.push_back(membership::digestOf(key));
    }
    return customer;
}

/// The log lines of its lifetime.
class CapturedLog
{
public:
    CapturedLog()
        : path(std::filesystem::temp_directory_path() / ("sapphirespool-log-" + std::to_string(::getpid())))
        , appender(std::make_shared<log4cxx::FileAppender>(std::make_shared<log4cxx::PatternLayout>("%m%n"), this->path.string(), false))
    {
        log4cxx::Logger::getLogger("sapphirespool")->addAppender(this->appender);
    }

    ~CapturedLog()
    {
        log4cxx::Logger::getLogger("sapphirespool")->removeAppender(this->appender);
        this->appender->close();
        std::filesystem::remove(this->path);
    }

    CapturedLog(const CapturedLog &) = delete;
    auto operator=(const CapturedLog &) -> CapturedLog & = delete;

    [[nodiscard]] auto text() const -> std::string
    {
        auto file = std::ifstream(this->path);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

private:
    std::filesystem::path path;
    std::shared_ptr<log4cxx::FileAppender> appender;
};

/// A proxy in front of a service for two customers.
struct CustomerProxy : Proxy
{
    CustomerProxy()
        : Proxy(Consistency::Strong)
    {
        this->databases.service.requiresKey = true;
        this->databases.service.timeout = 2s;
        this->setCustomers({customerOf("chefs", {"key-of-chefs", "second-key"}), customerOf("shearers", {"key-of-shearers"})});
    }

    auto setCustomers(std::vector<membership::CustomerView> customers) -> void
    {
        this->databases.customers = std::move(customers);
        ++this->databases.revision;
        this->publish();
    }

    /// Replaces the key of the sessions that were opened with "key-of-chefs".
    auto takeKeyOfChefs() -> void
    {
        this->setCustomers({customerOf("chefs", {"second-key"}), customerOf("shearers", {"key-of-shearers"})});
    }

    auto openFailure(std::string_view key) -> Failure
    {
        return std::get<FailureReply>(this->service->open("orders", key)).failure;
    }

    /// \return the customers for whom the statements with text \p text ran
    [[nodiscard]] auto customersOf(const std::string &text) const -> std::vector<CustomerId>
    {
        auto customers = std::vector<CustomerId>();
        for (const auto &received : this->databases.received) {
            if (received.command.text == text) {
                customers.push_back(received.customer);
            }
        }
        return customers;
    }
};

} // namespace

// A caller with a key that no customer holds must not reach an upstream.
TEST_CASE("a key that no customer holds is denied, and only by a proxy with a current view")
{
    auto proxy = CustomerProxy();
    CHECK(proxy.openFailure("made-up") == Failure::Denied);
    CHECK(proxy.openFailure("") == Failure::Denied);
    CHECK(std::holds_alternative<std::shared_ptr<Session>>(proxy.service->open("orders", "second-key")));
    // A key may have been added that this proxy has not heard of.
    auto stale = std::make_shared<membership::ViewHolder>();
    stale->publish(proxy.databases.view());
    auto parts = SessionServiceDependencies();
    parts.views = stale;
    parts.pool = proxy.pool;
    parts.recorder = proxy.recorder;
    parts.executor = proxy.io.get_executor();
    const auto cutOff = makeSessionService(std::move(parts));
    CHECK(std::get<FailureReply>(cutOff->open("orders", "made-up")).failure == Failure::Busy);
    CHECK(std::holds_alternative<std::shared_ptr<Session>>(cutOff->open("orders", "key-of-chefs")));
}

TEST_CASE("a service that needs no key serves any caller")
{
    auto proxy = CustomerProxy();
    proxy.databases.service.requiresKey = false;
    proxy.setCustomers({customerOf("chefs", {"key-of-chefs"})});
    CHECK_FALSE(proxy.run(proxy.open("made-up"), store("a", "1")).failure);
    CHECK_FALSE(proxy.run(proxy.open("key-of-chefs"), store("a", "2")).failure);
    CHECK(proxy.customersOf("STORE a 1") == std::vector{CustomerId()});
    CHECK(proxy.customersOf("STORE a 2") == std::vector{CustomerId("chefs")});
}

// Failure: a caller whose key was taken away goes on reading and writing in a transaction that it began before.
TEST_CASE("a key that is taken away ends an open transaction at its next statement")
{
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    const auto open = proxy.open("key-of-chefs");
    CHECK_FALSE(proxy.run(session, store("a", "1")).failure);
    proxy.run(open, statementOf(StatementKind::Begin));
    CHECK_FALSE(proxy.run(open, store("b", "1")).failure);
    proxy.takeKeyOfChefs();
    CHECK(proxy.run(session, store("a", "2")).failure->failure == Failure::Denied);
    CHECK(proxy.run(session, statementOf(StatementKind::Begin)).failure->failure == Failure::Denied);
    CHECK(proxy.run(open, store("b", "2")).failure->failure == Failure::Denied);
    CHECK(open->status() == TransactionStatus::Failed);
    CHECK(proxy.run(open, statementOf(StatementKind::Commit)).failure->failure == Failure::Aborted);
    CHECK(proxy.run(open, statementOf(StatementKind::Begin)).failure->failure == Failure::Denied);
    proxy.runFor(10ms);
    CHECK(proxy.databases.received.back().command.kind == CommandKind::Rollback);
    CHECK(proxy.service->counts().transactions == 0);
    CHECK(proxy.databases.member("a").items.at("a") == "1");
    CHECK_FALSE(proxy.databases.member("a").items.contains("b"));
}

// Failure: a transaction that rests before its first statement begins at the upstream for a customer that no longer holds the key.
TEST_CASE("a key that is taken away ends a transaction that has not begun at the upstream")
{
    const auto kind = GENERATE(StatementKind::Begin, StatementKind::BeginReadOnly);
    const auto next = GENERATE(StatementKind::Read, StatementKind::Commit, StatementKind::SetValue, StatementKind::Prepare);
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    proxy.run(session, statementOf(kind));
    proxy.takeKeyOfChefs();
    CHECK(proxy.run(session, statementOf(next, "FETCH a")).failure->failure == Failure::Denied);
    CHECK(proxy.databases.received.empty());
    proxy.run(session, statementOf(StatementKind::Rollback));
    CHECK(session->status() == TransactionStatus::None);
}

// Failure: the writes of a transaction are committed with a key that nobody holds any more.
TEST_CASE("a commit with a key that was taken away is denied, and nothing is kept")
{
    auto proxy = CustomerProxy();
    proxy.pool->setLimits(UpstreamId("a"), {1, 1});
    const auto session = proxy.open("key-of-chefs");
    proxy.run(session, statementOf(StatementKind::Begin));
    CHECK_FALSE(proxy.run(session, store("a", "1")).failure);
    proxy.takeKeyOfChefs();
    CHECK(proxy.run(session, statementOf(StatementKind::Commit)).failure->failure == Failure::Denied);
    CHECK(session->status() == TransactionStatus::None);
    // The only connection is free for others.
    CHECK_FALSE(proxy.run(proxy.open("key-of-shearers"), store("b", "1")).failure);
    CHECK_FALSE(proxy.databases.member("a").items.contains("a"));
}

// Failure: the statements of an open transaction run for a customer that no longer holds the key. The key is still valid, so it is not denied.
TEST_CASE("a key that moves to another customer aborts an open transaction, which may be repeated")
{
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    proxy.run(session, statementOf(StatementKind::Begin));
    CHECK_FALSE(proxy.run(session, store("a", "1")).failure);
    proxy.setCustomers({customerOf("chefs", {"second-key"}), customerOf("shearers", {"key-of-shearers", "key-of-chefs"})});
    CHECK(proxy.run(session, store("a", "2")).failure->failure == Failure::Aborted);
    proxy.run(session, statementOf(StatementKind::Rollback));
    proxy.run(session, statementOf(StatementKind::Begin));
    CHECK_FALSE(proxy.run(session, store("a", "3")).failure);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Commit)).failure);
    CHECK(proxy.customersOf("STORE a 2").empty());
    CHECK(proxy.customersOf("STORE a 3") == std::vector{CustomerId("shearers")});
}

// Failure: callers whose own key did not change lose their transactions when other keys or the route change.
TEST_CASE("a transaction goes on while its own key stays valid")
{
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    proxy.run(session, statementOf(StatementKind::Begin));
    CHECK_FALSE(proxy.run(session, store("a", "1")).failure);
    proxy.databases.service.requiresKey = false;
    proxy.databases.service.timeout = 1s;
    proxy.setCustomers({customerOf("chefs", {"key-of-chefs", "third-key"}), customerOf("smiths", {"key-of-smiths"})});
    CHECK_FALSE(proxy.run(session, store("b", "1")).failure);
    CHECK_FALSE(proxy.run(session, statementOf(StatementKind::Commit)).failure);
    CHECK(proxy.databases.member("a").items.size() == 2);
}

// Failure: a statement that waits for a connection while its key is taken away runs all the same.
TEST_CASE("a statement that waits while its key is taken away is not run")
{
    const auto inTransaction = GENERATE(false, true);
    auto proxy = CustomerProxy();
    proxy.pool->setLimits(UpstreamId("a"), {1, 1});
    const auto holder = proxy.open("key-of-shearers");
    proxy.run(holder, statementOf(StatementKind::Begin));
    CHECK_FALSE(proxy.run(holder, store("s", "1")).failure);
    const auto waiting = proxy.open("key-of-chefs");
    if (inTransaction) {
        proxy.run(waiting, statementOf(StatementKind::Begin));
    }
    const auto reply = proxy.start(waiting, store("c", "1"));
    proxy.runFor(20ms);
    REQUIRE_FALSE(reply->has_value());
    proxy.takeKeyOfChefs();
    CHECK_FALSE(proxy.run(holder, statementOf(StatementKind::Commit)).failure);
    proxy.runFor(50ms);
    REQUIRE(reply->has_value());
    CHECK((*reply)->failure->failure == Failure::Denied);
    CHECK(proxy.customersOf("STORE c 1").empty());
    CHECK_FALSE(proxy.run(proxy.open("key-of-shearers"), store("s", "2")).failure);
}

// Failure: a statement of an open transaction is sent again after its key was taken away.
TEST_CASE("a statement that a full upstream refused is not repeated after its key was taken away")
{
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    proxy.run(session, statementOf(StatementKind::Begin));
    CHECK_FALSE(proxy.run(session, store("a", "1")).failure);
    proxy.databases.member("a").fault = [](const Command &) {
        return Fault::Busy;
    };
    const auto reply = proxy.start(session, store("a", "2"));
    proxy.runFor(30ms);
    REQUIRE_FALSE(reply->has_value());
    proxy.takeKeyOfChefs();
    const auto sent = proxy.customersOf("STORE a 2").size();
    proxy.runFor(100ms);
    REQUIRE(reply->has_value());
    CHECK((*reply)->failure);
    CHECK(proxy.customersOf("STORE a 2").size() == sent);
    CHECK_FALSE(proxy.databases.member("a").items.contains("a"));
}

// Failure: a session that stays open goes on with a key that was taken away.
TEST_CASE("a session outside of a transaction is denied each statement once its key is taken away")
{
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    CHECK_FALSE(proxy.run(session, setValue("v", "1")).failure);
    proxy.takeKeyOfChefs();
    CHECK(proxy.run(session, setValue("v", "2")).failure->failure == Failure::Denied);
    CHECK(proxy.run(session, prepareShape("s1", false, "q")).failure->failure == Failure::Denied);
    CHECK(proxy.run(session, fetch("a")).failure->failure == Failure::Denied);
    CHECK(proxy.databases.received.empty());
}

TEST_CASE("a key that moves to another customer acts for it from the next transaction on")
{
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    proxy.run(session, store("a", "1"));
    proxy.setCustomers({customerOf("chefs", {"second-key"}), customerOf("shearers", {"key-of-shearers", "key-of-chefs"})});
    CHECK_FALSE(proxy.run(session, store("a", "2")).failure);
    CHECK(proxy.customersOf("STORE a 1") == std::vector{CustomerId("chefs")});
    CHECK(proxy.customersOf("STORE a 2") == std::vector{CustomerId("shearers")});
}

// An upstream must not run a statement on a connection that was opened for another customer.
TEST_CASE("each statement runs on a connection of its customer, also when connections are scarce")
{
    auto proxy = CustomerProxy();
    proxy.pool->setLimits(UpstreamId("a"), {1, 1});
    const auto chef = proxy.open("key-of-chefs");
    const auto shearer = proxy.open("key-of-shearers");
    for (auto round = 0; round < 3; ++round) {
        CHECK_FALSE(proxy.run(chef, store("c", std::to_string(round))).failure);
        CHECK_FALSE(proxy.run(shearer, store("s", std::to_string(round))).failure);
    }
    // Two callers at once for the only connection: the second one's customer gets it as soon as the first is done.
    const auto first = proxy.start(chef, store("c", "last"));
    const auto second = proxy.start(shearer, store("s", "last"));
    proxy.runFor(50ms);
    REQUIRE(first->has_value());
    REQUIRE(second->has_value());
    CHECK_FALSE((*first)->failure);
    CHECK_FALSE((*second)->failure);
    for (const auto &received : proxy.databases.received) {
        if (!received.command.id.empty()) {
            CHECK(received.customer == CustomerId(received.command.text.starts_with("STORE c") ? "chefs" : "shearers"));
        }
    }
    CHECK(proxy.databases.member("a").connections == 1);
}

TEST_CASE("the connections stay with the customers that call most")
{
    auto proxy = CustomerProxy();
    proxy.setCustomers({customerOf("chefs", {"c"}), customerOf("rare-1", {"1"}), customerOf("rare-2", {"2"}), customerOf("rare-3", {"3"})});
    proxy.pool->setLimits(UpstreamId("a"), {2, 2});
    const auto chef = proxy.open("c");
    proxy.run(chef, store("c", "0"));
    for (const auto *key : {"1", "2", "3"}) {
        proxy.run(proxy.open(key), store("r", key));
        proxy.run(chef, store("c", key));
    }
    // One connection for the chefs, and one after the other for each of the rest.
    CHECK(proxy.databases.connectionsMade == 4);
}

// After a power loss an upstream keeps the connections of the dead processes for a while; they must not be all that it accepts.
TEST_CASE("only a bounded number of connections stays open idle")
{
    auto proxy = CustomerProxy();
    proxy.setCustomers({customerOf("one", {"1"}), customerOf("two", {"2"}), customerOf("three", {"3"})});
    proxy.pool->setLimits(UpstreamId("a"), {10, 10, 2});
    for (const auto *key : {"1", "2", "3"}) {
        CHECK_FALSE(proxy.run(proxy.open(key), store("r", key)).failure);
    }
    CHECK(proxy.databases.member("a").connections == 2);
    CHECK_FALSE(proxy.run(proxy.open("3"), store("r", "4")).failure);
    CHECK(proxy.databases.connectionsMade == 3);
}

// An operation beyond the quota must not reach an upstream, and its refusal must say so and when to come back.
TEST_CASE("an operation beyond the quota is refused before anything runs")
{
    auto proxy = CustomerProxy();
    proxy.quota->exhausted.insert(CustomerId("chefs"));
    const auto session = proxy.open("key-of-chefs");
    const auto single = proxy.run(session, store("a", "1"));
    REQUIRE(single.failure);
    CHECK(single.failure->failure == Failure::OverQuota);
    CHECK(guaranteesNoEffect(single.failure->failure));
    CHECK(single.failure->retryAfter == 70ms);
    proxy.run(session, statementOf(StatementKind::Begin));
    CHECK(proxy.run(session, store("a", "1")).failure->failure == Failure::OverQuota);
    proxy.run(session, statementOf(StatementKind::Rollback));
    CHECK(proxy.databases.received.empty());
    CHECK_FALSE(proxy.run(proxy.open("key-of-shearers"), store("a", "2")).failure);
}

TEST_CASE("a transaction counts as one operation")
{
    auto proxy = CustomerProxy();
    const auto session = proxy.open("key-of-chefs");
    proxy.run(session, statementOf(StatementKind::Begin));
    proxy.run(session, store("a", "1"));
    proxy.run(session, store("b", "1"));
    proxy.run(session, statementOf(StatementKind::Commit));
    CHECK(proxy.quota->taken[CustomerId("chefs")] == 1);
}

// A key in a log line or an error text would give access to whoever reads it.
TEST_CASE("keys appear in no log line, error text or statement")
{
    auto proxy = CustomerProxy();
    auto captured = CapturedLog();
    auto texts = std::string();
    const auto refused = proxy.service->open("orders", "made-up-key");
    texts += std::get<FailureReply>(refused).detail;
    proxy.quota->exhausted.insert(CustomerId("chefs"));
    texts += proxy.run(proxy.open("key-of-chefs"), store("a", "1")).failure->detail;
    CHECK_FALSE(proxy.run(proxy.open("key-of-shearers"), store("a", "1")).failure);
    const auto logged = captured.text();
    CHECK(logged.find("SP1106") != std::string::npos);
    CHECK(logged.find("SP1103") != std::string::npos);
    for (const auto &received : proxy.databases.received) {
        texts += received.command.text + received.command.id + received.customer.value();
    }
    for (const auto *key : {"made-up-key", "key-of-chefs", "key-of-shearers"}) {
        CHECK(logged.find(key) == std::string::npos);
        CHECK(texts.find(key) == std::string::npos);
    }
}

} // namespace sapphirespool::interactive
