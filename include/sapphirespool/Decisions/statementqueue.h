// statementqueue.h: the order in which statements that wait for one upstream are served.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace sapphirespool::decisions
{

/// A statement that waits.
struct QueuedStatement
{
    /// As its service says; 0 is served first.
    std::uint32_t priority = 0;
    /// When its caller wants the answer.
    TimePoint due{};
    /// Whether it takes one of the upstream's slots; what takes none may be served while all are taken.
    bool takesSlot = true;
};

/// Serves what can still be in time: by priority, then by the time when the answer is wanted (earliest deadline first). What can no longer
/// be in time goes behind all that can.
///
/// Load pattern: an upstream gets more work for seconds than it can do: its replicas lag and it serves their reads too, a burst, or the
/// return of everybody after an outage. In the upstream's own queue, and in order of arrival, each statement waits behind
/// the whole backlog: bookings of 10 ms behind reads of 50, and all of them come late by the same time, so that nobody is served in
/// time although most could be. In this order the short objectives and the urgent services are kept, and the overload is borne by those
/// who are late already, in what capacity is left. Plain earliest-deadline order fails under overload, since it prefers those who will miss
/// their time anyhow; the step behind the others prevents that.
class StatementQueue
{
public:
    using Ticket = std::uint64_t;

    /// Part of the objective that a statement may be expected to wait when it comes; who would wait longer is refused at once and told when to
    /// come back. The rest of the objective is for its work, its ways, and those who come later and go first. Admitted without it, in an
    /// overload of seconds each waits for just its objective, and is then late or refused: nobody has a fast answer, a yes as little as a no.
    static constexpr auto waitPart = 2;

    /// Statements that may wait for one upstream. Some hundred statements of tens of milliseconds on a handful of slots are seconds of
    /// work: who would wait behind them is better served elsewhere.
    static constexpr auto limit = std::size_t{128};

    [[nodiscard]] auto push(const QueuedStatement &statement) -> Ticket;

    auto erase(Ticket ticket) -> void;

    /// Takes out the statement that is served next.
    /// \param serviceTime usual time of a statement at the upstream
    /// \param slotFree whether one that takes a slot may be served
    [[nodiscard]] auto pop(TimePoint now, Duration serviceTime, bool slotFree) -> std::optional<Ticket>;

    /// \return how many of the waiting statements go before \p statement, if it came now
    [[nodiscard]] auto ahead(const QueuedStatement &statement, TimePoint now, Duration serviceTime) const -> std::size_t;

    /// \param servers statements that are under way at a time
    /// \return how long \p statement would wait if it came now and nobody who comes later went first
    [[nodiscard]] auto expectedWait(const QueuedStatement &statement, TimePoint now, Duration serviceTime, std::size_t servers) const -> Duration;

    /// \return whether a statement that is expected to wait for \p wait had better be refused
    [[nodiscard]] auto isFullFor(const QueuedStatement &statement, TimePoint now, Duration wait) const -> bool;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    /// By arrival.
    std::map<Ticket, QueuedStatement> waiting;
    Ticket last = 0;
};

} // namespace sapphirespool::decisions
