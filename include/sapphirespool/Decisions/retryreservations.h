// retryreservations.h: retry reservations of refused callers.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace sapphirespool::decisions
{

/// Assigns each refused caller a time for its retry, and recognizes the retry when it arrives.
///
/// Load pattern: three times as much work arrives as can be served, so two thirds are refused with a retry time.
/// Without reservations all refused callers receive the same time, retry together and are refused again although they waited as asked.
/// Each refusal reserves the next time of a schedule that advances at the group's service rate. Admission of new work leaves room for
/// reservations that are due.
class RetryReservations
{
public:
    /// \param maximumDelay maximum time from now to a reservation
    /// \param grace time after which an unused reservation expires
    RetryReservations(Duration maximumDelay, Duration grace);

    /// Reserves the next time for \p caller, not before \p earliest and at least \p spacing after the last reservation.
    /// \return when to retry: the reserved time or, if the schedule is full, \p now plus the maximum delay, without a reservation
    auto makeReservation(const CallerId &caller, TimePoint earliest, Duration spacing, TimePoint now) -> TimePoint;

    /// Uses the caller's first reservation if it is due.
    /// \return whether a reservation was due
    auto takeReservation(const CallerId &caller, TimePoint now) -> bool;

    /// \return number of reservations that are due by \p until, including used ones that are listed behind an unused one
    [[nodiscard]] auto countDue(TimePoint until) const -> std::size_t;

    /// Drops reservations whose grace time has passed.
    auto expire(TimePoint now) -> void;

private:
    struct Reservation
    {
        TimePoint at;
        CallerId caller;
        bool used = false;
    };

    Duration maximumDelay;
    Duration grace;
    TimePoint lastReservation{};
    /// In ascending order of time.
    std::deque<Reservation> reservations;
    std::unordered_map<CallerId, std::deque<TimePoint>> byCaller;
};

} // namespace sapphirespool::decisions
