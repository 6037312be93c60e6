#include "sapphirespool/Decisions/factory.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>

namespace sapphirespool::decisions
{

namespace
{

/// Callers among which the waiting work is spread.
constexpr auto callerCount = 100;

auto view() -> std::shared_ptr<const membership::ClusterView>
{
    auto cluster = membership::ClusterView();
    cluster.services.append({.id = ServiceId("s"), .group = GroupId("g"), .queueLimit = 20'000});
    auto group = membership::GroupView{.id = GroupId("g"), .term = Term(1), .primary = UpstreamId("p")};
    for (const auto *const name : {"p", "r1", "r2"}) {
        group.members.push_back({.id = UpstreamId(name), .slots = 5, .connectionLimit = 35});
    }
    cluster.groups.push_back(group);
    cluster.proxies.push_back({.id = VmId("v")});
    return std::make_shared<const membership::ClusterView>(cluster);
}

auto makeWork(std::uint64_t id, TimePoint now) -> Work
{
    return {.id = WorkId(id),
            .service = ServiceId("s"),
            .caller = CallerId("caller" + std::to_string(id % callerCount)),
            .access = Access::Write,
            .deadline = now + std::chrono::hours(1)};
}

/// One round: the work that runs longest ends, the next starts, and a new one joins the queue.
auto decide(benchmark::State &state, DispatcherSettings settings) -> void
{
    settings.admission.reservedWaitFraction = 1;
    const auto dispatcher = makeDispatcher(settings);
    auto now = TimePoint(std::chrono::hours(1));
    dispatcher->viewChanged(view(), now);
    auto lastId = std::uint64_t{0};
    auto running = std::vector<WorkId>();
    const auto take = [&running](const Dispatcher::Actions &actions) {
        for (const auto &action : actions) {
            if (const auto *const start = std::get_if<Start>(&action)) {
                running.push_back(start->id);
            }
        }
    };
    const auto waiting = static_cast<std::uint64_t>(state.range(0));
    while (lastId < waiting + 5) {
        ++lastId;
        take(dispatcher->submit(makeWork(lastId, now), now));
    }
    for (auto _ : state) {
        now += std::chrono::milliseconds(1);
        const auto ended = running.front();
        running.erase(running.begin());
        take(dispatcher->finished(ended, WorkOutcome::Answered, now));
        ++lastId;
        take(dispatcher->submit(makeWork(lastId, now), now));
        benchmark::DoNotOptimize(dispatcher->nextTick());
    }
}

auto chosen(benchmark::State &state) -> void
{
    decide(state, DispatcherSettings());
}

auto fifo(benchmark::State &state) -> void
{
    decide(state, fifoSettings());
}

/// A request that is refused at once.
auto refused(benchmark::State &state) -> void
{
    const auto dispatcher = makeDispatcher(DispatcherSettings());
    const auto now = TimePoint(std::chrono::hours(1));
    dispatcher->viewChanged(view(), now);
    const auto waiting = static_cast<std::uint64_t>(state.range(0));
    auto lastId = std::uint64_t{0};
    while (lastId < waiting + 5) {
        ++lastId;
        dispatcher->submit(makeWork(lastId, now), now);
    }
    for (auto _ : state) {
        ++lastId;
        auto work = makeWork(lastId, now);
        work.deadline = now + std::chrono::milliseconds(1);
        benchmark::DoNotOptimize(dispatcher->submit(work, now));
    }
}

BENCHMARK(chosen)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);
BENCHMARK(fifo)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);
BENCHMARK(refused)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

} // namespace

} // namespace sapphirespool::decisions

BENCHMARK_MAIN();
