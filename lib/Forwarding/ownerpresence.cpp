#include "ownerpresence.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::forwarding
{

auto OwnerPresence::failed(TimePoint now) -> void
{
    if (std::exchange(this->present, false)) {
        this->awaySince = now;
    }
}

auto OwnerPresence::isBack() -> void
{
    this->present = true;
    this->pause = firstPause;
}

auto OwnerPresence::isPresent() const -> bool
{
    return this->present;
}

auto OwnerPresence::isGivenUp(TimePoint now) const -> bool
{
    return !this->present && now - this->awaySince >= hope;
}

auto OwnerPresence::nextPause() -> Duration
{
    return std::exchange(this->pause, std::min(this->pause * 2, longestPause));
}

} // namespace sapphirespool::forwarding
