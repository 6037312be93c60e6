// membertable.h: the last reported state of each member of a group.
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

/// State of a member according to its newest health report or position report.
struct MemberState
{
    /// Arrival of its last health report; absent if none has arrived.
    std::optional<TimePoint> lastContact;
    Incarnation incarnation;
    Term term;
    platform::Role role = platform::Role::Replica;
    Term lastTerm;
    LogPosition position;
    /// When its log position last changed.
    TimePoint positionChanged{};
    bool leaving = false;
    /// Successive health reports in which a promoted member reports another role than primary.
    std::uint32_t denials = 0;
    /// Incarnations of earlier processes of the member.
    std::set<Incarnation> formerIncarnations;
};

/// Soft state of one control leader.
class MemberTable
{
public:
    /// \param contactTimeout time since the last health report after which a member does not count as live
    explicit MemberTable(std::chrono::milliseconds contactTimeout = minimumContactTimeout);

    auto note(const platform::Announcement &announcement, TimePoint now) -> void;
    auto note(const platform::PositionReport &report, TimePoint now) -> void;

    /// \return null if no report of the member has arrived
    [[nodiscard]] auto find(const UpstreamId &member) const -> const MemberState *;

    /// \return whether the time since the last health report of the member is below the limit
    [[nodiscard]] auto isLive(const UpstreamId &member, TimePoint now) const -> bool;

    /// \return the only live member that reports the role of primary without a term; nothing if there is none or more than one
    [[nodiscard]] auto reportedPrimary(TimePoint now) const -> std::optional<UpstreamId>;
    /// \return whether a live member reports the role of primary
    [[nodiscard]] auto hasLivePrimary(TimePoint now) const -> bool;

    /// \return the highest term that any member has reported
    [[nodiscard]] auto highestTerm() const -> Term;

private:
    /// Handles a health report without a term of a member whose term is known from its answer to an order.
    /// \return false if no such answer of this process is known, so that the report replaces the state
    auto noteWithoutTerm(const platform::Announcement &announcement, TimePoint now) -> bool;
    auto update(const UpstreamId &id, const MemberState &news, TimePoint now) -> MemberState *;

    std::chrono::milliseconds contactTimeout;
    std::map<UpstreamId, MemberState> members;
};

} // namespace sapphirespool::promotion
