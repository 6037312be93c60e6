#include "sapphirespool/Support/presence.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::support
{

auto Presence::failed(TimePoint now) -> bool
{
    const auto wasPresent = std::exchange(this->present, false);
    if (wasPresent) {
        this->awaySince = now;
    }
    return wasPresent;
}

auto Presence::answered() -> bool
{
    this->pause = firstPause;
    return !std::exchange(this->present, true);
}

auto Presence::isPresent() const -> bool
{
    return this->present;
}

auto Presence::isGivenUp(TimePoint now) const -> bool
{
    return !this->present && now - this->awaySince >= grace;
}

auto Presence::missedSince() const -> TimePoint
{
    return this->awaySince;
}

auto Presence::nextPause() -> Duration
{
    return std::exchange(this->pause, std::min(this->pause * 2, longestPause));
}

} // namespace sapphirespool::support
