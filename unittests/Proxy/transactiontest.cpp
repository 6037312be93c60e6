#include "Proxy/trafficsystem.h"

#include "sapphirespool/Support/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool::proxy
{

using testing::executedOf;
using testing::reasonOf;
using testing::servedBy;
using testing::TrafficSystem;

namespace
{

auto idOf(const BeginReply &reply) -> TransactionId
{
    return std::get<TransactionBegun>(reply.outcome).id;
}

constexpr auto statement = TransactionStep::Statement;
constexpr auto commit = TransactionStep::Commit;
constexpr auto rollback = TransactionStep::Rollback;

} // namespace

TEST_CASE("transactions of two callers never mix")
{
    // Two clerks enrol members at the same time through the same proxy. Each works on a connection of its own; what one commits
    // holds nothing of the other, and a rollback takes back only its own.
    auto system = TrafficSystem();
    const auto first = idOf(system.begin(0));
    const auto second = idOf(system.begin(0));
    system.step(0, first, statement, "enrol A");
    system.step(0, second, statement, "enrol B");
    system.write(0, "enrol C");
    CHECK(system.group->log == std::vector<std::string>{"enrol C"});
    CHECK(executedOf(system.step(0, first, commit)) == Executed::Yes);
    CHECK(system.group->log == std::vector<std::string>{"enrol C", "enrol A"});
    CHECK(executedOf(system.step(0, second, rollback)) == Executed::Yes);
    CHECK(system.group->count("enrol B") == 0);
    CHECK(system.proxies[0].dispatcher->running == 0);
    CHECK(system.proxies[0].path->counts().transactions == 0);
}

TEST_CASE("any proxy takes the steps of a transaction to its holder")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    CHECK(servedBy(system.step(2, id, statement, "enrol A")) == "u1");
    CHECK(servedBy(system.step(3, id, commit)) == "u1");
    CHECK(system.group->count("enrol A") == 1);
}

TEST_CASE("a transaction whose proxy dies is rolled back, and the caller is told so")
{
    // A proxy dies in the middle of a transaction. Its connection breaks, so the database rolls back. The caller's next statement,
    // through another proxy, is answered plainly; only of a commit nobody can say whether an earlier one got through.
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.step(0, id, statement, "enrol A");
    system.loseProxy(0);
    const auto reply = system.step(1, id, statement, "enrol B");
    CHECK(reasonOf(reply) == RefusalReason::TransactionHolderLost);
    CHECK(executedOf(reply) == Executed::No);
    const auto committed = system.step(1, id, commit);
    CHECK(reasonOf(committed) == RefusalReason::TransactionHolderLost);
    CHECK(executedOf(committed) == Executed::Unknown);
    CHECK(system.group->log.empty());
}

TEST_CASE("a transaction of a process that was restarted since is lost, not unknown")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.restartProxy(0);
    CHECK(reasonOf(system.step(0, id, statement, "enrol A")) == RefusalReason::TransactionHolderLost);
    CHECK(reasonOf(system.step(1, id, statement, "enrol A")) == RefusalReason::TransactionHolderLost);
}

TEST_CASE("a holder that cannot be reached for now has not run the step")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.network->unreachable.insert(TrafficSystem::vmOf(0));
    const auto reply = system.step(1, id, statement, "enrol A");
    CHECK(reasonOf(reply) == RefusalReason::PeerUnreachable);
    CHECK(executedOf(reply) == Executed::No);
}

TEST_CASE("a commit whose answer is lost is unknown, also when it is sent again")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.step(0, id, statement, "enrol A");
    system.group->loseAnswer = [](const platform::ExecuteRequest &request) {
        return request.operation == platform::Operation::Commit;
    };
    CHECK(executedOf(system.step(0, id, commit)) == Executed::Unknown);
    CHECK(executedOf(system.step(1, id, commit)) == Executed::Unknown);
    CHECK(system.group->count("enrol A") == 1);
    CHECK(reasonOf(system.step(0, id, statement, "enrol B")) == RefusalReason::TransactionEnded);
}

