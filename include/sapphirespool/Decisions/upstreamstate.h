// upstreamstate.h: state of an upstream within one proxy, and limits on the work sent there.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Decisions/serviceestimate.h"
#include "sapphirespool/Decisions/settings.h"

#include <cstdint>
#include <optional>

namespace sapphirespool::decisions
{

/// Outlier detection: ejects a slow or failing upstream from the replicas that serve reads, with exponential backoff.
///
/// Load pattern: one of three replicas becomes ten times slower (a full disk, a noisy neighbour).
/// Without it a third of the reads go there and take ten times as long.
class Ejection
{
public:
    explicit Ejection(EjectionSettings settings);

    /// Records the outcome of work. \param medianPeerTime median of the other members' mean service times; zero if unknown
    /// \return whether the upstream should be ejected now; the scheduler checks the minimum number of remaining members and calls
    /// eject()
    auto record(WorkOutcome outcome, const ServiceEstimate &own, Duration medianPeerTime) -> bool;

    auto eject(TimePoint now) -> void;

    [[nodiscard]] auto ejected(TimePoint now) const -> bool;

    /// \return when the ejection ends, if the upstream is ejected
    [[nodiscard]] auto ejectionEnd(TimePoint now) const -> std::optional<TimePoint>;

private:
    EjectionSettings settings;
    std::uint32_t failuresInRow = 0;
    std::uint32_t ejections = 0;
    std::uint32_t successesInRow = 0;
    std::optional<TimePoint> until;
};

/// Adaptive concurrency limit: decreases when the upstream refuses or fails and increases with answers.
///
/// Load pattern: the upstream has less capacity than its health report states, for example while it rebuilds an index.
/// Without it the full share keeps running there, each statement is slower, and statements that time out waste capacity.
/// Additive increase by one slot for each full round of answers and multiplicative decrease (AIMD), as in TCP, divide the
/// capacity fairly between proxies that do not communicate.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencySettings settings);

    auto record(WorkOutcome outcome, std::uint32_t share) -> void;

    /// \return slots of \p share that may be used; at least one if the share has one
    [[nodiscard]] auto limit(std::uint32_t share) const -> std::uint32_t;

private:
    ConcurrencySettings settings;
    /// Current limit; while unset, the whole share may be used.
    std::optional<double> currentLimit;
};

/// Raises the usable slots linearly after a promotion, a restart or an ejection.
///
/// Load pattern: writes queue up during the promotion, for example for one second, and the new primary starts with cold caches.
/// Without it all of them start at once, run slowly and time out together.
class SlowStart
{
public:
    explicit SlowStart(SlowStartSettings settings);

    auto begin(TimePoint now) -> void;

    [[nodiscard]] auto limit(std::uint32_t share, TimePoint now) const -> std::uint32_t;

    /// \return when the limit rises next
    [[nodiscard]] auto nextStep(std::uint32_t share, TimePoint now) const -> std::optional<TimePoint>;

private:
    SlowStartSettings settings;
    std::optional<TimePoint> since;
};

/// State of one upstream: its share, running work, replication state and limits.
struct UpstreamState
{
    UpstreamState(const DispatcherSettings &settings, membership::UpstreamView view);

    membership::UpstreamView view;
    Share share;
    /// Whether the share allocator assigned the share; otherwise it is the static default.
    bool allocatorAssigned = false;
    std::uint32_t running = 0;
    std::optional<Observation> observation;
    TimePoint observedAt{};
    ServiceEstimate service;
    Ejection ejection;
    ConcurrencyLimit concurrency;
    SlowStart slowStart;

    /// \return slots that may be used now
    [[nodiscard]] auto usableSlots(TimePoint now) const -> std::uint32_t;

    [[nodiscard]] auto hasFreeSlot(TimePoint now) const -> bool;

    /// \return the upper bound of its replication lag at \p now, or nothing before the first observation
    [[nodiscard]] auto age(TimePoint now) const -> std::optional<Duration>;
};

} // namespace sapphirespool::decisions
