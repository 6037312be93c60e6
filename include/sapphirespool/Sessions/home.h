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

/// Stores on one proxy the latest position that each session has seen in each group. The proxies that store a session's positions, its homes,
/// are chosen by chooseHolders() from the session id. Without them a caller that sends no token would have to read at the primary to
/// see its own writes.
///
/// Each position comes from an answer of a primary. The log of a group is totally ordered, so a position covers all writes that were
/// acknowledged before it in that group, whoever made them; an entry is therefore never partial. A missing entry means that the
/// position is unknown, not that it is zero.
class SessionHome
{
public:
    /// \param limit     maximum number of recent updates kept, and so of entries. An entry whose last update is no longer among them is
    ///                  evicted, and reads of its session go to the primary.
    /// \param retention time for which an entry is kept after its last update
    SessionHome(std::size_t limit, Duration retention);

    /// Records that \p session has seen \p seen in \p group. An earlier position does not replace a later one.
    auto update(const SessionId &session, const GroupId &group, const TermPosition &seen, TimePoint now) -> void;

    /// \return the latest position that \p session has seen in \p group, or nothing if this home has no unexpired entry
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

    /// Removes the expired updates and, at the limit, the oldest one, with the entries that have no later update.
    auto dropOldest(TimePoint now) -> void;

    std::size_t limit;
    Duration retention;
    std::unordered_map<std::string, Entry> entries;
    std::deque<Expiry> expiryQueue;
};

} // namespace sapphirespool::sessions
