// choice.h: picks the primary of a term among the members that were fenced.
#pragma once

#include "sapphirespool/Platform/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace sapphirespool::promotion
{

/// How well a member that reported its log suits as primary, best first.
enum class Standing : std::uint8_t {
    Eligible,
    Leaving,
    /// Proxies could not use it as primary of the ended term.
    Suspected,
    /// It has left the group or sends no health reports any more; its report only tells which writes there are.
    Unusable,
};

/// A position report, sent by its member after it was fenced.
struct Candidate
{
    platform::PositionReport report;
    Standing standing = Standing::Eligible;
};

/// The chosen primary; its standing is never Standing::Unusable.
using Choice = Candidate;

/// \return whether the log in \p left ends after the one in \p right
[[nodiscard]] auto isAhead(const platform::PositionReport &left, const platform::PositionReport &right) -> bool;

/// Picks the member with the highest (lastTerm, position) of a fenced majority.
///
/// Two members confirmed each acknowledged write in the old term, and every majority contains one of them. A fenced member confirms no
/// further write of an older term, so the highest log of the majority contains every write that is or will be acknowledged. Members that
/// are not eligible are excluded if the remaining members form a majority.
///
/// \return nothing if \p fenced is not a quorum, or if only a member that is unusable is certain to have each acknowledged write
[[nodiscard]] auto chooseFromQuorum(std::span<const Candidate> fenced, std::size_t quorum) -> std::optional<Choice>;

/// Picks the member with the highest log where a write is acknowledged as soon as its primary has it.
///
/// No set of reports but that of the primary itself is certain to show each acknowledged write, so any usable member may be chosen. A
/// suspected one is chosen only if there is no other, as it could not serve.
///
/// \return nothing if no member is usable
[[nodiscard]] auto chooseHighest(std::span<const Candidate> fenced) -> std::optional<Choice>;

} // namespace sapphirespool::promotion
