#include "sapphirespool/Platform/announcementcheck.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <string>

namespace sapphirespool::platform
{

namespace
{

/// Characters of an id that are logged.
constexpr auto loggedCharacters = std::size_t{64};

auto isControl(char character) -> bool
{
    constexpr auto firstPrintable = static_cast<unsigned char>(' ');
    constexpr auto deletion = static_cast<unsigned char>(0x7f);
    const auto code = static_cast<unsigned char>(character);
    return code < firstPrintable || code == deletion;
}

auto isText(std::string_view text) -> bool
{
    return text.size() <= longestName && std::none_of(text.begin(), text.end(), isControl);
}

/// \return whether \p text is one word of a line
auto isWord(std::string_view text) -> bool
{
    return !text.empty() && isText(text) && text.find(' ') == std::string_view::npos;
}

auto isHostAddress(const std::string &text) -> bool
{
    auto error = boost::system::error_code();
    const auto address = boost::asio::ip::make_address(text, error);
    // A text after a NUL is not read.
    return isWord(text) && !error && !address.is_unspecified() && !address.is_multicast();
}

} // namespace

auto describe(AnnouncementProblem problem) -> std::string_view
{
    switch (problem) {
    case AnnouncementProblem::Unreadable:
        return "the body cannot be read, or a field is missing or of another type; send all fields as the protocol gives them";
    case AnnouncementProblem::Name:
        return "a name is empty, too long or has blanks or control characters; use 1 to 256 bytes without them";
    case AnnouncementProblem::Address:
        return "the address names no host; send an IP address and a port above 0";
    case AnnouncementProblem::Slots:
        return "the number of slots is out of range; send 1 to 65535";
    case AnnouncementProblem::Sequence:
        return "the sequence number is out of range; count from 1 at each start";
    case AnnouncementProblem::Start:
        return "the time of the start lies in the future; set the clock of the member";
    }
    return "unknown";
}

auto problemOf(const Announcement &announcement) -> std::optional<AnnouncementProblem>
{
    if (!isWord(announcement.group) || !isWord(announcement.id) || !isText(announcement.zone)) {
        return AnnouncementProblem::Name;
    }
    if (!isHostAddress(announcement.address) || announcement.port == 0) {
        return AnnouncementProblem::Address;
    }
    if (announcement.slots == 0 || announcement.slots > mostSlots) {
        return AnnouncementProblem::Slots;
    }
    return announcement.sequence > highestSequence ? std::optional(AnnouncementProblem::Sequence) : std::nullopt;
}

auto RejectedAnnouncements::record(std::string_view id, AnnouncementProblem problem) -> void
{
    if (!this->lines.tryTake(support::now())) {
        return;
    }
    auto shown = std::string(id.substr(0, loggedCharacters));
    std::replace_if(shown.begin(), shown.end(), isControl, '?');
    support::log(support::Event::AnnouncementRejected, {{"upstream", shown}, {"problem", describe(problem)}, {"lines_left_out", this->lines.takeDropped()}});
}

} // namespace sapphirespool::platform
