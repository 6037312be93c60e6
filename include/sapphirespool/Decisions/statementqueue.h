// statementqueue.h: priority queue of the statements that wait for one upstream.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace sapphirespool::decisions
{

/// A waiting statement.
struct QueuedStatement
{
    /// Priority of its service; 0 is served first.
    std::uint32_t priority = 0;
    /// When the answer is due by the objective of its service.
    TimePoint due{};
    /// Whether it occupies one of the upstream's slots; one that does not may be served while all are occupied.
    bool takesSlot = true;
};

/// Orders statements by priority, then by due time (earliest deadline first). Statements that can no longer be in time are served after
/// all that can. Statements that take no slot are served before all others.
///
/// Load pattern: for seconds an upstream receives more work than it can serve: its replicas lag and it serves their reads too, a burst
/// arrives, or all callers retry after an outage. Without this queue, in the upstream's own queue or in order of arrival, each statement
/// waits behind the whole backlog. Writes of 10 ms wait behind reads of 50 ms, and all are late by the same time, so that none meets its
/// objective although most could. This order keeps the objectives of short-objective and high-priority services; statements that are already late
/// bear the overload and get the remaining capacity. Plain earliest-deadline order fails under overload, since it prefers statements that
/// miss their objective anyway; serving late statements last prevents that.
class StatementQueue
{
public:
    using Ticket = std::uint64_t;

    /// A statement is refused on arrival, with a retry time, if its expected wait exceeds its objective divided by this. The rest of the
    /// objective covers its service time, its round trip, and statements that arrive later and are served first. Without this limit each
    /// statement in an overload of seconds waits for all of its objective and is then late or refused: no caller receives a fast answer,
    /// be it a result or a refusal.
    static constexpr auto waitDivisor = 2;

    /// Maximum number of waiting statements for one upstream. About a hundred statements of tens of milliseconds each on a handful of
    /// slots are seconds of work: a further statement is better served by another upstream.
    static constexpr auto maximumSize = std::size_t{128};

    [[nodiscard]] auto push(const QueuedStatement &statement) -> Ticket;

    auto erase(Ticket ticket) -> void;

    /// Removes and returns the statement to serve next.
    /// \param serviceTime expected service time of a statement at the upstream
    /// \param slotFree whether a statement that takes a slot may be served
    [[nodiscard]] auto pop(TimePoint now, Duration serviceTime, bool slotFree) -> std::optional<Ticket>;

    /// \return number of waiting statements that are served before \p statement if it arrives now
    [[nodiscard]] auto ahead(const QueuedStatement &statement, TimePoint now, Duration serviceTime) const -> std::size_t;

    /// \param servers number of statements that the upstream serves concurrently
    /// \return expected wait of \p statement if it arrives now and no later arrival is served before it
    [[nodiscard]] auto expectedWait(const QueuedStatement &statement, TimePoint now, Duration serviceTime, std::size_t servers) const -> Duration;

    /// \return whether to refuse \p statement, whose expected wait is \p wait
    [[nodiscard]] auto isFullFor(const QueuedStatement &statement, TimePoint now, Duration wait) const -> bool;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    /// In order of arrival.
    std::map<Ticket, QueuedStatement> waiting;
    Ticket lastTicket = 0;
};

} // namespace sapphirespool::decisions
