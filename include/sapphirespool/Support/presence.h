// presence.h: decides whether a peer is worth a question, and when it is looked for.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>

namespace sapphirespool::support
{

/// Keeps statements from waiting for a peer that is away: another proxy, or an upstream.
///
/// Load pattern: a cut separates a proxy from some peers for seconds. If a statement is what finds out whether a peer is back, that
/// statement and all that come meanwhile wait until the attempt fails, a few tenths of a second every second or so: one answer in five is
/// late for as long as the cut lasts. Here a peer that failed is looked for beside the traffic, and statements pass it over until it
/// has answered.
class Presence
{
public:
    /// Pause before a peer that failed is looked for, twice as long after each look in vain, up to the limit. The limit bounds how long a
    /// peer that is back goes unnoticed.
    static constexpr auto firstPause = std::chrono::milliseconds(50);
    static constexpr auto longestPause = std::chrono::milliseconds(500);
    /// A peer that failed so lately may just be slow: it is still asked where no other one answers.
    static constexpr auto grace = std::chrono::milliseconds(500);

    /// Notes that the peer took no connection or gave no sign of life.
    /// \return whether it was present until now
    auto failed(TimePoint now) -> bool;

    /// Notes that the peer sent something, or has started anew.
    /// \return whether it was away until now
    auto answered() -> bool;

    /// \return whether the peer has not failed since it was last heard
    [[nodiscard]] auto isPresent() const -> bool;

    /// \return whether a question would only wait in vain
    [[nodiscard]] auto isGivenUp(TimePoint now) const -> bool;

    /// \return when it was first missed; only while it is away
    [[nodiscard]] auto missedSince() const -> TimePoint;

    /// \return the pause before the next look
    [[nodiscard]] auto nextPause() -> Duration;

private:
    bool present = true;
    TimePoint awaySince{};
    std::chrono::milliseconds pause = firstPause;
};

} // namespace sapphirespool::support
