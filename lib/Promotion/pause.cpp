#include "sapphirespool/Promotion/pause.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>

namespace sapphirespool::promotion
{

auto PromotionPause::allows(TimePoint now) const -> bool
{
    return !this->last || now - *this->last >= this->length;
}

auto PromotionPause::begin(TimePoint now) -> void
{
    const auto calm = !this->last || now - *this->last >= calmTime;
    this->length = calm ? Duration(firstPause) : std::min(this->length * 2, Duration(longestPause));
    this->last = now;
}

} // namespace sapphirespool::promotion
