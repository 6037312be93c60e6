// membertable.h: what the members of a group last said of themselves.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Promotion/timing.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace sapphirespool::promotion
{

/// The newest that is known of a member.
struct MemberState
{
    /// When its last announcement arrived; absent if none did.
    std::optional<TimePoint> heard;
    Incarnation incarnation;
    Term term;
    platform::Role role = platform::Role::Replica;
    Term lastTerm;
    LogPosition position;
    /// When its position last moved.
    TimePoint moved{};
    bool leaving = false;
    /// Announcements in a row by which a member that was promoted says that it is not primary.
    std::uint32_t denials = 0;
    /// Processes that came before this one.
    std::set<Incarnation> former;
};

/// Members by their ids. Soft state of one control leader.
class MemberTable
{
public:
    /// \param silence time without an announcement after which a member does not count as live
    explicit MemberTable(std::chrono::milliseconds silence = silenceLimit);

    auto note(const platform::Announcement &announcement, TimePoint now) -> void;
    auto note(const platform::PositionReport &report, TimePoint now) -> void;

    /// \return null if the member never said anything
    [[nodiscard]] auto find(const UpstreamId &member) const -> const MemberState *;

    /// \return whether an announcement of the member arrived lately
    [[nodiscard]] auto isLive(const UpstreamId &member, TimePoint now) const -> bool;

    /// \return the one live member that calls itself primary without a term; nothing if there is none, or two
    [[nodiscard]] auto selfAppointed(TimePoint now) const -> std::optional<UpstreamId>;
    /// \return whether a live member says that it is primary
    [[nodiscard]] auto namesPrimary(TimePoint now) const -> bool;

    /// \return the highest term that any member has seen
    [[nodiscard]] auto highestTerm() const -> Term;

private:
    /// Takes in what a member said that does not tell terms.
    /// \return false if nothing better is known of the member than what it said
    auto noteWithoutTerm(const platform::Announcement &announcement, TimePoint now) -> bool;
    auto update(const UpstreamId &id, const MemberState &news, TimePoint now) -> MemberState *;

    std::chrono::milliseconds silence;
    std::map<UpstreamId, MemberState> members;
};

} // namespace sapphirespool::promotion
