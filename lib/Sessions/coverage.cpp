#include "sapphirespool/Sessions/coverage.h"

#include <algorithm>

namespace sapphirespool::sessions
{

namespace
{

/// \return \p position of \p term, limited to the entries that all later terms kept
auto keptPosition(const membership::GroupView &group, Term term, LogPosition position) -> LogPosition
{
    for (const auto &start : group.history) {
        if (start.term > term) {
            position = std::min(position, start.keptUpTo);
        }
    }
    return position;
}

} // namespace

auto requiredPosition(const membership::GroupView &group, const TermPosition &seen) -> std::optional<TermPosition>
{
    if (seen.term > group.term) {
        return std::nullopt;
    }
    return TermPosition{group.term, keptPosition(group, seen.term, seen.position)};
}

auto covers(const membership::GroupView &group, const TermPosition &needed, const TermPosition &answered) -> bool
{
    if (answered.term >= needed.term) {
        return answered.position >= needed.position;
    }
    // A replica that still follows an ended term may hold entries that the next term discarded. Compared by position alone, they
    // would cover a write of the next term at the same position, and the caller would not read its own write.
    return keptPosition(group, answered.term, answered.position) >= needed.position;
}

} // namespace sapphirespool::sessions
