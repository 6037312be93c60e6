// scenario.h: what a run of the load model is told.
#pragma once

#include "sapphirespool/Decisions/settings.h"
#include "sapphirespool/Decisions/shareallocator.h"
#include "sapphirespool/Support/refusal.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirespool::loadmodel
{

using std::chrono::milliseconds;

/// How the proxies share the upstreams' slots.
enum class Sharing {
    /// An equal part for each proxy, at least one slot; the upstream queues what is above its slots.
    StaticShares,
    /// Grants of the share allocator.
    Leases,
    /// All work of a group goes to one proxy, which has all slots.
    Forwarding,
    /// Work goes to a proxy in the zone of the upstream that it is for; that proxy has all slots of that upstream.
    ZoneOwners,
};

/// One caller: Poisson arrivals, exponential service times.
struct CallerLoad
{
    std::string name;
    double perSecond = 10;
    /// Parts of writes and of reads that accept age; the rest are reads of current data.
    double writes = 0.2;
    double tolerant = 0.7;
    milliseconds service{5};
    /// Key that all its writes go to; empty: none.
    std::string key;
    std::string serviceName = "s0";
    /// Part of the run in which it sends.
    double from = 0;
    double until = 1;
};

/// Something that happens to the first group.
struct Fault
{
    enum class Kind {
        /// The upstream takes \p factor times as long.
        Slow,
        /// The upstream stops; the view leaves it out after a while.
        Lost,
        /// The primary stops, and a replica is promoted after the duration.
        PromotionGap,
    };
    Kind kind = Kind::Slow;
    std::size_t upstream = 1;
    double factor = 10;
    double at = 0.3;
    /// Part of the run after which it ends; the promotion gap is given by the duration.
    double until = 0.7;
    milliseconds duration{1000};
};

/// A load on a deployment.
struct Scenario
{
    std::string name;
    std::uint32_t slots = 5;
    std::uint32_t connections = 35;
    std::size_t groups = 1;
    std::size_t proxies = 12;
    std::chrono::microseconds zoneLatency{1500};
    std::chrono::microseconds clientLatency{3000};
    std::chrono::microseconds replicaLag{20'000};
    milliseconds allowed{1000};
    /// Age that its tolerant reads accept.
    milliseconds maxAge{5000};
    std::chrono::seconds length{20};
    std::vector<CallerLoad> callers;
    std::vector<Fault> faults;
    /// Times that a refused caller comes back at the time it was told; negative: it sends again at once, up to so many times.
    int returns = 0;
    std::map<std::string, std::vector<std::string>> dependsOn;
    std::uint64_t seed = 1;
};

/// Who decides.
struct Policy
{
    std::string name;
    decisions::DispatcherSettings settings;
    Sharing sharing = Sharing::ZoneOwners;
    decisions::ShareSettings shares;
};

/// What the callers received.
struct Report
{
    double offeredPerSecond = 0;
    /// Answers within the time allowed.
    double goodputPerSecond = 0;
    /// Part of the accepted work (not refused at once) that was answered in time.
    double acceptedInTime = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    /// Of the callers' own p99, in milliseconds.
    double medianCallerP99 = 0;
    double worstCallerP99 = 0;
    /// Callers' own parts of answers in time.
    double medianCallerServed = 0;
    double worstCallerServed = 0;
    double replicaShare = 0;
    /// Of those who came back when told, the part that was served.
    double returnsServed = 0;
    std::uint64_t returnsMade = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, double> callerP99;
    std::map<std::string, double> callerGoodput;
    /// Goodput in each tenth of a second, per second.
    std::vector<double> timeCourse;
    double writeP99 = 0;
    double writeGoodput = 0;
    double dependencyGoodput = 0;
};

/// Runs \p scenario under \p policy in virtual time; the same seed gives the same arrivals.
[[nodiscard]] auto run(const Scenario &scenario, const Policy &policy) -> Report;

/// \return statements that all slots of the scenario can serve in a second, if each takes \p service
[[nodiscard]] auto capacity(const Scenario &scenario, milliseconds service) -> double;

} // namespace sapphirespool::loadmodel
