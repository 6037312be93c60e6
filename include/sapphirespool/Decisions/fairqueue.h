// fairqueue.h: orders waiting work across callers.
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

/// One waiting piece of work.
struct QueueEntry
{
    WorkId id;
    CallerId caller;
};

/// Queue over flows; a flow is a caller, or a level of attained service, or everything (order of arrival).
///
/// Load pattern: one caller sends ten times what the others send, or one caller's statements take a hundred times longer.
/// Without it everybody waits behind that caller's backlog.
/// The order in use is that of levels relative to the mean caller: order of arrival among callers of like use, and callers above
/// three times the mean behind them, by levels whose thresholds and weights grow tenfold. Levels of attained service with exponentially
/// spaced thresholds are taken from "Bottleneck-Aware Coflow Scheduling Without Prior Knowledge" (Liu et al.), which takes them from Aalo; the
/// thresholds there are absolute, which put all callers below the first in overload and was measured worse.
/// Start-time fair queueing, kept for comparison, serves the flow with the lowest virtual time. Lengths are unknown beforehand, so a start is charged the
/// mean and the difference to the true length follows when the work ends; a caller's debt is bounded by what it has running.
class FairQueue
{
public:
    /// Level of a caller, from 0, for the relative levels.
    using LevelOf = std::function<std::uint32_t(const CallerId &, TimePoint)>;

    explicit FairQueue(QueueSettings settings, LevelOf relativeLevel = {});

    auto push(const QueueEntry &entry, TimePoint now) -> void;

    /// Removes and returns the first entry in order that \p eligible accepts.
    /// At most scanLimit flows are looked at, so that work nobody can serve now does not cost time on each call.
    auto pop(const std::function<bool(WorkId)> &eligible, Duration expectedCost, TimePoint now) -> std::optional<QueueEntry>;

    /// \return the entry that would come first; the queue must not be empty
    [[nodiscard]] auto front() const -> const QueueEntry &;

    /// Removes \p entry wherever it stands.
    auto erase(const QueueEntry &entry) -> void;

    /// Corrects the charge of work that was popped at \p expected and took \p actual.
    auto charge(const CallerId &caller, Duration expected, Duration actual, TimePoint now) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

    /// \return how many entries of \p cost would be served before a new one of \p caller
    [[nodiscard]] auto ahead(const CallerId &caller, Duration cost, TimePoint now) const -> std::size_t;

    /// \return entries of \p caller
    [[nodiscard]] auto sizeOf(const CallerId &caller) const -> std::size_t;

    /// \return callers that have entries
    [[nodiscard]] auto activeCallers() const -> std::size_t;

    /// Flows looked at in one pop.
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

    [[nodiscard]] auto aheadByLevel(const CallerId &caller, TimePoint now) const -> std::size_t;
    [[nodiscard]] auto usesLevels() const -> bool;
    [[nodiscard]] auto flowOf(const CallerId &caller, TimePoint now) const -> FlowId;
    [[nodiscard]] auto levelOf(const CallerId &caller, TimePoint now) const -> std::uint32_t;
    [[nodiscard]] auto attained(const Caller &caller, TimePoint now) const -> double;
    auto activate(const FlowId &id, Flow &flow) -> void;
    auto advance(const FlowId &id, Flow &flow, double amount) -> void;
    auto removeAt(const FlowId &id, Flow &flow, std::size_t index) -> QueueEntry;
    auto demote(const FlowId &id, Flow &flow, TimePoint now) -> bool;
    auto forgetIdle(TimePoint now) -> void;
    auto countEntry(const CallerId &caller) -> void;
    auto uncountEntry(const CallerId &caller) -> void;

    QueueSettings settings;
    LevelOf relativeLevel;
    std::unordered_map<FlowId, Flow> flows;
    std::unordered_map<CallerId, Caller> callers;
    /// Flows with entries, by virtual time.
    Order order;
    /// Callers with entries, by their number.
    std::set<std::pair<std::size_t, CallerId>> lengths;
    double virtualNow = 0;
    std::size_t count = 0;
    std::size_t pushesSinceSweep = 0;
};

} // namespace sapphirespool::decisions
