// pause.h: spaces out the promotions of one group.
#pragma once

#include "sapphirespool/Support/types.h"

#include <optional>

namespace sapphirespool::promotion
{

/// Pause between promotions that doubles while they keep coming.
class PromotionPause
{
public:
    /// \return whether a promotion may begin
    [[nodiscard]] auto allows(TimePoint now) const -> bool;

    /// Records that one begins.
    auto begin(TimePoint now) -> void;

private:
    std::optional<TimePoint> last;
    Duration length{};
};

} // namespace sapphirespool::promotion
