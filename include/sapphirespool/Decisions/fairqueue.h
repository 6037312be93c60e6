// fairqueue.h: orders waiting work fairly across callers.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Decisions/settings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace sapphirespool::decisions
{

/// A waiting piece of work.
struct QueueEntry
{
    WorkId id;
    CallerId caller;
};

/// Queue of waiting work, divided into flows. Depending on the discipline, a flow is a caller, a level of attained service, or all work
/// (FIFO).
///
/// Load pattern: one caller sends ten times what the others send, or one caller's statements take a hundred times longer.
/// Without it all callers wait behind that caller's backlog.
/// The default discipline uses levels relative to the mean caller: callers with similar usage are served in order of arrival.
/// Callers above three times the mean come after them, in levels whose thresholds and weights are spaced by a factor of ten.
/// Levels of attained service with exponentially spaced thresholds come from "Bottleneck-Aware Coflow Scheduling Without Prior
/// Knowledge" (Liu et al.), which takes them from Aalo. The thresholds there are absolute; under overload they put all callers
/// into the levels below the first, which gave worse results.
/// Start-time fair queueing, available for comparison, serves the flow with the lowest virtual time. Service times are unknown
/// in advance, so a start is charged the mean, and the difference to the actual time is charged when the work ends. The service
/// that a caller has received but not yet been charged is therefore bounded by its running work.
class FairQueue
{
public:
    /// Returns the level of a caller, from 0, for relative levels.
    using LevelOf = std::function<std::uint32_t(const CallerId &, TimePoint)>;

    explicit FairQueue(QueueSettings settings, LevelOf relativeLevel = {});

    auto push(const QueueEntry &entry, TimePoint now) -> void;

    /// Removes and returns the first entry in order that \p eligible accepts.
    /// Examines at most scanLimit entries, which bounds the cost of a call while the queue holds work that no upstream can serve now.
    auto pop(const std::function<bool(WorkId)> &eligible, Duration expectedCost, TimePoint now) -> std::optional<QueueEntry>;

    /// \return the first entry in order; the queue must not be empty
    [[nodiscard]] auto front() const -> const QueueEntry &;

    /// Removes \p entry from any position.
    auto erase(const QueueEntry &entry) -> void;

    /// Corrects the charge of finished work that was charged \p expected by pop() and took \p actual.
    auto charge(const CallerId &caller, Duration expected, Duration actual, TimePoint now) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

    /// \return the estimated number of entries, each of cost \p cost, that are served before a new entry of \p caller
    [[nodiscard]] auto entriesAhead(const CallerId &caller, Duration cost, TimePoint now) const -> std::size_t;

    /// \return the number of entries of \p caller
    [[nodiscard]] auto sizeOf(const CallerId &caller) const -> std::size_t;

    /// \return the number of callers that have entries
    [[nodiscard]] auto activeCallers() const -> std::size_t;

    /// Maximum number of entries examined by one pop().
    static constexpr std::size_t scanLimit = 32;

private:
    struct Flow
    {
        std::deque<QueueEntry> entries;
        double virtualTime = 0;
        double weight = 1;
    };
    struct Caller
    {
        std::size_t entries = 0;
        double attained = 0;
        TimePoint attainedAt{};
    };
    using FlowId = CallerId;
    using Order = std::set<std::pair<double, FlowId>>;

    [[nodiscard]] auto entriesAheadByLevel(const CallerId &caller, TimePoint now) const -> std::size_t;
    [[nodiscard]] auto usesLevels() const -> bool;
    [[nodiscard]] auto flowOf(const CallerId &caller, TimePoint now) const -> FlowId;
    [[nodiscard]] auto levelOf(const CallerId &caller, TimePoint now) const -> std::uint32_t;
    [[nodiscard]] auto attained(const Caller &caller, TimePoint now) const -> double;
    auto activate(const FlowId &id, Flow &flow) -> void;
    auto advance(const FlowId &id, Flow &flow, double amount) -> void;
    auto removeAt(const FlowId &id, Flow &flow, std::size_t index) -> QueueEntry;
    auto requeueAtCurrentLevel(const FlowId &id, Flow &flow, TimePoint now) -> bool;
    auto removeIdle(TimePoint now) -> void;
    auto countEntry(const CallerId &caller) -> void;
    auto uncountEntry(const CallerId &caller) -> void;

    QueueSettings settings;
    LevelOf relativeLevel;
    std::unordered_map<FlowId, Flow> flows;
    std::unordered_map<CallerId, Caller> callers;
    /// Flows with entries, by virtual time.
    Order order;
    /// Callers with entries, by number of entries.
    std::set<std::pair<std::size_t, CallerId>> callersByEntries;
    double virtualNow = 0;
    std::size_t count = 0;
    std::size_t pushesSinceSweep = 0;
};

} // namespace sapphirespool::decisions
