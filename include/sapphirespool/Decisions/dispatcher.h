// dispatcher.h: interface for admission, queueing and placement of work.
//
// A state machine without sockets, clocks or threads: its input is events with the current time, its output is actions.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/refusal.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphirespool::decisions
{

/// Identifies a piece of work within this proxy.
using WorkId = support::StrongType<struct WorkIdTag, std::uint64_t>;

/// Identifies the caller, the unit of fairness: the caller that the request names, or the id of its session if it names none.
using CallerId = support::StrongType<struct CallerIdTag, std::string>;

/// Log position that the session has observed; a read needs data at least as recent.
struct NeededPosition
{
    Term term;
    LogPosition position;
};

/// A statement or a whole transaction to be run on an upstream.
struct Work
{
    WorkId id;
    ServiceId service;
    CallerId caller;
    /// Key on which work may contend, for example a hot row; empty if unknown.
    std::string key;
    Access access = Access::Read;
    TimePoint deadline;
    /// Staleness that a read accepts; zero requires current data.
    std::chrono::milliseconds maxAge{0};
    std::optional<NeededPosition> needed;
    /// Whether the work is a transaction, which keeps its slot from begin to end.
    bool transaction = false;
    /// Number of earlier attempts; a retry is charged to the service's retry budget.
    std::uint32_t attempt = 0;
};

/// Send the work to this upstream now; it holds a slot until finished() is called.
struct Start
{
    WorkId id;
    UpstreamId upstream;
};

/// Refuse the work; it has not run.
struct Refuse
{
    WorkId id;
    RefusalReason reason;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using Action = std::variant<Start, Refuse>;

/// Result of started work at its upstream.
enum class WorkOutcome {
    Answered,
    /// The statement was invalid; this does not count against the upstream's health.
    Rejected,
    /// No answer in time, or the connection was lost.
    Failed,
    /// The upstream refused because it is full or in another term; nothing ran.
    NotRun,
};

/// Replication state of an upstream, from its answers and position reports.
struct Observation
{
    GroupId group;
    UpstreamId upstream;
    Term term;
    LogPosition applied;
    /// Upper bound of its replication lag behind the primary.
    std::chrono::milliseconds age{0};
};

/// This proxy's share of an upstream's capacity.
struct Share
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// Slots of an upstream that this proxy uses, and slots that it could use at once; the input of the share allocation.
struct SlotDemand
{
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
};

/// Admits, queues and places all work of a proxy.
///
/// Without it each connection would send its work to an upstream on its own. No queue limit, fair order or slot limit would hold for the
/// proxy as a whole. All calls are made on the dispatch thread; each returns the actions to take now.
class Dispatcher
{
public:
    using Actions = std::vector<Action>;

    Dispatcher() = default;
    Dispatcher(const Dispatcher &) = delete;
    auto operator=(const Dispatcher &) -> Dispatcher & = delete;
    virtual ~Dispatcher() = default;

    virtual auto submit(Work work, TimePoint now) -> Actions = 0;

    /// Releases the slot of started work.
    virtual auto finished(WorkId id, WorkOutcome outcome, TimePoint now) -> Actions = 0;

    /// Removes work that still waits, because its caller disconnected or no longer waits for the answer.
    virtual auto cancel(WorkId id, TimePoint now) -> Actions = 0;

    virtual auto observe(const Observation &observation, TimePoint now) -> Actions = 0;
    virtual auto viewChanged(std::shared_ptr<const membership::ClusterView> view, TimePoint now) -> Actions = 0;
    virtual auto shareChanged(const UpstreamId &upstream, Share share, TimePoint now) -> Actions = 0;

    /// Handles expired timers; called at nextTick() or later.
    virtual auto tick(TimePoint now) -> Actions = 0;
    [[nodiscard]] virtual auto nextTick() const -> std::optional<TimePoint> = 0;

    [[nodiscard]] virtual auto demand(const UpstreamId &upstream) const -> SlotDemand = 0;
};

} // namespace sapphirespool::decisions
