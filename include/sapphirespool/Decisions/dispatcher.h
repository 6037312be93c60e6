// dispatcher.h: decides who is served, who waits, who is refused and where work goes.
//
// A state machine without sockets, clocks or threads: events and the time go in, actions come out.
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

/// Number of one piece of work in this proxy.
using WorkId = support::StrongType<struct WorkIdTag, std::uint64_t>;

/// Whose work it is, for fairness; the callers' package derives it from the request.
using CallerId = support::StrongType<struct CallerIdTag, std::string>;

/// A position that the session has seen; a read must not go to data before it.
struct NeededPosition
{
    Term term;
    LogPosition position;
};

/// A statement or a whole transaction that wants an upstream.
struct Work
{
    WorkId id;
    ServiceId service;
    CallerId caller;
    /// Key on which work may crowd, for example a hot row; empty if unknown.
    std::string key;
    Access access = Access::Read;
    TimePoint deadline;
    /// Age that a read accepts; zero: only what is current.
    std::chrono::milliseconds maxAge{0};
    std::optional<NeededPosition> needed;
    /// A transaction keeps its slot from begin to end.
    bool transaction = false;
    /// Attempts that went before this one; a retry comes out of the service's budget.
    std::uint32_t attempt = 0;
};

/// Send the work to this upstream now; the slot is taken until finished() is called.
struct Start
{
    WorkId id;
    UpstreamId upstream;
};

/// End the work; it was not run.
struct Refuse
{
    WorkId id;
    RefusalReason reason;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using Action = std::variant<Start, Refuse>;

/// How work that was started ended at its upstream.
enum class WorkOutcome {
    Answered,
    /// The statement was wrong; says nothing about the upstream.
    Rejected,
    /// No answer in time, or the connection was lost.
    Failed,
    /// The upstream said that it is full or in another term; nothing ran.
    NotRun,
};

/// What is known of an upstream from answers and position reports.
struct Observation
{
    GroupId group;
    UpstreamId upstream;
    Term term;
    LogPosition applied;
    /// By how much its data may be behind the primary.
    std::chrono::milliseconds age{0};
};

/// This proxy's part of an upstream.
struct Share
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// How many slots of an upstream this proxy uses, and how many it could use at once; what the sharing of upstreams is told.
struct SlotDemand
{
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
};

/// One for a proxy; all calls on the dispatch thread. Each returns what to do now.
class Dispatcher
{
public:
    using Actions = std::vector<Action>;

    Dispatcher() = default;
    Dispatcher(const Dispatcher &) = delete;
    auto operator=(const Dispatcher &) -> Dispatcher & = delete;
    virtual ~Dispatcher() = default;

    virtual auto submit(Work work, TimePoint now) -> Actions = 0;

    /// Gives back the slot of work that was started.
    virtual auto finished(WorkId id, WorkOutcome outcome, TimePoint now) -> Actions = 0;

    /// Forgets work that still waits, because its caller left.
    virtual auto cancel(WorkId id, TimePoint now) -> Actions = 0;

    virtual auto observe(const Observation &observation, TimePoint now) -> Actions = 0;
    virtual auto viewChanged(std::shared_ptr<const membership::ClusterView> view, TimePoint now) -> Actions = 0;
    virtual auto shareChanged(const UpstreamId &upstream, Share share, TimePoint now) -> Actions = 0;

    /// Lets time pass; called at nextTick() or later.
    virtual auto tick(TimePoint now) -> Actions = 0;
    [[nodiscard]] virtual auto nextTick() const -> std::optional<TimePoint> = 0;

    [[nodiscard]] virtual auto demand(const UpstreamId &upstream) const -> SlotDemand = 0;
};

} // namespace sapphirespool::decisions
