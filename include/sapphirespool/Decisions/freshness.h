// freshness.h: compares an upstream's log position with the position that a session has observed.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"

namespace sapphirespool::decisions
{

/// Compares log positions across the terms of \p group.
///
/// Entries of a term past the point where a later term began were discarded by the promotion: no member will ever hold them,
/// and a session that waited for such a position would wait forever. A member of a lower term than the session's is never
/// fresh enough, because its entries past the promotion may be among those discarded.
/// \return whether data at (\p term, \p applied) holds all entries up to \p needed that are still valid
[[nodiscard]] auto covers(const membership::GroupView &group, Term term, LogPosition applied, const NeededPosition &needed) -> bool;

/// \return the highest position up to \p needed that is still valid in \p group
[[nodiscard]] auto validPosition(const membership::GroupView &group, const NeededPosition &needed) -> LogPosition;

/// Detects a member whose log diverged: while it still follows an earlier primary, it may hold entries that the promotion discarded.
/// A session that read them would no longer find them in its next read from another member.
/// \return whether data at (\p term, \p applied) includes entries that later terms discarded
[[nodiscard]] auto holdsDiscardedEntries(const membership::GroupView &group, Term term, LogPosition applied) -> bool;

} // namespace sapphirespool::decisions
