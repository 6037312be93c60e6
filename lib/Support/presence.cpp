#include "sapphirespool/Support/presence.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::support
{

auto Presence::failed(TimePoint now) -> void
{
    if (std::exchange(this->present, false)) {
        this->awaySince = now;
    }
}

auto Presence::isBack() -> void
{
    this->present = true;
    this->pause = firstPause;
}

auto Presence::isPresent() const -> bool
{
    return this->present;
}

auto Presence::isGivenUp(TimePoint now) const -> bool
{
    return !this->present && now - this->awaySince >= hope;
}

auto Presence::nextPause() -> Duration
{
    return std::exchange(this->pause, std::min(this->pause * 2, longestPause));
}

} // namespace sapphirespool::support
