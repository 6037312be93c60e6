// coverage.h: compares a session's positions with those of answers, over the terms of a group.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <optional>

namespace sapphirespool::sessions
{

/// A term of a group and a position in its log.
struct TermPosition
{
    Term term;
    LogPosition position;

    auto operator<=>(const TermPosition &) const = default;
};

/// What a read must reach, in the group's present term.
///
/// What a session saw in an ended term above the point where the next term began no longer exists: no member can ever show it, and
/// a read that waited for it would wait for ever. No acknowledged write is lost by it, since a promotion keeps all of them.
/// \return nothing if \p seen is of a later term than \p group knows of, so that the view is behind
[[nodiscard]] auto standingDebt(const membership::GroupView &group, const TermPosition &seen) -> std::optional<TermPosition>;

/// \param needed what standingDebt() gave
/// \param answered term and position of the upstream that answered
/// \return whether the answer rests on all that was needed
[[nodiscard]] auto covers(const membership::GroupView &group, const TermPosition &needed, const TermPosition &answered) -> bool;

} // namespace sapphirespool::sessions
