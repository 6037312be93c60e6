// announcementcheck.h: tells announcements that name a usable member from others.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/logbudget.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace sapphirespool::platform
{

/// Why an announcement names no member that could be used.
enum class AnnouncementProblem {
    /// The body cannot be read, or a field is missing or has another type.
    Unreadable,
    /// A name is empty, too long, or has characters that end a word or a line of the protocols and logs that it would stand in.
    Name,
    /// The address is no IP address of a single host, or the port is 0.
    Address,
    /// There are no slots, or more than any server has.
    Slots,
    /// The sequence number is so high that no later one could follow.
    Sequence,
    /// The process claims to have started in the future, so that no later process could take its place.
    Start,
};

/// \return what is wrong, and what its sender has to do about it
[[nodiscard]] auto describe(AnnouncementProblem problem) -> std::string_view;

/// Longest name of a group, a member or a zone.
constexpr auto longestName = std::size_t{256};
/// Most slots of a member.
constexpr auto mostSlots = std::uint32_t{65'535};
/// Highest sequence number: the largest whole number that each JSON library represents exactly.
constexpr auto highestSequence = (std::uint64_t{1} << 53U) - 1;

/// \return why \p announcement names no usable member; nothing if it names one
///
/// All that is announced reaches the replicated log, which each control VM reads again at its start, and the views of all proxies. So what
/// a later step could not handle is rejected where it is read.
[[nodiscard]] auto problemOf(const Announcement &announcement) -> std::optional<AnnouncementProblem>;

/// Logs rejected announcements, a few a second at most.
class RejectedAnnouncements
{
public:
    /// \param id of the member as the sender gives it; only its printable beginning is logged
    auto record(std::string_view id, AnnouncementProblem problem) -> void;

private:
    support::LogBudget lines{2.0};
};

} // namespace sapphirespool::platform
