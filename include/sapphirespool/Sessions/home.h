// home.h: stores the positions of sessions whose callers send a session id without a token.
#pragma once

#include "sapphirespool/Sessions/coverage.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace sapphirespool::sessions
{

/// Copies of a session's positions, in different zones. Reads query both, so a copy that missed a write causes no stale read.
inline constexpr auto homeCopies = std::size_t{2};

/// Stores the positions of sessions per group, as one of the homes of each session.
///
/// Each position comes from an answer of a primary. The log of a group is totally ordered, so a position covers all writes that were
/// acknowledged before it in that group, whoever made them; an entry is therefore never partial. A missing entry means that the
/// position is unknown, not that it is zero.
class SessionHome
{
public:
    /// \param limit     maximum number of entries; beyond it the oldest are evicted, and reads of their sessions go to the primary
    /// \param retention time for which an entry is kept after its last update
    SessionHome(std::size_t limit, Duration retention);

    /// Records that \p session has seen \p seen in \p group. An earlier position does not replace a later one.
    auto update(const SessionId &session, const GroupId &group, const TermPosition &seen, TimePoint now) -> void;

    /// \return what \p session has seen of \p group, or nothing if this home has no unexpired entry
    [[nodiscard]] auto find(const SessionId &session, const GroupId &group, TimePoint now) const -> std::optional<TermPosition>;

    auto clear() -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Entry
    {
        TermPosition seen;
        TimePoint expiry;
    };

    struct Expiry
    {
        TimePoint at;
        std::string name;
    };

    auto dropOldest(TimePoint now) -> void;

    std::size_t limit;
    Duration retention;
    std::unordered_map<std::string, Entry> entries;
    std::deque<Expiry> expiryQueue;
};

} // namespace sapphirespool::sessions
