#include "sapphirespool/Decisions/returnbook.h"

#include <algorithm>

namespace sapphirespool::decisions
{

namespace
{

/// A retry may arrive this much too early, as clients round the delay down or have a clock that runs fast.
constexpr auto earlyBy = std::chrono::milliseconds(2);

} // namespace

ReturnBook::ReturnBook(Duration longest, Duration grace)
    : longest(longest)
    , grace(grace)
{
}

auto ReturnBook::promise(const CallerId &caller, TimePoint earliest, Duration spacing, TimePoint now) -> TimePoint
{
    this->expire(now);
    const auto at = std::max(earliest, this->lineEnd + spacing);
    if (at > now + this->longest) {
        // The schedule is full. The caller receives the maximum delay and no reservation.
        return now + this->longest;
    }
    this->lineEnd = at;
    this->places.push_back({at, caller});
    this->byCaller[caller].push_back(at);
    return at;
}

auto ReturnBook::redeem(const CallerId &caller, TimePoint now) -> bool
{
    this->expire(now);
    const auto found = this->byCaller.find(caller);
    if (found == this->byCaller.end() || found->second.front() > now + earlyBy) {
        return false;
    }
    const auto at = found->second.front();
    found->second.pop_front();
    if (found->second.empty()) {
        this->byCaller.erase(found);
    }
    const auto from = std::lower_bound(this->places.begin(), this->places.end(), at, [](const Place &place, TimePoint time) {
        return place.at < time;
    });
    const auto place = std::find_if(from, this->places.end(), [&caller](const Place &candidate) {
        return !candidate.taken && candidate.caller == caller;
    });
    if (place != this->places.end()) {
        place->taken = true;
    }
    return true;
}

auto ReturnBook::due(TimePoint until) const -> std::size_t
{
    const auto end = std::upper_bound(this->places.begin(), this->places.end(), until, [](TimePoint time, const Place &place) {
        return time < place.at;
    });
    return static_cast<std::size_t>(end - this->places.begin());
}

auto ReturnBook::expire(TimePoint now) -> void
{
    while (!this->places.empty() && (this->places.front().taken || this->places.front().at + this->grace < now)) {
        const auto place = this->places.front();
        this->places.pop_front();
        const auto found = this->byCaller.find(place.caller);
        if (place.taken || found == this->byCaller.end()) {
            continue;
        }
        found->second.pop_front();
        if (found->second.empty()) {
            this->byCaller.erase(found);
        }
    }
}

} // namespace sapphirespool::decisions
