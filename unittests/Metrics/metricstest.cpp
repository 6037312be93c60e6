#include "sapphirespool/Metrics/metrics.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace sapphirespool::metrics
{

namespace
{

using namespace std::chrono_literals;
using Catch::Contains;

const auto orders = ServiceId("orders");

} // namespace

TEST_CASE("every refusal and retry reason stands there from the start")
{
    // An alert on a reason that never occurred must find a counter of 0; a missing one looks like a broken exporter.
    const auto text = Metrics().prometheusText();
    for (const auto &description : refusalDescriptions()) {
        CHECK_THAT(text, Contains("sapphirespool_refusals_total{service=\"\",reason=\"" + std::string(description.label) + "\"} 0\n"));
    }
    for (auto reason = 0; reason <= static_cast<int>(RetryReason::PeerUnreachable); ++reason) {
        CHECK_THAT(text, Contains("reason=\"" + std::string(name(static_cast<RetryReason>(reason))) + "\"} 0\n"));
    }
    CHECK_THAT(text, Contains("sapphirespool_connections{state=\"peer_open\"} 0\n"));
    CHECK_THAT(text, Contains("sapphirespool_overdue_elections 0\n"));
}

TEST_CASE("latencies fall into cumulative buckets")
{
    auto metrics = Metrics();
    metrics.recordLatency(orders, Access::Read, ServedRole::Replica, 10us);
    metrics.recordLatency(orders, Access::Read, ServedRole::Replica, 5ms);
    metrics.recordLatency(orders, Access::Read, ServedRole::Replica, 120s);
    const auto text = metrics.prometheusText();
    const auto labels = std::string(R"({service="orders",access="read",role="replica")");
    CHECK_THAT(text, Contains("sapphirespool_request_seconds_count" + labels + "} 3\n"));
    CHECK_THAT(text, Contains("sapphirespool_request_seconds_bucket" + labels + ",le=\"+Inf\"} 3\n"));
    CHECK_THAT(text, Contains("sapphirespool_request_seconds_sum" + labels + "} 120.005"));
    CHECK_THAT(text, !Contains("access=\"write\""));
}

TEST_CASE("refusals and retries are counted by service")
{
    auto metrics = Metrics();
    metrics.countRefusal(orders, RefusalReason::QueueFull);
    metrics.countRefusal(orders, RefusalReason::QueueFull);
    metrics.countRetry(orders, RetryReason::NotSent);
    metrics.setConnections(ConnectionState::UpstreamIdle, 7);
    metrics.setOverdueElections(2);
    const auto text = metrics.prometheusText();
    CHECK_THAT(text, Contains(R"(sapphirespool_refusals_total{service="orders",reason="queue_full"} 2)"));
    CHECK_THAT(text, Contains(R"(sapphirespool_retries_total{service="orders",reason="not_sent"} 1)"));
    CHECK_THAT(text, Contains(R"(sapphirespool_connections{state="upstream_idle"} 7)"));
    CHECK_THAT(text, Contains("sapphirespool_overdue_elections 2\n"));
}

TEST_CASE("made up service names do not make the process grow")
{
    // A caller asks for a new service name with each request. Each name would cost a line for each reason for as long as the
    // process lives.
    auto metrics = Metrics();
    for (auto index = 0; index < 2'000; ++index) {
        metrics.countRefusal(ServiceId("made-up-" + std::to_string(index)), RefusalReason::UnknownService);
    }
    const auto text = metrics.prometheusText();
    CHECK_THAT(text, Contains(R"(service="made-up-0")"));
    CHECK_THAT(text, !Contains("made-up-1999"));
    CHECK_THAT(text, Contains(R"({service="other",reason="unknown_service"} 1745)"));
}

TEST_CASE("threads record at a time without losing a count")
{
    auto metrics = Metrics();
    auto threads = std::vector<std::thread>();
    for (auto index = 0; index < 4; ++index) {
        threads.emplace_back([&metrics] {
            for (auto round = 0; round < 1'000; ++round) {
                metrics.countRefusal(orders, RefusalReason::QueueFull);
                metrics.recordLatency(orders, Access::Write, ServedRole::Primary, 1ms);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto text = metrics.prometheusText();
    CHECK_THAT(text, Contains(R"({service="orders",reason="queue_full"} 4000)"));
    CHECK_THAT(text, Contains(R"(sapphirespool_request_seconds_count{service="orders",access="write",role="primary"} 4000)"));
}

} // namespace sapphirespool::metrics
