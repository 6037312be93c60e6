#include "scenarios.h"

#include <functional>
#include <string>
#include <utility>

namespace sapphirespool::loadmodel
{

namespace
{

constexpr auto service = milliseconds(5);
constexpr auto callerCount = 50;
/// Load beside which a single caller or key stands out.
constexpr auto commonLoad = 0.7;

auto addCallers(Scenario &scenario, double load, const std::string &serviceName, double part) -> void
{
    const auto perCaller = capacity(scenario, service) * load * part / callerCount;
    for (auto index = 0; index < callerCount; ++index) {
        scenario.callers.push_back({.name = serviceName + "c" + std::to_string(index), .perSecond = perCaller, .service = service, .serviceName = serviceName});
    }
}

auto oneGroup(std::string name, double load) -> Scenario
{
    auto scenario = Scenario{.name = std::move(name)};
    addCallers(scenario, load, "s0", 1);
    return scenario;
}

auto loadName(double load) -> std::string
{
    auto text = std::to_string(load);
    text.erase(text.find('.') + 2);
    return text;
}

} // namespace

auto overload(double load) -> Scenario
{
    return oneGroup("overload " + loadName(load), load);
}

auto burst() -> Scenario
{
    auto scenario = oneGroup("burst", 0.6);
    for (auto index = 0; index < callerCount; ++index) {
        auto caller = scenario.callers[index];
        caller.name += "b";
        caller.perSecond *= 10;
        caller.from = 0.5;
        caller.until = 0.525;
        scenario.callers.push_back(caller);
    }
    return scenario;
}

auto noHotCaller() -> Scenario
{
    return oneGroup("no hot caller", commonLoad);
}

auto hotCaller() -> Scenario
{
    // Eleven callers, so that ten times one of them is a load that matters: 0.7 of the capacity without it, 1.27 with it.
    auto scenario = Scenario{.name = "hot caller"};
    const auto perCaller = capacity(scenario, service) * commonLoad / callerCount;
    addCallers(scenario, commonLoad, "s0", 1);
    scenario.callers.push_back({.name = "hot", .perSecond = perCaller * 10, .service = service});
    return scenario;
}

auto veryHotCaller() -> Scenario
{
    auto scenario = hotCaller();
    scenario.name = "caller at 100 times";
    scenario.callers.back().perSecond *= 10;
    return scenario;
}

auto hotKey() -> Scenario
{
    auto scenario = oneGroup("hot key", commonLoad);
    for (auto index = 0; index < 10; ++index) {
        scenario.callers[index].key = "row";
        scenario.callers[index].writes = 0.6;
        scenario.callers[index].tolerant = 0.3;
    }
    return scenario;
}

auto slowUpstream() -> Scenario
{
    auto scenario = oneGroup("slow upstream", 0.6);
    scenario.faults.push_back({.kind = Fault::Kind::Slow, .upstream = 1, .factor = 10});
    return scenario;
}

auto noLong() -> Scenario
{
    return oneGroup("no long jobs", 0.5);
}

auto longAmongShort() -> Scenario
{
    auto scenario = oneGroup("long among short", 0.5);
    scenario.name = "long among short";
    // A quarter of the capacity goes to statements a hundred times as long.
    const auto longService = service * 100;
    const auto perCaller = capacity(scenario, longService) * 0.25 / 5;
    for (auto index = 0; index < 5; ++index) {
        scenario.callers.push_back({.name = "long" + std::to_string(index), .perSecond = perCaller, .service = longService});
    }
    return scenario;
}

auto lostReplica() -> Scenario
{
    auto scenario = oneGroup("lost replica at 0.9", 0.9);
    scenario.faults.push_back({.kind = Fault::Kind::Lost, .upstream = 1});
    return scenario;
}

auto promotionGap() -> Scenario
{
    auto scenario = oneGroup("promotion gap at 0.9", 0.9);
    scenario.faults.push_back({.kind = Fault::Kind::PromotionGap, .upstream = 0, .until = 0.4});
    return scenario;
}

auto derwent(double load) -> Scenario
{
    auto scenario = Scenario{.name = "Derwent " + loadName(load), .groups = 3};
    for (const auto *const name : {"s0", "s1", "s2"}) {
        addCallers(scenario, load, name, 1.0 / 3);
    }
    return scenario;
}

auto cooperative(double load) -> Scenario
{
    auto scenario = Scenario{.name = "co-operative " + loadName(load), .slots = 2, .connections = 40, .groups = 3};
    scenario.zoneLatency = std::chrono::microseconds(1000);
    scenario.clientLatency = std::chrono::microseconds(1000);
    for (const auto *const name : {"s0", "s1", "s2"}) {
        addCallers(scenario, load, name, 1.0 / 3);
    }
    return scenario;
}

auto retryStorm() -> Scenario
{
    auto scenario = oneGroup("retry storm", 0.7);
    scenario.returns = -3;
    for (auto index = 0; index < callerCount; ++index) {
        auto caller = scenario.callers[index];
        caller.name += "b";
        caller.perSecond *= 3;
        caller.from = 0.25;
        caller.until = 0.5;
        scenario.callers.push_back(caller);
    }
    return scenario;
}

auto returningCallers() -> Scenario
{
    auto scenario = oneGroup("returning callers at 1.5", 1.5);
    scenario.returns = 1;
    return scenario;
}

auto allScenarios() -> std::vector<Scenario>
{
    auto scenarios = std::vector<Scenario>();
    for (const auto load : {0.8, 1.0, 1.5, 3.0, 10.0}) {
        scenarios.push_back(overload(load));
    }
    for (auto scenario : {burst(), noHotCaller(), hotCaller(), veryHotCaller(), hotKey(), slowUpstream(), noLong(), longAmongShort()}) {
        scenarios.push_back(std::move(scenario));
    }
    for (auto scenario : {lostReplica(), promotionGap(), derwent(0.8), cooperative(0.8), retryStorm(), returningCallers()}) {
        scenarios.push_back(std::move(scenario));
    }
    return scenarios;
}

auto chosenPolicy() -> Policy
{
    return {.name = "chosen"};
}

auto fifoPolicy() -> Policy
{
    return {.name = "FIFO, static shares", .settings = decisions::fifoSettings(), .sharing = Sharing::StaticShares};
}

auto fifoOwnersPolicy() -> Policy
{
    return {.name = "FIFO, owners", .settings = decisions::fifoSettings()};
}

auto sharingPolicies() -> std::vector<Policy>
{
    auto policies = std::vector<Policy>();
    policies.push_back({.name = "static shares", .sharing = Sharing::StaticShares});
    policies.push_back({.name = "leases", .sharing = Sharing::Leases});
    policies.push_back({.name = "forwarding to one owner", .sharing = Sharing::Forwarding});
    policies.push_back({.name = "forwarding to the upstream's zone", .sharing = Sharing::ZoneOwners});
    return policies;
}

auto disciplinePolicies() -> std::vector<Policy>
{
    auto policies = std::vector<Policy>();
    const auto add = [&policies](std::string name, decisions::QueueDiscipline discipline, bool guard) {
        auto policy = chosenPolicy();
        policy.name = std::move(name);
        policy.settings.queue.discipline = discipline;
        policy.settings.bulkhead.enabled = guard;
        policies.push_back(policy);
    };
    add("FIFO", decisions::QueueDiscipline::Fifo, false);
    add("fair queueing", decisions::QueueDiscipline::FairQueueing, false);
    add("least attained service", decisions::QueueDiscipline::LeastAttained, false);
    add("levels relative to the mean", decisions::QueueDiscipline::RelativeAttained, false);
    add("FIFO, slot limit", decisions::QueueDiscipline::Fifo, true);
    add("fair queueing, slot limit", decisions::QueueDiscipline::FairQueueing, true);
    add("least attained service, slot limit", decisions::QueueDiscipline::LeastAttained, true);
    add("levels relative to the mean, slot limit", decisions::QueueDiscipline::RelativeAttained, true);
    return policies;
}

auto withoutEach() -> std::vector<Policy>
{
    using Change = std::function<void(decisions::DispatcherSettings &)>;
    const auto changes = std::vector<std::pair<std::string, Change>>{
        {"fairness",
         [](auto &settings) {
             settings.queue.discipline = decisions::QueueDiscipline::Fifo;
         }},
        {"admission",
         [](auto &settings) {
             settings.admission.enabled = false;
         }},
        {"routing",
         [](auto &settings) {
             settings.routing.enabled = false;
         }},
        {"ejection",
         [](auto &settings) {
             settings.ejection.enabled = false;
         }},
        {"slow start",
         [](auto &settings) {
             settings.slowStart.enabled = false;
         }},
        {"adaptive concurrency",
         [](auto &settings) {
             settings.concurrency.enabled = false;
         }},
        {"slot limits",
         [](auto &settings) {
             settings.bulkhead.enabled = false;
         }},
        {"lane weights",
         [](auto &settings) {
             settings.classWeights = false;
         }},
        {"brownout",
         [](auto &settings) {
             settings.brownout.enabled = false;
         }},
        {"retry budget",
         [](auto &settings) {
             settings.retryBudget = false;
         }},
    };
    auto policies = std::vector<Policy>();
    for (const auto &[name, change] : changes) {
        auto policy = chosenPolicy();
        policy.name = "without " + name;
        change(policy.settings);
        policies.push_back(policy);
    }
    return policies;
}

auto sensitivityPolicies() -> std::vector<Policy>
{
    auto policies = std::vector<Policy>();
    for (const auto factor : {0.5, 2.0}) {
        const auto add = [&policies, factor](const std::string &name, const std::function<void(decisions::DispatcherSettings &)> &change) {
            auto policy = chosenPolicy();
            policy.name = name + (factor < 1 ? " halved" : " doubled");
            change(policy.settings);
            policies.push_back(policy);
        };
        const auto scale = [factor](milliseconds &value) {
            value = milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
        };
        add("wait fraction (0.4)", [factor](auto &settings) {
            settings.admission.waitFraction *= factor < 1 ? 0.5 : 1.5;
        });
        add("replica patience (100 ms)", [scale, factor](auto &settings) {
            settings.routing.replicaWaitFraction *= factor;
            scale(settings.routing.maximumReplicaWait);
        });
        add("slow factor (4)", [factor](auto &settings) {
            settings.ejection.slowFactor *= factor;
        });
        add("first ejection (1 s)", [scale](auto &settings) {
            scale(settings.ejection.firstEjection);
        });
        add("slow start (500 ms)", [scale](auto &settings) {
            scale(settings.slowStart.duration);
        });
        add("long fraction (0.5)", [factor](auto &settings) {
            settings.bulkhead.longFraction *= factor;
        });
        add("long factor (4)", [factor](auto &settings) {
            settings.bulkhead.longFactor *= factor;
        });
        add("hot factor (3)", [factor](auto &settings) {
            settings.bulkhead.hotFactor *= factor;
        });
        add("brownout delays (100, 50 ms)", [scale](auto &settings) {
            scale(settings.brownout.enterDelay);
            scale(settings.brownout.leaveDelay);
        });
    }
    return policies;
}

} // namespace sapphirespool::loadmodel
