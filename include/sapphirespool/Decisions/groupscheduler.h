// groupscheduler.h: queues, admits and places the work of one database group.
#pragma once

#include "sapphirespool/Decisions/brownout.h"
#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Decisions/fairqueue.h"
#include "sapphirespool/Decisions/retryreservations.h"
#include "sapphirespool/Decisions/settings.h"
#include "sapphirespool/Decisions/slotguard.h"
#include "sapphirespool/Decisions/upstreamstate.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace sapphirespool::decisions
{

/// Receives the decisions of a scheduler.
class DecisionSink
{
public:
    DecisionSink() = default;
    DecisionSink(const DecisionSink &) = delete;
    auto operator=(const DecisionSink &) -> DecisionSink & = delete;
    virtual ~DecisionSink() = default;

    virtual auto start(const Work &work, const UpstreamId &upstream) -> void = 0;
    virtual auto refuse(const Work &work, RefusalReason reason, std::optional<Duration> retryAfter) -> void = 0;
};

/// Class of work by the upstreams that may serve it: only the primary serves the first two.
enum class Lane : std::uint8_t {
    Write,
    /// A read that requires current data.
    CurrentRead,
    /// A read that accepts stale data; a replica that is fresh enough may serve it.
    TolerantRead,
};

constexpr std::size_t laneCount = 3;

/// Schedules the work of one database group within one proxy.
///
/// submit() admits work into the queue of its lane or refuses it; waiting work starts as slots become available.
/// Outcomes of finished work adjust service time estimates, concurrency limits and ejections of the upstreams.
/// Each group has its own scheduler. With one queue for all groups, the backlog of a slow group would delay the work of the others.
class GroupScheduler
{
public:
    /// \param settings must outlive the scheduler
    explicit GroupScheduler(const DispatcherSettings &settings);

    auto groupChanged(const membership::GroupView &view, std::size_t proxies, TimePoint now, DecisionSink &sink) -> void;
    auto submit(Work work, std::uint32_t queueLimit, TimePoint now, DecisionSink &sink) -> void;

    /// \return false if the work is not running here
    auto finished(WorkId id, WorkOutcome outcome, TimePoint now, DecisionSink &sink) -> bool;

    /// \return false if the work is not waiting here
    auto cancel(WorkId id, TimePoint now, DecisionSink &sink) -> bool;

    auto observe(const Observation &observation, TimePoint now, DecisionSink &sink) -> void;

    /// \return false if the upstream is not of this group
    auto shareChanged(const UpstreamId &upstream, Share share, TimePoint now, DecisionSink &sink) -> bool;

    auto tick(TimePoint now, DecisionSink &sink) -> void;
    [[nodiscard]] auto nextTick(TimePoint now) const -> std::optional<TimePoint>;

    /// \return the demand on \p upstream, or nothing if it is not of this group
    [[nodiscard]] auto demand(const UpstreamId &upstream) const -> std::optional<SlotDemand>;

private:
    struct Waiting
    {
        Work work;
        Lane lane = Lane::Write;
        TimePoint since;
        TimePoint latestStart;
        /// When a read that accepts stale data may start on the primary although a replica could serve it.
        TimePoint primaryAllowedAt;
        /// Whether the work waits outside its lane's queue until the running write on the same key ends.
        bool waitsForKey = false;
    };
    struct Running
    {
        Work work;
        Lane lane = Lane::Write;
        UpstreamId upstream;
        TimePoint since;
        Duration expected{};
    };
    struct Estimate
    {
        Duration wait{};
        /// Mean interval between two starts of the lane's work.
        Duration spacing{};
    };
    using Timers = std::set<std::pair<TimePoint, WorkId>>;

    // Placement: groupplacing.cpp
    auto dispatchWaiting(TimePoint now, DecisionSink &sink) -> void;
    auto startNextOn(UpstreamState &upstream, TimePoint now, DecisionSink &sink) -> bool;
    auto popFor(UpstreamState &upstream, TimePoint now) -> std::optional<QueueEntry>;
    auto popFromLane(Lane lane, UpstreamState &upstream, TimePoint now) -> std::optional<QueueEntry>;
    auto laneOrder() const -> std::vector<Lane>;
    auto startOn(UpstreamState &upstream, WorkId id, TimePoint now, DecisionSink &sink) -> void;
    [[nodiscard]] auto mayRun(const Waiting &waiting, const UpstreamState &upstream, TimePoint now) const -> bool;
    [[nodiscard]] auto replicaServes(const Work &work, const UpstreamState &upstream, TimePoint now) const -> bool;
    [[nodiscard]] auto primaryServesTolerant(const Waiting &waiting, const UpstreamState &primary, TimePoint now) const -> bool;
    [[nodiscard]] auto anyReplicaServes(const Work &work, TimePoint now) const -> bool;
    [[nodiscard]] auto isPrimary(const UpstreamState &upstream) const -> bool;
    [[nodiscard]] auto expectedLatency(const UpstreamState &upstream) const -> double;
    auto updateBrownout(TimePoint now) -> void;

    // Admission: groupadmission.cpp
    [[nodiscard]] auto estimate(const Work &work, Lane lane, TimePoint now) const -> Estimate;
    [[nodiscard]] auto entriesAheadOnPrimary(const CallerId &caller, Lane lane, TimePoint now) const -> std::size_t;
    [[nodiscard]] auto admit(const Work &work, Lane lane, const Estimate &estimate, TimePoint now) -> bool;
    [[nodiscard]] auto tolerantFractionOnPrimary() const -> double;
    [[nodiscard]] auto exceedsCallerShare(const Work &work, Lane lane, const Estimate &estimate, Duration budget) const -> bool;
    [[nodiscard]] auto shedByBrownout(const Work &work, TimePoint now) -> bool;
    [[nodiscard]] auto usableReplicaSlots(const Work &work, TimePoint now) const -> std::uint32_t;
    [[nodiscard]] auto queueLimitRefusal(const Work &work, Lane lane, std::uint32_t queueLimit) const -> std::optional<RefusalReason>;
    auto retryAfter(const Work &work, Lane lane, TimePoint now) -> std::optional<Duration>;
    auto refuse(const Work &work, Lane lane, RefusalReason reason, TimePoint now, DecisionSink &sink) -> void;
    auto refuseWaiting(WorkId id, RefusalReason reason, TimePoint now, DecisionSink &sink) -> void;
    auto expire(TimePoint now, DecisionSink &sink) -> void;
    [[nodiscard]] auto expiryReason(const Waiting &waiting) const -> RefusalReason;

    // Bookkeeping: groupscheduler.cpp
    auto enqueue(Work work, Lane lane, TimePoint now) -> void;
    auto removeWaiting(WorkId id) -> Waiting;
    auto releaseKey(const std::string &key, TimePoint now) -> void;
    auto findUpstream(const UpstreamId &upstream) -> UpstreamState *;
    [[nodiscard]] auto runningOn(const UpstreamId &upstream) const -> std::uint32_t;
    auto setDefaultShare(UpstreamState &upstream) const -> void;
    auto updateUpstreamHealth(UpstreamState &upstream, WorkOutcome outcome, Duration took, TimePoint now) -> void;
    [[nodiscard]] auto medianPeerTime(const UpstreamState &upstream) const -> Duration;
    auto endEjections(TimePoint now) -> void;
    [[nodiscard]] auto queue(Lane lane) -> FairQueue &;
    [[nodiscard]] auto queue(Lane lane) const -> const FairQueue &;

    const DispatcherSettings &settings;
    membership::GroupView group;
    std::size_t proxies = 1;
    std::vector<std::unique_ptr<UpstreamState>> members;
    /// Declared before the queues, which refer to it for caller levels.
    SlotGuard guard;
    std::array<FairQueue, laneCount> queues;
    std::array<double, laneCount> laneVirtualTimes{};
    std::array<ServiceEstimate, laneCount> slotTimes;
    std::unordered_map<WorkId, Waiting> waiting;
    std::unordered_map<WorkId, Running> running;
    std::unordered_map<ServiceId, std::uint32_t> waitingByService;
    /// Writes that wait for the queued or running write on their key; an empty list marks a key that is taken.
    std::unordered_map<std::string, std::deque<WorkId>> waitersByKey;
    Timers expiries;
    Timers primaryAllowedTimers;
    std::set<UpstreamId> ejected;
    Brownout brownout;
    std::array<RetryReservations, laneCount> retryReservations;
    std::optional<TimePoint> primaryLostAt;
    /// Fraction of the primary's recent starts that only it could serve: writes and current reads.
    double primaryOnlyFraction = 0;
    std::size_t roundRobinOffset = 0;
    std::uint64_t brownoutReads = 0;
};

/// \return the lane of \p work
[[nodiscard]] auto laneOf(const Work &work) -> Lane;

} // namespace sapphirespool::decisions
