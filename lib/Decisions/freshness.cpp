#include "sapphirespool/Decisions/freshness.h"

#include <algorithm>

namespace sapphirespool::decisions
{

auto validPosition(const membership::GroupView &group, const NeededPosition &needed) -> LogPosition
{
    auto position = needed.position;
    for (const auto &start : group.history) {
        if (start.term > needed.term) {
            position = std::min(position, start.keptUpTo);
        }
    }
    return position;
}

auto holdsDiscardedEntries(const membership::GroupView &group, Term term, LogPosition applied) -> bool
{
    return applied > validPosition(group, {term, applied});
}

auto covers(const membership::GroupView &group, Term term, LogPosition applied, const NeededPosition &needed) -> bool
{
    if (term < needed.term) {
        return false;
    }
    // The view has no history of this term yet; its promotion may have discarded entries that this member never held.
    if (term > group.term) {
        return false;
    }
    return applied >= validPosition(group, needed);
}

} // namespace sapphirespool::decisions
