// choice.h: picks the primary of a term among the members that were fenced.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <optional>
#include <set>
#include <span>

namespace sapphirespool::promotion
{

/// The chosen primary.
struct Choice
{
    platform::PositionReport report;
    /// Whether the member was chosen although it is in the set to avoid.
    bool avoided = false;
};

/// Picks the member with the highest (lastTerm, position) of a fenced majority.
///
/// Two members confirmed each acknowledged write in the old term, and every majority contains one of them. A fenced member confirms no
/// further write of an older term, so the highest log of the majority contains every write that is or will be acknowledged. Members to
/// avoid are excluded if the remaining members form a majority.
///
/// \param fenced position reports, each sent by its member after it was fenced
/// \return nothing if \p fenced is not a quorum
[[nodiscard]] auto choosePrimary(std::span<const platform::PositionReport> fenced, std::size_t quorum, const std::set<UpstreamId> &avoid)
    -> std::optional<Choice>;

} // namespace sapphirespool::promotion
