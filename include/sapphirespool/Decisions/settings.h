// settings.h: the figures of the decisions under load, each with its grounds, and a switch to take each module out.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>

namespace sapphirespool::decisions
{

/// In what order callers' waiting work is served.
enum class QueueDiscipline {
    /// Order of arrival.
    Fifo,
    /// Start-time fair queueing over callers, charged by measured service time.
    FairQueueing,
    /// Callers in levels of attained service with exponentially spaced thresholds.
    LeastAttained,
    /// The same with thresholds that are multiples of what the mean caller attained; order of arrival within a level.
    RelativeAttained,
};

/// Order of waiting work.
struct QueueSettings
{
    QueueDiscipline discipline = QueueDiscipline::RelativeAttained;
    /// Attained service above which a caller leaves the first level: about ten short statements of 5 ms.
    std::chrono::milliseconds firstThreshold{50};
    /// Each further threshold is this many times the one before; the paper on bottleneck-aware coflows uses ten.
    std::uint32_t thresholdFactor = 10;
    /// Levels; three thresholds of factor ten span 50 ms to 5 s, above any timeout in use.
    std::uint32_t levels = 4;
    /// Attained service halves in this time, so that a caller with a busy past is not slow for ever.
    std::chrono::milliseconds attainedHalfLife{1000};
};

/// What may wait, and what is refused at once.
struct AdmissionSettings
{
    /// Off: only the length bounds the queue, and work is dropped at its deadline.
    bool enabled = true;
    /// Part of the time allowed that may pass in the queue as it is estimated. The rest covers the spread of service times
    /// and errors of the estimate: beside a caller at 100 times the others 0.6 kept 97.4 % of what was accepted, 0.4 keeps 99.1 %.
    double waitFraction = 0.4;
    /// The same for a caller that returns when it was told to; more, so that it finds room in a queue that new work has filled.
    double returnFraction = 0.5;
    /// Part of the wait allowed that new work may fill although returns were promised.
    double unreservedFraction = 0.7;
    /// Promised returns are never further away than this; clients keep no appointment for longer.
    std::chrono::milliseconds longestRetryAfter{30'000};
    /// Time that a promotion is expected to take while a group has no primary.
    std::chrono::milliseconds expectedGap{1000};
    /// A return this much later than promised has lost its place.
    std::chrono::milliseconds returnGrace{500};
};

/// Where reads go.
struct RoutingSettings
{
    /// Off: replicas in turn, the primary when none is fresh enough.
    bool enabled = true;
    /// Part of the time allowed that a read waits for a replica before the primary may take it. Smaller values cost replica share,
    /// larger ones cost deadlines.
    double replicaPatience = 0.25;
    /// Bound of that wait, whatever time is allowed.
    std::chrono::milliseconds longestPatience{100};
    /// Assumed one-way latency to another zone, until service times tell; the deployments have 1 and 1.5 ms.
    std::chrono::microseconds otherZone{1500};
};

/// Ejection of an upstream that is slow or fails.
struct EjectionSettings
{
    bool enabled = true;
    /// Times the median of its peers; twice is within the noise of short samples.
    double slowFactor = 4.0;
    /// Answers before an upstream is judged.
    std::uint32_t minimumSamples = 10;
    /// Failures in a row; at five, chance alone at an error rate of 20 % ejects one in 3,000.
    std::uint32_t consecutiveFailures = 5;
    /// First time out; doubles up to the longest.
    std::chrono::milliseconds firstEjection{1000};
    std::chrono::milliseconds longestEjection{30'000};
};

/// Slow start of an upstream that is new, promoted, restarted or back from ejection.
struct SlowStartSettings
{
    bool enabled = true;
    /// Time from one slot to the whole share.
    std::chrono::milliseconds duration{500};
};

/// Limit of concurrent work for each upstream below its share.
struct ConcurrencySettings
{
    bool enabled = true;
    /// Factor on an upstream's refusal or failure.
    double decrease = 0.7;
};

/// Limits that keep some work from taking all slots.
struct BulkheadSettings
{
    bool enabled = true;
    /// Part of the group's slots that callers with long statements may hold while others wait.
    double longFraction = 0.5;
    /// Times the group's mean service time from which a caller counts as long.
    double longFactor = 4.0;
    /// Times the mean use of active callers from which a caller leaves one slot of each upstream free for the others.
    double hotFactor = 3.0;
    /// Writes on one key that run at a time; more of them would hold slots and wait for the row's lock.
    std::uint32_t writesPerKey = 1;
};

/// Early refusal of a service whose dependency refuses.
struct DependencySettings
{
    bool enabled = true;
    /// Part of a dependency's requests refused from which the services above it are refused early.
    double refusedFraction = 0.5;
    /// Requests in the window before it is judged.
    std::uint32_t minimumRequests = 20;
    std::chrono::milliseconds window{1000};
    /// One in so many requests passes, so that recovery is seen.
    std::uint32_t probeEvery = 10;
};

/// Order in which reads give way on the primary.
struct BrownoutSettings
{
    bool enabled = true;
    /// Wait of writes on the primary from which reads give way.
    std::chrono::milliseconds enterDelay{100};
    /// Wait below which they come back; half, so that the return does not at once cause the next step.
    std::chrono::milliseconds leaveDelay{50};
    /// Time between two steps up.
    std::chrono::milliseconds enterStep{100};
    /// Time between two steps down; ten times longer, so that recovery does not swing.
    std::chrono::milliseconds leaveStep{1000};
};

/// Everything that a dispatcher is told once.
struct DispatcherSettings
{
    VmId vm;
    ZoneId zone;
    QueueSettings queue;
    AdmissionSettings admission;
    RoutingSettings routing;
    EjectionSettings ejection;
    SlowStartSettings slowStart;
    ConcurrencySettings concurrency;
    BulkheadSettings bulkhead;
    DependencySettings dependency;
    BrownoutSettings brownout;
    bool retryBudget = true;
    /// Writes before reads that accept age, by weight.
    bool classWeights = true;
    /// Without a share from the allocator: an equal part of each upstream, at least one slot. False: nothing until the first grant.
    bool staticShares = true;
};

/// \return settings with every module taken out: order of arrival, bounded length, deadlines
[[nodiscard]] auto fifoSettings() -> DispatcherSettings;

} // namespace sapphirespool::decisions
