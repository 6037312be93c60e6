// returnbook.h: keeps the times at which refused callers were told to come back.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace sapphirespool::decisions
{

/// Appointments of refused callers.
///
/// Load pattern: three times as much work arrives as can be served, so two thirds are refused and told when to come back.
/// Without the book all of them are told the same time, arrive together and are refused again: the time was not true.
/// Each refusal gets the next place of a line that moves at the group's own rate. New work gives way to places that are due.
class ReturnBook
{
public:
    /// \param longest latest appointment, from now \param grace how long after its time a place is kept
    ReturnBook(Duration longest, Duration grace);

    /// Gives \p caller the next place, not before \p earliest; each place takes \p spacing.
    auto promise(const CallerId &caller, TimePoint earliest, Duration spacing, TimePoint now) -> TimePoint;

    /// Takes the caller's place if its time has come.
    /// \return whether there was one
    auto redeem(const CallerId &caller, TimePoint now) -> bool;

    /// \return places that are due up to \p until and not yet taken
    [[nodiscard]] auto due(TimePoint until) const -> std::size_t;

    /// Drops places that nobody took in time.
    auto expire(TimePoint now) -> void;

private:
    struct Place
    {
        TimePoint at;
        CallerId caller;
        bool taken = false;
    };

    Duration longest;
    Duration grace;
    TimePoint lineEnd{};
    /// Ascending by time.
    std::deque<Place> places;
    std::unordered_map<CallerId, std::deque<TimePoint>> byCaller;
};

} // namespace sapphirespool::decisions
