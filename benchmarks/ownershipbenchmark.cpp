// Cost at a proxy of taking in a view with so many proxies, and of placing one statement by it.
#include "sapphirespool/Forwarding/ownership.h"

#include <benchmark/benchmark.h>

#include <cstddef>
#include <string>

namespace sapphirespool::forwarding
{

namespace
{

constexpr auto zones = 5;
/// Groups for each hundred proxies.
constexpr auto groupsPerHundred = 20;

auto viewOf(std::size_t proxies) -> membership::ClusterView
{
    auto view = membership::ClusterView();
    for (std::size_t number = 0; number < proxies; ++number) {
        auto proxy = membership::ProxyView();
        proxy.id = VmId("frontend-of-some-zone-" + std::to_string(number));
        proxy.zone = ZoneId("availability-zone-" + std::to_string(number % zones));
        proxy.callers = {"127.0.0.1", 1};
        view.proxies.push_back(proxy);
    }
    for (std::size_t number = 0; number < proxies * groupsPerHundred / 100; ++number) {
        auto group = membership::GroupView();
        group.id = GroupId("group-" + std::to_string(number));
        group.connectionLimit = 75;
        for (auto member = 0; member < 3; ++member) {
            auto upstream = membership::UpstreamView();
            upstream.id = UpstreamId("upstream-" + std::to_string(number) + "-" + std::to_string(member));
            upstream.zone = ZoneId("availability-zone-" + std::to_string((number + member) % zones));
            group.members.push_back(upstream);
        }
        view.groups.push_back(group);
    }
    return view;
}

auto takeView(benchmark::State &state) -> void
{
    const auto view = viewOf(static_cast<std::size_t>(state.range(0)));
    auto ownership = Ownership(view.proxies.front().id, view.proxies.front().zone);
    for (auto _ : state) {
        ownership.viewChanged(view);
        for (const auto &group : view.groups) {
            for (const auto &member : group.members) {
                benchmark::DoNotOptimize(ownership.share(group, member));
            }
        }
    }
}

auto placeStatement(benchmark::State &state) -> void
{
    const auto view = viewOf(static_cast<std::size_t>(state.range(0)));
    auto ownership = Ownership(view.proxies.front().id, view.proxies.front().zone);
    ownership.viewChanged(view);
    const auto &group = view.groups.back();
    for (auto _ : state) {
        benchmark::DoNotOptimize(ownership.ownersOf(group, group.members.back()));
    }
}

} // namespace

BENCHMARK(takeView)->Arg(30)->Arg(100)->Arg(300)->Unit(benchmark::kMicrosecond);
BENCHMARK(placeStatement)->Arg(30)->Arg(100)->Arg(300)->Unit(benchmark::kMicrosecond);

} // namespace sapphirespool::forwarding

BENCHMARK_MAIN();
