// choice.h: picks the primary of a term among the members that were fenced.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

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
    /// Whether the member confirms no write beyond the report. If it may, it has these writes itself, but no other member is certain to.
    bool isFinal = true;
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
/// \param worst worst standing of a member that is chosen although there is another one
/// \return nothing if no member is usable
[[nodiscard]] auto chooseHighest(std::span<const Candidate> fenced, Standing worst = Standing::Leaving) -> std::optional<Choice>;

/// The members of a self-replicating group that may hold a write whose acknowledgement needed confirmations.
struct WriteHolders
{
    /// Primary of the ended term; empty if it is not known.
    UpstreamId primary;
    /// All other members since it was chosen, also those that have left; an empty id stands for one that is not known.
    std::vector<UpstreamId> replicas;
    /// Replicas that must confirm a write; at least 1.
    std::uint32_t confirmations = 1;
};

/// \return the members of which another report is needed before \p candidate is certain to have each acknowledged write; none if it is
///
/// Each acknowledged write is on the primary and on as many replicas as must confirm it. The candidate has all writes of a member whose log
/// is not ahead of its own, if the report of that log is final. So it has each acknowledged write if it has those of the primary, or those of so many replicas
/// that too few are left to confirm a write which it lacks. A count of the reports is not enough: a group has more members than configured while one is
/// replaced.
[[nodiscard]] auto missingReports(const platform::PositionReport &candidate, std::span<const Candidate> reports, const WriteHolders &holders)
    -> std::vector<UpstreamId>;

/// Picks a member that is certain to have each write that \p holders may have acknowledged, eligible ones first.
///
/// \return nothing if no usable member is certain to
[[nodiscard]] auto chooseConfirmed(std::span<const Candidate> reports, const WriteHolders &holders) -> std::optional<Choice>;

} // namespace sapphirespool::promotion
