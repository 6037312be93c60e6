#include "Proxy/trafficsystem.h"

#include "sapphirespool/Support/clock.h"

#include <catch2/catch.hpp>

#include <memory>

namespace sapphirespool::proxy
{

using testing::executedOf;
using testing::idOf;
using testing::reasonOf;
using testing::servedBy;
using testing::TrafficSystem;

namespace
{

/// Replaces the views of a proxy by ones whose lease has run out.
auto expireLease(TrafficSystem &system, std::size_t proxy) -> void
{
    auto &views = *system.proxies[proxy].views;
    std::destroy_at(&views);
    std::construct_at(&views);
    views.publish(std::make_shared<const membership::ClusterView>(system.view));
}

} // namespace

TEST_CASE("a write that no second member confirms is not acknowledged")
{
    // The primary runs a booking and is cut off before any replica has it. If the caller were told that it is booked, the promotion
    // that follows would lose an acknowledged booking.
    auto system = TrafficSystem();
    system.proxies[0].watch->next = upstreams::Confirmation::TimedOut;
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::NotConfirmed);
    CHECK(executedOf(reply) == Executed::Unknown);
    system.proxies[0].watch->next = upstreams::Confirmation::TermEnded;
    CHECK(reasonOf(system.write(0, "book 8")) == RefusalReason::NotConfirmed);
    CHECK(system.proxies[0].recorder->refusals[RefusalReason::NotConfirmed] == 2);
}

TEST_CASE("a write is not acknowledged once the lease has run out")
{
    // The proxy is cut off from control while a write runs at what it believes to be the primary. By the time of the confirmation
    // its lease is over and another primary may have been chosen; an acknowledgement would be one by an old primary.
    auto system = TrafficSystem();
    system.proxies[0].watch->before = [&system] {
        expireLease(system, 0);
    };
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::NotConfirmed);
    CHECK(executedOf(reply) == Executed::Unknown);
}

TEST_CASE("a write is not acknowledged under a later term than that in which it ran")
{
    auto system = TrafficSystem();
    system.proxies[0].watch->before = [&system] {
        system.promote(UpstreamId("u3"), 1);
    };
    CHECK(reasonOf(system.write(0, "book 7")) == RefusalReason::NotConfirmed);
}

TEST_CASE("without a live lease a write is not sent")
{
    auto system = TrafficSystem();
    expireLease(system, 0);
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::StaleView);
    CHECK(executedOf(reply) == Executed::No);
    CHECK(std::get<NotRun>(reply.outcome).retryAfter.has_value());
    CHECK(system.group->log.empty());
}

TEST_CASE("a read that accepts age is served as long as the lease is over by no more than that age")
{
    auto system = TrafficSystem();
    expireLease(system, 0);
    CHECK(reasonOf(system.read(0)) == RefusalReason::StaleView);
    system.proxies[0].views->extendLease(std::chrono::steady_clock::now());
    CHECK(servedBy(system.read(0)) == "u2");
}

TEST_CASE("a write whose answer is lost is not sent again")
{
    // A courier booking runs, and the connection breaks before its answer. Nobody can know from here whether it ran. Sent again it
    // would book a second courier; the caller is told "unknown".
    auto system = TrafficSystem();
    system.group->loseAnswer = [](const platform::ExecuteRequest &request) {
        return request.write;
    };
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::AnswerLost);
    CHECK(executedOf(reply) == Executed::Unknown);
    CHECK(system.group->count("book 7") == 1);
    CHECK(system.proxies[0].dispatcher->running == 0);
}

TEST_CASE("after a lost answer the session reads at the primary, so that it learns whether the write ran")
{
    auto system = TrafficSystem();
    const auto first = system.write(0, "book 6");
    system.group->member(UpstreamId("u2")).applied = 1;
    system.group->loseAnswer = [](const platform::ExecuteRequest &request) {
        return request.write;
    };
    const auto lost = system.write(0, "book 7", first.sessionToken);
    CHECK(servedBy(system.read(1, lost.sessionToken)) == "u1");
    CHECK(servedBy(system.read(1, idOf(lost.sessionToken))) == "u1");
}

TEST_CASE("a write that was not sent goes out again")
{
    auto system = TrafficSystem();
    auto failures = 1;
    system.group->before = [&failures](const platform::ExecuteRequest &) -> std::optional<upstreams::ExchangeOutcome> {
        if (failures-- > 0) {
            return upstreams::ExchangeFailure{false, "closed while idle"};
        }
        return std::nullopt;
    };
    CHECK(servedBy(system.write(0, "book 7")) == "u1");
    CHECK(system.group->count("book 7") == 1);
    CHECK(system.proxies[0].recorder->retries[metrics::RetryReason::NotSent] == 1);
}

TEST_CASE("a write that the upstream refused as not run goes out again, a bounded number of times")
{
    auto system = TrafficSystem();
    system.group->member(UpstreamId("u1")).term = 9;
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::NoPrimary);
    CHECK(executedOf(reply) == Executed::No);
    CHECK(system.proxies[0].recorder->retries[metrics::RetryReason::WrongTerm] == 2);
    CHECK(system.group->log.empty());
}

