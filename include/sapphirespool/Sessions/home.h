// home.h: keeps the positions of sessions whose callers bring the session id and no token.
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

/// Copies of a session's positions, in different zones. Both are asked, so one that missed a write does no harm.
inline constexpr auto homeCopies = std::size_t{2};

/// Positions of sessions, by group; the part of one home.
///
/// Each position comes from an answer of a primary. The log of a group has one order, so a position covers all that was acknowledged
/// before it in that group, whoever wrote it; an entry is therefore never half of the truth. What is not there is unknown, not zero.
class SessionHome
{
public:
    /// \param limit entries that are kept; beyond it the oldest are forgotten, and their reads go to the primary
    /// \param life  time for which an entry is kept after its last update
    SessionHome(std::size_t limit, Duration life);

    /// Takes in that \p session has come to \p seen in \p group.
    auto update(const SessionId &session, const GroupId &group, const TermPosition &seen, TimePoint now) -> void;

    /// \return what \p session has seen of \p group, or nothing if that is not known here
    [[nodiscard]] auto find(const SessionId &session, const GroupId &group, TimePoint now) const -> std::optional<TermPosition>;

    auto forgetAll() -> void;

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
    Duration life;
    std::unordered_map<std::string, Entry> entries;
    std::deque<Expiry> order;
};

} // namespace sapphirespool::sessions
