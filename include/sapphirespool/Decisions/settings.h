// settings.h: parameters of the dispatcher's modules, and a switch to disable each module.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>

namespace sapphirespool::decisions
{

/// Order in which the waiting work of callers is served.
enum class QueueDiscipline {
    /// Order of arrival.
    Fifo,
    /// Start-time fair queueing across callers; each is charged its measured service time.
    FairQueueing,
    /// Least attained service: callers are in levels of attained service with exponentially spaced thresholds.
    LeastAttained,
    /// As LeastAttained, with thresholds that are multiples of the mean attained service of callers; order of arrival within a level.
    RelativeAttained,
};

/// Parameters of the queue of waiting work.
struct QueueSettings
{
    QueueDiscipline discipline = QueueDiscipline::RelativeAttained;
    /// Attained service above which a caller leaves the first level: about ten short statements of 5 ms each.
    std::chrono::milliseconds firstThreshold{50};
    /// Ratio of each further threshold to the previous one; ten as in the paper on bottleneck-aware coflows.
    std::uint32_t thresholdFactor = 10;
    /// Number of levels; three thresholds with a factor of ten span 50 ms to 5 s, which is above any timeout in use.
    std::uint32_t levels = 4;
    /// Half-life of attained service, so that a caller is not deprioritized forever for past work.
    std::chrono::milliseconds attainedHalfLife{1000};
};

/// Admission: which work may wait and which is refused on arrival.
struct AdmissionSettings
{
    /// If false, only the queue limit bounds the queue, and work is dropped at its deadline.
    bool enabled = true;
    /// Fraction of the time until the deadline that the estimated wait may take. The rest covers the variance of service times and
    /// errors of the estimate: with one caller at 100 times the rate of the others, 99.1 % of accepted work meets its deadline at
    /// 0.4, and 97.4 % at 0.6.
    double waitFraction = 0.4;
    /// The same for a caller that retries at its reserved time; larger, so that a queue filled by new work still has room for it.
    double reservedWaitFraction = 0.5;
    /// Fraction of the allowed wait that new work may fill regardless of retry reservations.
    double unreservedFraction = 0.7;
    /// Maximum delay of a retry reservation; clients do not wait longer to retry.
    std::chrono::milliseconds longestRetryAfter{30'000};
    /// Expected time without a primary until a replica is promoted.
    std::chrono::milliseconds expectedPromotionTime{1000};
    /// A retry reservation expires this long after its time.
    std::chrono::milliseconds reservationGrace{500};
};

/// Routing of reads.
struct RoutingSettings
{
    /// If false, reads go to the replicas round-robin, and to the primary when no replica is fresh enough.
    bool enabled = true;
    /// Fraction of the time until the deadline that a read waits for a replica before the primary may serve it. Smaller values send
    /// fewer reads to replicas, larger ones make reads miss their deadlines.
    double replicaWaitFraction = 0.25;
    /// Upper bound of that wait, regardless of the deadline.
    std::chrono::milliseconds maximumReplicaWait{100};
    /// Assumed one-way latency to another availability zone, added to the expected service time in both directions; it is 1 ms or
    /// 1.5 ms in the deployments.
    std::chrono::microseconds otherZoneLatency{1500};
};

/// Ejection of upstreams that are slow or fail.
struct EjectionSettings
{
    bool enabled = true;
    /// Ratio to the median service time of its peers from which an upstream is ejected; a ratio of two is within the noise of short
    /// samples.
    double slowFactor = 4.0;
    /// Answers required before an upstream can be ejected as slow.
    std::uint32_t minimumSamples = 10;
    /// Consecutive failures until ejection; with five, independent errors at a rate of 20 % reach it once in 3,000 (0.2^5).
    std::uint32_t consecutiveFailures = 5;
    /// Duration of the first ejection; doubles up to the longest with each further one.
    std::chrono::milliseconds firstEjection{1000};
    std::chrono::milliseconds longestEjection{30'000};
};

/// Slow start of an upstream that is new, promoted, restarted or readmitted after an ejection.
struct SlowStartSettings
{
    bool enabled = true;
    /// Time over which the usable slots ramp up from one to the whole share.
    std::chrono::milliseconds duration{500};
};

/// Adaptive limit of concurrent work for each upstream, at most its share.
struct ConcurrencySettings
{
    bool enabled = true;
    /// Factor by which the limit is reduced when the upstream refuses or fails.
    double decrease = 0.7;
};

/// Limits that keep one kind of work from occupying all slots.
struct BulkheadSettings
{
    bool enabled = true;
    /// Fraction of the group's slots that callers with long statements may occupy while others wait.
    double longFraction = 0.5;
    /// Ratio to the group's mean service time above which a caller's statements count as long.
    double longFactor = 4.0;
    /// Ratio to the mean use of active callers above which a caller leaves one slot of each upstream free for the others.
    double hotFactor = 3.0;
    /// Concurrent writes on one key; more of them would occupy slots while they wait for the row lock.
    std::uint32_t writesPerKey = 1;
};

/// Early refusal of a service's requests while a service that it depends on refuses its own.
struct DependencySettings
{
    bool enabled = true;
    /// Fraction of refused requests of a dependency from which the services that depend on it are refused early.
    double refusedFraction = 0.5;
    /// Requests required in the window before the fraction is evaluated.
    std::uint32_t minimumRequests = 20;
    std::chrono::milliseconds window{1000};
    /// One in this many requests is admitted as a probe, which detects the recovery.
    std::uint32_t probeEvery = 10;
};

/// Brownout: load shedding of reads on the primary, in steps.
struct BrownoutSettings
{
    bool enabled = true;
    /// Wait of writes and current reads for the primary from which reads that accept stale data are shed.
    std::chrono::milliseconds enterDelay{100};
    /// Wait at or below which reads are admitted again, one level at a time; half of enterDelay, so that their load does not raise the level
    /// again at once.
    std::chrono::milliseconds leaveDelay{50};
    /// Minimum time between two steps up.
    std::chrono::milliseconds enterStep{100};
    /// Time for which the wait stays at or below leaveDelay before each step down; ten times enterStep, so that the level does not
    /// oscillate during recovery.
    std::chrono::milliseconds leaveStep{1000};
};

/// Settings of a dispatcher, fixed for its lifetime.
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
    /// Divides the primary between writes, current reads and reads that accept stale data by weight; if false, in order of arrival.
    bool classWeights = true;
    /// Until the allocator assigns a share: if true, use an equal part of each upstream, at least one slot; if false, use nothing.
    bool staticShares = true;
};

/// \return settings with every module disabled: service in order of arrival, with queue limits and deadlines only
[[nodiscard]] auto fifoSettings() -> DispatcherSettings;

} // namespace sapphirespool::decisions
