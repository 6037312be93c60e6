#include "sapphirespool/Promotion/promotionbackoff.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>

namespace sapphirespool::promotion
{

auto PromotionBackoff::allows(TimePoint now) const -> bool
{
    return !this->last || now - *this->last >= this->length;
}

auto PromotionBackoff::begin(TimePoint now) -> void
{
    const auto isReset = !this->last || now - *this->last >= backoffResetTime;
    this->length = isReset ? Duration(initialBackoff) : std::min(this->length * 2, Duration(maximumBackoff));
    this->last = now;
}

} // namespace sapphirespool::promotion
