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

/// The member whose log goes on.
struct Choice
{
    platform::PositionReport report;
    /// Whether the member is one of those to avoid.
    bool avoided = false;
};

/// Picks the member with the highest (lastTerm, position) of a fenced majority.
///
/// Each acknowledged write was confirmed by two members of the old term, and each majority holds one of them. A member that was fenced
/// confirms no write of an older term any more, so the highest log of the majority holds every write that is or will be acknowledged.
/// Where the others are a majority by themselves, the members to avoid are left out.
///
/// \param fenced reports of the members, each taken after it was fenced
/// \return nothing if \p fenced is no quorum
[[nodiscard]] auto choosePrimary(std::span<const platform::PositionReport> fenced, std::size_t quorum, const std::set<UpstreamId> &avoid)
    -> std::optional<Choice>;

} // namespace sapphirespool::promotion