TEST_CASE("a primary that cannot be reached until the deadline leaves the request not run")
{
    auto system = TrafficSystem();
    system.writeTimeout = std::chrono::milliseconds(1000);
    system.group->unreachable.insert(UpstreamId("u1"));
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::ConnectFailed);
    CHECK(executedOf(reply) == Executed::No);
    CHECK(std::get<NotRun>(reply.outcome).retryAfter.has_value());
    CHECK(system.proxies[0].recorder->retries[metrics::RetryReason::ConnectFailed] >= 1);
    CHECK(system.proxies[0].dispatcher->running == 0);
    CHECK(system.group->log.empty());
}

TEST_CASE("a write waits for the promotion while the primary cannot be reached")
{
    // The primary's VM is lost; until the promotion every connection to it is refused. The caller allows two seconds, and the new
    // primary is there before they are over: the booking is made there, once, and the caller sees only a delay.
    auto system = TrafficSystem();
    system.group->unreachable.insert(UpstreamId("u1"));
    system.proxies[0].recorder->onRetry = [&system] {
        if (system.view.groups.front().primary == UpstreamId("u1")) {
            system.promote(UpstreamId("u3"), 0);
        }
    };
    CHECK(servedBy(system.write(0, "book 7")) == "u3");
    CHECK(system.group->count("book 7") == 1);
}

TEST_CASE("a repeatable read whose answer is lost is sent again, one that is not repeatable is not")
{
    auto system = TrafficSystem();
    auto losses = 1;
    system.group->loseAnswer = [&losses](const platform::ExecuteRequest &) {
        return losses-- > 0;
    };
    CHECK(servedBy(system.read(0)) == "u2");
    CHECK(system.proxies[0].recorder->retries[metrics::RetryReason::ReadAnswerLost] == 1);
    losses = 1;
    auto request = StatementRequest();
    request.service = ServiceId("orders");
    request.statement.sql = "select next_number()";
    const auto reply = system.await(system.proxies[0].path->execute(std::move(request)));
    CHECK(reasonOf(reply) == RefusalReason::AnswerLost);
    CHECK(executedOf(reply) == Executed::Unknown);
}

TEST_CASE("a request that reached an upstream is never called not run")
{
    // A read reaches an upstream and its answer is lost; the second attempt is refused because the queue is full. That attempt was
    // not run, the request was. A caller that trusts "not run" may build on something that in truth happened.
    auto system = TrafficSystem();
    system.group->loseAnswer = [](const platform::ExecuteRequest &) {
        return true;
    };
    system.proxies[0].dispatcher->refuseFrom = 1;
    const auto reply = system.read(0);
    CHECK(reasonOf(reply) == RefusalReason::QueueFull);
    CHECK(executedOf(reply) == Executed::Unknown);
}

TEST_CASE("a refusal of the dispatcher reaches the caller with the time to come back")
{
    auto system = TrafficSystem();
    system.proxies[0].dispatcher->refuseFrom = 0;
    const auto reply = system.write(0, "book 7");
    REQUIRE(reasonOf(reply) == RefusalReason::QueueFull);
    CHECK(std::get<NotRun>(reply.outcome).retryAfter == std::chrono::milliseconds(250));
    CHECK(system.group->connectionsOpened == 0);
}

TEST_CASE("a proxy that has no view yet does not call a service unknown")
{
    // A VM was restarted and control has not answered it yet. A caller that the balancer sends there would take 404 for the truth and
    // drop its booking; told to come back, it finds the service a moment later.
    auto system = TrafficSystem();
    auto &views = *system.proxies[0].views;
    std::destroy_at(&views);
    std::construct_at(&views);
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::StaleView);
    CHECK(executedOf(reply) == Executed::No);
    CHECK(std::get<NotRun>(reply.outcome).retryAfter.has_value());
}

TEST_CASE("connections are opened before they are asked for, but not to an upstream that leaves")
{
    auto system = TrafficSystem();
    CHECK(system.group->warmed.size() == 3);
    system.group->warmed.clear();
    system.view.groups.front().members.back().leaving = true;
    system.publish();
    CHECK(system.group->warmed == std::set<UpstreamId>{UpstreamId("u1"), UpstreamId("u2")});
}

TEST_CASE("a draining proxy refuses new work as not run")
{
    auto system = TrafficSystem();
    system.proxies[0].path->refuseNewWork();
    CHECK(reasonOf(system.write(0, "book 7")) == RefusalReason::Draining);
    CHECK(system.group->log.empty());
}

TEST_CASE("a write that was admitted before forwarding ends is refused after it as not run")
{
    // Failure: a write waits for a connection in a stop and is sent when the proxy can no longer wait for its answer.
    auto system = TrafficSystem();
    system.proxies[0].path->endForwardingAt(support::now());
    const auto reply = system.write(0, "book 7");
    CHECK(reasonOf(reply) == RefusalReason::Draining);
    CHECK(executedOf(reply) == Executed::No);
    CHECK(system.group->log.empty());
}

} // namespace sapphirespool::proxy
