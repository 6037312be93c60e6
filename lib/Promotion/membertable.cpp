#include "sapphirespool/Promotion/membertable.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>

namespace sapphirespool::promotion
{

namespace
{

/// A health report in flight during the promotion still reports a replica; a second one was sent after the promotion.
constexpr auto denialsBelieved = std::uint32_t{2};

/// Records the role in a health report without a term of a \p member that has reported its term in answer to an order.
auto noteDenial(MemberState &member, platform::Role says) -> void
{
    const auto denies = member.role == platform::Role::Primary && says != platform::Role::Primary;
    member.denials = denies ? member.denials + 1 : 0;
    // Otherwise a primary that stepped down by a late order would count as primary forever.
    if (member.denials == denialsBelieved) {
        member.role = says;
        member.denials = 0;
    }
}

} // namespace

MemberTable::MemberTable(std::chrono::milliseconds contactTimeout)
    : contactTimeout(contactTimeout)
{
}

auto MemberTable::note(const platform::Announcement &announcement, TimePoint now) -> void
{
    if (announcement.term == 0 && this->noteWithoutTerm(announcement, now)) {
        return;
    }
    auto news = MemberState();
    news.incarnation = Incarnation(announcement.incarnation);
    news.term = Term(announcement.term);
    news.role = announcement.role;
    news.lastTerm = Term(announcement.lastTerm);
    news.position = LogPosition(announcement.position);
    auto *const member = this->update(UpstreamId(announcement.id), news, now);
    if (member != nullptr) {
        member->lastContact = now;
        member->leaving = announcement.leaving;
    }
}

auto MemberTable::noteWithoutTerm(const platform::Announcement &announcement, TimePoint now) -> bool
{
    const auto found = this->members.find(UpstreamId(announcement.id));
    const auto sameProcess = found != this->members.end() && found->second.incarnation == Incarnation(announcement.incarnation);
    if (!sameProcess || found->second.term == Term(0)) {
        return false;
    }
    auto &member = found->second;
    member.lastContact = now;
    member.leaving = announcement.leaving;
    noteDenial(member, announcement.role);
    return true;
}

auto MemberTable::note(const platform::PositionReport &report, TimePoint now) -> void
{
    auto news = MemberState();
    news.incarnation = Incarnation(report.incarnation);
    news.term = Term(report.term);
    news.role = report.role;
    news.lastTerm = Term(report.lastTerm);
    news.position = LogPosition(report.position);
    this->update(UpstreamId(report.id), news, now);
}

auto MemberTable::update(const UpstreamId &id, const MemberState &news, TimePoint now) -> MemberState *
{
    const auto [place, added] = this->members.try_emplace(id);
    auto &member = place->second;
    // A delayed health report of an ended process must not make its successor appear restarted.
    if (member.formerIncarnations.contains(news.incarnation)) {
        return nullptr;
    }
    const auto sameProcess = added || member.incarnation == news.incarnation;
    // A process never returns to a lower term. A health report that a slow proxy relays late would show a promoted member as fenced, or a
    // fenced one as primary, and orders would be repeated.
    if (sameProcess && news.term < member.term) {
        return nullptr;
    }
    if (!sameProcess || news.position != member.position || news.lastTerm != member.lastTerm) {
        member.positionChanged = now;
    }
    if (!sameProcess) {
        member.formerIncarnations.insert(member.incarnation);
    }
    member.incarnation = news.incarnation;
    member.term = news.term;
    member.role = news.role;
    member.denials = 0;
    member.lastTerm = news.lastTerm;
    member.position = news.position;
    return &member;
}

auto MemberTable::find(const UpstreamId &member) const -> const MemberState *
{
    const auto found = this->members.find(member);
    return found == this->members.end() ? nullptr : &found->second;
}

auto MemberTable::isLive(const UpstreamId &member, TimePoint now) const -> bool
{
    const auto *const state = this->find(member);
    return state != nullptr && state->lastContact && now - *state->lastContact < this->contactTimeout;
}

auto MemberTable::reportedPrimary(TimePoint now) const -> std::optional<UpstreamId>
{
    auto primary = std::optional<UpstreamId>();
    for (const auto &[id, member] : this->members) {
        if (member.role != platform::Role::Primary || member.term != Term(0) || !this->isLive(id, now)) {
            continue;
        }
        if (primary) {
            return std::nullopt;
        }
        primary = id;
    }
    return primary;
}

auto MemberTable::hasLivePrimary(TimePoint now) const -> bool
{
    return std::any_of(this->members.begin(), this->members.end(), [this, now](const auto &member) {
        return member.second.role == platform::Role::Primary && this->isLive(member.first, now);
    });
}

auto MemberTable::highestTerm() const -> Term
{
    auto highest = Term();
    for (const auto &[id, member] : this->members) {
        highest = std::max(highest, member.term);
    }
    return highest;
}

} // namespace sapphirespool::promotion
