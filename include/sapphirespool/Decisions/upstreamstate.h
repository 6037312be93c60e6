// upstreamstate.h: what one proxy knows of an upstream and how much work it may send there.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Decisions/serviceestimate.h"
#include "sapphirespool/Decisions/settings.h"

#include <cstdint>
#include <optional>

namespace sapphirespool::decisions
{

/// Takes an upstream out of the reads when it is slow or fails, for a time that doubles.
///
/// Load pattern: one of three replicas becomes ten times slower (a full disk, a noisy neighbour).
/// Without it each read that is sent there waits ten times as long, and a third of the reads are.
class Ejection
{
public:
    explicit Ejection(EjectionSettings settings);

    /// Records how work ended. \param peerMean mean service time of the other members; zero if unknown
    /// \return whether the upstream should be ejected now; the caller checks the floor and calls eject()
    auto record(WorkOutcome outcome, const ServiceEstimate &own, Duration peerMean) -> bool;

    auto eject(TimePoint now) -> void;

    [[nodiscard]] auto ejected(TimePoint now) const -> bool;

    /// \return when the upstream returns, if it is out
    [[nodiscard]] auto returnsAt(TimePoint now) const -> std::optional<TimePoint>;

private:
    EjectionSettings settings;
    std::uint32_t failuresInRow = 0;
    std::uint32_t ejections = 0;
    std::uint32_t goodSince = 0;
    std::optional<TimePoint> until;
};

/// Limit of concurrent work that falls when the upstream refuses or fails and rises with answers.
///
/// Load pattern: the upstream serves less than its announcement says, for example while it rebuilds an index.
/// Without it the full share keeps running there, each statement slower, and timeouts turn its work into waste.
/// Additive increase by one slot for each full round of answers and multiplicative decrease, as in TCP, share a limit fairly
/// between proxies that do not talk to each other.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencySettings settings);

    auto record(WorkOutcome outcome, std::uint32_t share) -> void;

    /// \return slots that may be used of \p share; at least one if the share has one
    [[nodiscard]] auto limit(std::uint32_t share) const -> std::uint32_t;

private:
    ConcurrencySettings settings;
    /// Unset: the whole share.
    std::optional<double> bound;
};

/// Raises the usable slots step by step after a promotion, a restart or an ejection.
///
/// Load pattern: a promotion gap of a second leaves a second's worth of writes waiting; caches of the new primary are cold.
/// Without it all of them start at once, each slow, and time out together.
class SlowStart
{
public:
    explicit SlowStart(SlowStartSettings settings);

    auto begin(TimePoint now) -> void;

    [[nodiscard]] auto limit(std::uint32_t share, TimePoint now) const -> std::uint32_t;

    /// \return when the limit next rises
    [[nodiscard]] auto nextStep(std::uint32_t share, TimePoint now) const -> std::optional<TimePoint>;

private:
    SlowStartSettings settings;
    std::optional<TimePoint> since;
};

/// All of it for one upstream.
struct UpstreamState
{
    UpstreamState(const DispatcherSettings &settings, membership::UpstreamView view);

    membership::UpstreamView view;
    Share share;
    /// Whether share came from the allocator.
    bool granted = false;
    std::uint32_t running = 0;
    std::optional<Observation> observation;
    TimePoint observedAt{};
    ServiceEstimate service;
    Ejection ejection;
    ConcurrencyLimit concurrency;
    SlowStart slowStart;

    /// \return slots that may be used now
    [[nodiscard]] auto usable(TimePoint now) const -> std::uint32_t;

    [[nodiscard]] auto hasFree(TimePoint now) const -> bool;

    /// \return by how much its data may be behind by \p now
    [[nodiscard]] auto age(TimePoint now) const -> std::optional<Duration>;
};

} // namespace sapphirespool::decisions
