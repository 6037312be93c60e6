// freshness.h: decides whether an upstream's data covers what a session has seen.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"

namespace sapphirespool::decisions
{

/// Compares positions through the group's terms.
///
/// A position that lies above the point where a later term began is void: no member will ever hold that entry, and a session
/// that waited for it would wait for ever. A member of a lower term than the session's is never fresh enough: its entries past
/// the promotion may be void.
/// \return whether data at (\p term, \p applied) holds everything that stands up to \p needed
[[nodiscard]] auto covers(const membership::GroupView &group, Term term, LogPosition applied, const NeededPosition &needed) -> bool;

/// \return the highest position of \p needed that still stands in \p group
[[nodiscard]] auto standingPosition(const membership::GroupView &group, const NeededPosition &needed) -> LogPosition;

/// A member that still follows an earlier primary may hold entries that the promotion dropped. A session that read them would see them
/// vanish with its next read elsewhere.
/// \return whether (\p term, \p applied) holds entries that later terms made void
[[nodiscard]] auto holdsVoidEntries(const membership::GroupView &group, Term term, LogPosition applied) -> bool;

} // namespace sapphirespool::decisions
