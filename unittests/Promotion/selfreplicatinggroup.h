// selfreplicatinggroup.h: a group of members that replicate by themselves, and the messages of its promotion.
#pragma once

#include "sapphirespool/Promotion/grouppromotion.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirespool::promotion
{

inline const auto start = TimePoint(std::chrono::hours(1));
inline const auto released = ProxyStanding{3, Revision(7), Revision(7)};

inline auto announcementOf(std::string id, platform::Role role, bool leaving = false, std::uint64_t incarnation = 1) -> Announced
{
    auto announcement = platform::Announcement();
    announcement.group = "g";
    announcement.id = std::move(id);
    announcement.incarnation = incarnation;
    announcement.role = role;
    announcement.leaving = leaving;
    return {announcement};
}

inline auto fenced(std::string_view id, std::uint64_t position, std::uint64_t incarnation = 1) -> OrderAnswered
{
    auto report = platform::PositionReport();
    report.id = id;
    report.incarnation = incarnation;
    report.term = 2;
    report.role = platform::Role::Fenced;
    report.lastTerm = 1;
    report.position = position;
    return {Order::Fence, GroupId("g"), Term(2), UpstreamId(std::string(id)), report};
}

inline auto unanswered(std::string_view id) -> OrderAnswered
{
    return {Order::Fence, GroupId("g"), Term(2), UpstreamId(std::string(id)), std::nullopt};
}

template <typename Kind>
auto find(const Actions &actions) -> const Kind *
{
    for (const auto &action : actions) {
        if (const auto *const found = std::get_if<Kind>(&action)) {
            return found;
        }
    }
    return nullptr;
}

/// A self-replicating group of a, b and c, of which a reports the role of primary.
struct Group
{
    explicit Group(std::uint64_t term)
    {
        this->record.view.id = GroupId("g");
        this->record.view.term = Term(term);
        this->record.selfReplicating = true;
        for (const auto *const id : {"a", "b", "c"}) {
            this->add(id);
        }
        this->announce(start);
    }

    auto add(std::string_view id) -> void
    {
        auto member = membership::UpstreamView();
        member.id = UpstreamId(std::string(id));
        member.incarnation = Incarnation(1);
        this->record.view.members.push_back(std::move(member));
    }

    auto announce(TimePoint now, bool primaryLeaves = false) -> void
    {
        this->promotion.note(announcementOf("a", platform::Role::Primary, primaryLeaves), now);
        this->promotion.note(announcementOf("b", platform::Role::Replica), now);
        this->promotion.note(announcementOf("c", platform::Role::Replica), now);
    }

    auto setPrimary(std::string_view primary) -> void
    {
        this->record.view.primary = UpstreamId(std::string(primary));
        this->record.lastPrimary = UpstreamId(std::string(primary));
        this->record.primaryIncarnation = Incarnation(1);
        this->record.view.history.push_back({this->record.view.term, LogPosition(0)});
    }

    /// Ends the term of the primary that was set; the promotion enters the next one at \p now.
    auto beginNextTerm(TimePoint now) -> Actions
    {
        this->record.view.term = this->record.view.term.next();
        this->record.view.primary.reset();
        return this->advance(now);
    }

    /// Removes \p id from the group, as when the member has left.
    auto forget(std::string_view id) -> void
    {
        std::erase_if(this->record.view.members, [id](const membership::UpstreamView &member) {
            return member.id.value() == id;
        });
    }

    /// Delivers the report of \p id, which was fenced at the second term and, if writes of the group are confirmed, paused.
    auto report(std::string_view id, std::uint64_t position, TimePoint now) -> void
    {
        auto answer = fenced(id, position);
        answer.order = this->record.confirmations > 0 ? Order::Pause : Order::Fence;
        this->promotion.note(answer, now);
    }

    auto member(std::string_view id) -> membership::UpstreamView &
    {
        return *std::find_if(this->record.view.members.begin(), this->record.view.members.end(), [id](const membership::UpstreamView &member) {
            return member.id.value() == id;
        });
    }

    /// Advances every 20 ms from \p begin to \p end.
    /// \return the actions of all steps
    auto advanceThrough(TimePoint begin, TimePoint end) -> Actions
    {
        auto all = Actions();
        for (auto now = begin; now <= end; now += transitionInterval) {
            for (auto &action : this->advance(now)) {
                all.push_back(std::move(action));
            }
        }
        return all;
    }

    auto advance(TimePoint now) -> Actions
    {
        return this->promotion.advance(this->record, released, now);
    }

    state::GroupRecord record;
    GroupPromotion promotion{start, contactTimeoutFor(std::chrono::milliseconds(1'200))};
};

} // namespace sapphirespool::promotion
