// brownout.h: decides which reads give way on the primary while writes wait there.
#pragma once

#include "sapphirespool/Decisions/settings.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sapphirespool::decisions
{

/// Steps up while the primary's own work waits too long, and down slowly once it does not.
///
/// Load pattern: replicas are lost or late, their reads come to the primary and delay bookings.
/// Without it the primary serves reads that would have been content with older data before writes that nothing else can serve.
/// The order is that of the operators' text: the reads that accept most age give way first.
/// Two delays and slow steps down keep it from swinging; a step that depends on the delay alone would switch on and off with
/// each emptying of the queue.
class Brownout
{
public:
    /// Steps: reads that accept 10 s or more give way, then 1 s or more, then any that accept age.
    static constexpr std::uint32_t highestLevel = 3;

    explicit Brownout(BrownoutSettings settings);

    /// Takes the longest wait of the primary's own work.
    auto observe(Duration wait, TimePoint now) -> void;

    [[nodiscard]] auto level() const -> std::uint32_t;

    /// \return whether a read that accepts \p maxAge may use the primary
    [[nodiscard]] auto admits(std::chrono::milliseconds maxAge) const -> bool;

private:
    BrownoutSettings settings;
    std::uint32_t present = 0;
    TimePoint changedAt{};
    std::optional<TimePoint> calmSince;
};

} // namespace sapphirespool::decisions
