// promotionbackoff.h: backoff between promotions of one group.
#pragma once

#include "sapphirespool/Support/types.h"

#include <optional>

namespace sapphirespool::promotion
{

/// Exponential backoff that is reset after a time without promotions.
class PromotionBackoff
{
public:
    /// \return whether a promotion may begin at \p now
    [[nodiscard]] auto allows(TimePoint now) const -> bool;

    /// Records that a promotion begins.
    auto begin(TimePoint now) -> void;

private:
    std::optional<TimePoint> last;
    Duration length{};
};

} // namespace sapphirespool::promotion
