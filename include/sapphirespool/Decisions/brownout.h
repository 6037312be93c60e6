// brownout.h: sheds reads from the primary that accept stale data, while writes and current reads wait too long there.
#pragma once

#include "sapphirespool/Decisions/settings.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sapphirespool::decisions
{

/// Raises its level while writes and current reads wait too long for the primary, and lowers it slowly once they no longer do.
///
/// Load pattern: replicas are lost or lag, their reads move to the primary and delay writes.
/// Without it the primary serves reads that accept older data ahead of writes that no other member can serve.
/// Reads are shed by the age that the configuration lets them accept, the greatest age first.
/// Separate thresholds for entering and leaving, and a minimum time per step down, prevent oscillation. A level that followed
/// the delay alone would rise and fall each time the queue empties.
class Brownout
{
public:
    /// Level 1 sheds reads that accept an age of 10 s or more, level 2 those of 1 s or more, level 3 all that accept any age.
    static constexpr std::uint32_t highestLevel = 3;

    explicit Brownout(BrownoutSettings settings);

    /// Updates the level. \param wait longest current wait of a write or current read
    auto observe(Duration wait, TimePoint now) -> void;

    [[nodiscard]] auto level() const -> std::uint32_t;

    /// \return whether a read that accepts \p maxAge may use the primary
    [[nodiscard]] auto admits(std::chrono::milliseconds maxAge) const -> bool;

private:
    BrownoutSettings settings;
    std::uint32_t currentLevel = 0;
    TimePoint levelChangedAt{};
    std::optional<TimePoint> belowLeaveDelaySince;
};

} // namespace sapphirespool::decisions
