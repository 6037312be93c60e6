#include "sapphirespool/Decisions/retryreservations.h"

#include <algorithm>

namespace sapphirespool::decisions
{

namespace
{

/// A retry may arrive this much too early, as clients round the delay down or have a clock that runs fast.
constexpr auto earlyTolerance = std::chrono::milliseconds(2);

} // namespace

RetryReservations::RetryReservations(Duration maximumDelay, Duration grace)
    : maximumDelay(maximumDelay)
    , grace(grace)
{
}

auto RetryReservations::makeReservation(const CallerId &caller, TimePoint earliest, Duration spacing, TimePoint now) -> TimePoint
{
    this->expire(now);
    const auto at = std::max(earliest, this->lastReservation + spacing);
    if (at > now + this->maximumDelay) {
        // The schedule is full. The caller receives the maximum delay and no reservation.
        return now + this->maximumDelay;
    }
    this->lastReservation = at;
    this->reservations.push_back({at, caller});
    this->byCaller[caller].push_back(at);
    return at;
}

auto RetryReservations::takeReservation(const CallerId &caller, TimePoint now) -> bool
{
    this->expire(now);
    const auto found = this->byCaller.find(caller);
    if (found == this->byCaller.end() || found->second.front() > now + earlyTolerance) {
        return false;
    }
    const auto at = found->second.front();
    found->second.pop_front();
    if (found->second.empty()) {
        this->byCaller.erase(found);
    }
    const auto from = std::lower_bound(this->reservations.begin(), this->reservations.end(), at, [](const Reservation &reservation, TimePoint time) {
        return reservation.at < time;
    });
    const auto reservation = std::find_if(from, this->reservations.end(), [&caller](const Reservation &candidate) {
        return !candidate.used && candidate.caller == caller;
    });
    if (reservation != this->reservations.end()) {
        reservation->used = true;
    }
    return true;
}

auto RetryReservations::countDue(TimePoint until) const -> std::size_t
{
    const auto end = std::upper_bound(this->reservations.begin(), this->reservations.end(), until, [](TimePoint time, const Reservation &reservation) {
        return time < reservation.at;
    });
    return static_cast<std::size_t>(end - this->reservations.begin());
}

auto RetryReservations::expire(TimePoint now) -> void
{
    while (!this->reservations.empty() && (this->reservations.front().used || this->reservations.front().at + this->grace < now)) {
        const auto reservation = this->reservations.front();
        this->reservations.pop_front();
        const auto found = this->byCaller.find(reservation.caller);
        if (reservation.used || found == this->byCaller.end()) {
            continue;
        }
        found->second.pop_front();
        if (found->second.empty()) {
            this->byCaller.erase(found);
        }
    }
}

} // namespace sapphirespool::decisions
