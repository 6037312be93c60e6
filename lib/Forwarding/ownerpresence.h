// ownerpresence.h: decides whether an owner of links is worth a question, and when it is looked for.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>

namespace sapphirespool::forwarding
{

/// Keeps statements from waiting for an owner that is away.
///
/// Load pattern: a cut separates a proxy from some owners for seconds. If a statement is what finds out whether an owner is back, that
/// statement and all that come meanwhile wait until the attempt fails, a few tenths of a second every second or so: one answer in five is
/// late for as long as the cut lasts. Here an owner that failed is looked for beside the traffic, and statements pass it over until it
/// has answered.
class OwnerPresence
{
public:
    /// Pause before an owner that failed is looked for, twice as long after each look in vain, up to the limit. The limit bounds how long an
    /// owner that is back goes unnoticed.
    static constexpr auto firstPause = std::chrono::milliseconds(50);
    static constexpr auto longestPause = std::chrono::milliseconds(500);
    /// An owner that failed so lately may just be slow: it is still asked where no other one answers.
    static constexpr auto hope = std::chrono::milliseconds(500);

    /// Notes that the owner took no connection or gave no sign of life.
    auto failed(TimePoint now) -> void;

    /// Notes that the owner sent something, or that control says it has started anew.
    auto isBack() -> void;

    /// \return whether the owner has not failed since it was last heard
    [[nodiscard]] auto isPresent() const -> bool;

    /// \return whether a question would only wait in vain
    [[nodiscard]] auto isGivenUp(TimePoint now) const -> bool;

    /// \return the pause before the next look
    [[nodiscard]] auto nextPause() -> Duration;

private:
    bool present = true;
    TimePoint awaySince{};
    std::chrono::milliseconds pause = firstPause;
};

} // namespace sapphirespool::forwarding
