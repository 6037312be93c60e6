// coverage.h: compares the positions a session has seen with those of answers, across the terms of a group.
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

/// Maps a position that a session has seen to the position that its reads must reach in the group's current term.
///
/// Entries of an ended term above the start of the next term were discarded by the promotion. No member can serve them again, so
/// a read that waited for them would never finish. No acknowledged write is lost, since a promotion keeps all of them.
/// \return nothing if the term of \p seen is later than the term of \p group, because the view is then outdated
[[nodiscard]] auto requiredPosition(const membership::GroupView &group, const TermPosition &seen) -> std::optional<TermPosition>;

/// \param needed   position returned by requiredPosition()
/// \param answered term and position of the upstream that answered
/// \return whether the answer reflects every entry up to \p needed
[[nodiscard]] auto covers(const membership::GroupView &group, const TermPosition &needed, const TermPosition &answered) -> bool;

} // namespace sapphirespool::sessions