TEST_CASE("a commit is acknowledged only when a second member confirms it")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.step(0, id, statement, "enrol A");
    system.proxies[0].watch->next = upstreams::Confirmation::TimedOut;
    const auto reply = system.step(0, id, commit);
    CHECK(reasonOf(reply) == RefusalReason::NotConfirmed);
    CHECK(executedOf(reply) == Executed::Unknown);
}

TEST_CASE("a resent commit gets the first answer")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.step(0, id, statement, "enrol A");
    CHECK(executedOf(system.step(0, id, commit)) == Executed::Yes);
    CHECK(executedOf(system.step(1, id, commit)) == Executed::Yes);
    CHECK(system.group->count("enrol A") == 1);
}

TEST_CASE("a statement whose answer is lost ends its transaction, rolled back")
{
    // After a lost answer nobody knows what the connection would bring next. It is closed, which rolls back; the next caller gets
    // another connection and never the late answer.
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.group->loseAnswer = [](const platform::ExecuteRequest &request) {
        return request.operation == platform::Operation::Statement;
    };
    const auto reply = system.step(0, id, statement, "enrol A");
    CHECK(reasonOf(reply) == RefusalReason::AnswerLost);
    CHECK(executedOf(reply) == Executed::No);
    system.group->loseAnswer = nullptr;
    CHECK(reasonOf(system.step(0, id, commit)) == RefusalReason::UnknownTransaction);
    CHECK(system.group->log.empty());
    CHECK(system.proxies[0].dispatcher->running == 0);
}

TEST_CASE("an idle transaction gives its slot and its connection back")
{
    auto system = TrafficSystem(1);
    system.proxies[0].path->stop();
    system.limits.transactionIdle = std::chrono::milliseconds(5);
    system.restartProxy(0);
    const auto id = idOf(system.begin(0));
    CHECK(system.proxies[0].dispatcher->running == 1);
    while (system.proxies[0].path->counts().transactions > 0) {
        system.io.restart();
        system.io.run_one();
    }
    CHECK(system.proxies[0].dispatcher->running == 0);
    CHECK(system.group->connectionsClosed == 1);
    CHECK(reasonOf(system.step(0, id, commit)) == RefusalReason::TransactionEnded);
}

TEST_CASE("a draining proxy lets open transactions come to their end")
{
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.proxies[0].path->refuseNewWork();
    CHECK(std::holds_alternative<NotRun>(system.begin(0).outcome));
    system.step(0, id, statement, "enrol A");
    CHECK(executedOf(system.step(0, id, commit)) == Executed::Yes);
    CHECK(system.group->count("enrol A") == 1);
}

TEST_CASE("late in a stop a transaction is rolled back at its next request")
{
    // Failure: a commit is sent to the upstream, and the proxy ends before its answer.
    auto system = TrafficSystem();
    const auto id = idOf(system.begin(0));
    system.step(0, id, statement, "enrol A");
    system.proxies[0].path->endForwardingAt(support::now());
    const auto step = GENERATE(commit, statement);
    // The second request goes through another proxy, which is not stopping.
    const auto reply = system.step(GENERATE(std::size_t{0}, std::size_t{1}), id, step, "enrol B");
    CHECK(reasonOf(reply) == RefusalReason::TransactionEnded);
    CHECK(executedOf(reply) == Executed::No);
    CHECK(reasonOf(system.step(0, id, step)) == RefusalReason::TransactionEnded);
    CHECK(system.group->log.empty());
    CHECK(system.group->connectionsClosed == 1);
    CHECK(system.proxies[0].path->counts().transactions == 0);
}

TEST_CASE("an unknown transaction is refused as not run")
{
    auto system = TrafficSystem();
    for (const auto *const id : {"", "x", "vm0~1~nothing", "vm0~x~nothing", "~~"}) {
        const auto reply = system.step(0, TransactionId(id), statement, "enrol A");
        CHECK(reasonOf(reply) == RefusalReason::UnknownTransaction);
        CHECK(executedOf(reply) == Executed::No);
    }
    const auto id = idOf(system.begin(0));
    auto foreign = TransactionRequest();
    foreign.service = ServiceId("orders");
    foreign.id = TransactionId(id.value() + "0");
    CHECK(reasonOf(system.await(system.proxies[0].path->run(foreign))) == RefusalReason::UnknownTransaction);
}

} // namespace sapphirespool::proxy
