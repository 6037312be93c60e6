// metricsbenchmark.cpp: what one record costs the traffic path.
#include "sapphirespool/Metrics/metrics.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace sapphirespool::metrics
{

namespace
{

/// Services of a proxy; the last one is looked for longest.
auto manyServices(std::int64_t count) -> std::vector<ServiceId>
{
    auto services = std::vector<ServiceId>();
    for (auto index = std::int64_t{0}; index < count; ++index) {
        services.emplace_back("service-" + std::to_string(index));
    }
    return services;
}

auto recordLatency(benchmark::State &state) -> void
{
    auto metrics = Metrics();
    const auto services = manyServices(state.range(0));
    for (const auto &service : services) {
        metrics.recordLatency(service, Access::Read, ServedRole::Replica, std::chrono::milliseconds(1));
    }
    for (auto _ : state) {
        metrics.recordLatency(services.back(), Access::Read, ServedRole::Replica, std::chrono::milliseconds(3));
    }
}

auto countRefusal(benchmark::State &state) -> void
{
    auto metrics = Metrics();
    const auto service = ServiceId("orders");
    for (auto _ : state) {
        metrics.countRefusal(service, RefusalReason::QueueFull);
    }
}

auto prometheusText(benchmark::State &state) -> void
{
    auto metrics = Metrics();
    for (const auto &service : manyServices(state.range(0))) {
        metrics.recordLatency(service, Access::Read, ServedRole::Replica, std::chrono::milliseconds(1));
        metrics.countRefusal(service, RefusalReason::QueueFull);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(metrics.prometheusText());
    }
}

BENCHMARK(recordLatency)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(countRefusal);
BENCHMARK(prometheusText)->Arg(3)->Arg(100);

} // namespace

} // namespace sapphirespool::metrics

BENCHMARK_MAIN();
