#include "sapphirespool/Promotion/grouppromotion.h"

#include "followorder.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::promotion
{

namespace
{

using state::GroupRecord;

auto promoteOf(const GroupRecord &group, const membership::UpstreamView &member) -> SendPromote
{
    return {group.view.id, member.id, member.endpoint, {group.view.term.value()}};
}

} // namespace

auto followOf(const GroupRecord &group, const membership::UpstreamView &member, const membership::UpstreamView &primary) -> SendFollow
{
    auto request = platform::FollowRequest();
    request.term = group.view.term.value();
    request.primary = primary.id.value();
    request.address = primary.endpoint.address;
    request.port = primary.endpoint.port;
    request.keptUpTo = group.view.history.back().keptUpTo.value();
    return {group.view.id, member.id, member.endpoint, std::move(request)};
}

GroupPromotion::GroupPromotion(TimePoint since, std::chrono::milliseconds contactTimeout)
    : since(since)
    , contactTimeout(contactTimeout)
    , members(contactTimeout)
    , wake(since)
{
}

auto GroupPromotion::note(const Announced &event, TimePoint now) -> void
{
    this->members.note(event.announcement, now);
}

auto GroupPromotion::note(const Suspected &event, TimePoint now) -> void
{
    // A suspicion from an earlier term must not end the term of the new primary, which no proxy has used yet.
    if (event.suspicion.term != this->term) {
        return;
    }
    this->lastSuspicion = now;
    if (event.credible) {
        this->suspicions[event.zone] = now;
    }
}

auto GroupPromotion::note(const OrderAnswered &event, TimePoint now) -> void
{
    if (event.order == Order::Promote && this->openPromotions > 0) {
        --this->openPromotions;
    }
    if (event.order == Order::Follow) {
        this->noteResume(event);
    }
    const auto isFence = (event.order == Order::Fence || event.order == Order::Pause) && event.term == this->term;
    // Another process may have taken over the address of the member; its report does not describe the log of the member.
    if (!event.report || event.report->id != event.member.value()) {
        if (isFence) {
            this->unreached.insert(event.member);
        }
        return;
    }
    const auto *const known = this->members.find(event.member);
    if (this->isSelfReplicating && known != nullptr && known->incarnation != Incarnation(event.report->incarnation)) {
        // The order was meant for another process than the one that is known now, and either may have answered.
        return;
    }
    this->members.note(*event.report, now);
    this->unreached.erase(event.member);
    // Only the report of a member that is fenced at this term gives the end of its log. After a late report of an earlier term the member
    // may have written more, and the choice could miss the log that holds the acknowledged writes.
    const auto fencedHere = event.report->role == platform::Role::Fenced && Term(event.report->term) == this->term;
    if (isFence && fencedHere) {
        this->fenced.insert_or_assign(event.member, FencedReport{*event.report, event.sent, now, event.order == Order::Pause});
    }
}

auto GroupPromotion::note(const ProposalIgnored &event, TimePoint) -> void
{
    // The proposal named something that the state no longer holds. The next one is made from the present state and need not be delayed.
    if (event.term == this->term) {
        this->proposed.reset();
    }
}

auto GroupPromotion::note(const PositionTold &event, TimePoint) -> void
{
    if (event.report && event.report->id == event.member.value()) {
        this->departedUpTo = event.report;
        this->coveredDepartures = this->askedDepartures;
    }
}

auto GroupPromotion::setDuty(bool held) -> void
{
    this->holdsDuty = held;
}

auto GroupPromotion::advance(const GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions
{
    this->isSelfReplicating = group.selfReplicating;
    if (group.view.term != this->term || group.view.primary.has_value() != this->hasPrimary) {
        this->enterTerm(group, proxies.current, now);
    }
    auto actions = group.view.primary ? this->maintainTerm(group, proxies, now) : this->elect(group, now);
    this->wake = now + transitionInterval;
    if (!this->inTransition && group.view.primary) {
        const auto *const primary = this->members.find(*group.view.primary);
        const auto lastContact = primary != nullptr && primary->lastContact ? *primary->lastContact : this->since;
        this->wake = std::max(this->wake, lastContact + this->contactTimeout);
    }
    return actions;
}

auto GroupPromotion::wakeAt() const -> TimePoint
{
    return this->wake;
}

auto GroupPromotion::enterTerm(const GroupRecord &group, Revision current, TimePoint now) -> void
{
    if (group.view.term != this->term) {
        this->termSeen = now;
        this->termRevision = current;
        this->pauseOrdered.clear();
        this->restartResumes();
        this->mayHavePaused = !this->entered && !group.view.primary && group.view.term != Term(0);
    }
    if (!this->entered) {
        this->inheritResumes(group, now);
    }
    this->term = group.view.term;
    this->hasPrimary = group.view.primary.has_value();
    const auto isFirst = !std::exchange(this->entered, true);
    this->trustsRole = this->hasPrimary && (isFirst || this->adopted);
    this->adopted = false;
    this->quorumSince.reset();
    this->orders.clear();
    this->proposed.reset();
    this->suspicions.clear();
    this->lastSuspicion.reset();
    this->leavingSince.reset();
    if (this->hasPrimary) {
        this->servedBy = UpstreamId();
    }
    this->choseLeaving = this->hasPrimary && !isFirst && this->isLeaving(group, *group.view.primary);
    this->fenced.clear();
    this->unreached.clear();
    this->awaited.clear();
    this->awaitedOrders.clear();
}

auto GroupPromotion::maintainTerm(const GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions
{
    const auto &primary = *group.view.primary;
    this->electionSince.reset();
    if (this->isPrimary(primary, this->term, group.primaryIncarnation)) {
        this->servedBy = primary;
    }
    const auto leaving = this->isLeaving(group, primary);
    if (leaving && !this->leavingSince) {
        this->leavingSince = now;
    } else if (!leaving) {
        this->leavingSince.reset();
    }
    const auto reason = this->reasonToEnd(group, proxies.zones, now);
    this->inTransition = reason || leaving || !this->suspicions.empty() || !this->isPrimary(primary, this->term, group.primaryIncarnation);
    // No backoff for a leaving member: it ends after a few seconds and does not flap. One that was leaving when it was chosen would be
    // chosen again: another handover is tried only after a backoff, in which it serves and the replicas catch up.
    const auto leavesSoon = group.selfReplicating && reason == TermEnd::Leaving && !this->choseLeaving;
    if (reason && (leavesSoon || reason == TermEnd::Gone || this->backoff.allows(now))) {
        return this->endTerm(group, *reason, now);
    }
    return this->orderMembers(group, proxies, now);
}

auto GroupPromotion::orderMembers(const GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions
{
    const auto *const primary = group.view.primaryMember();
    if (primary == nullptr || this->incarnationOf(group, primary->id) != group.primaryIncarnation) {
        return {};
    }
    if (!this->isPrimary(primary->id, this->term, group.primaryIncarnation)) {
        if (!this->isReleased(group, proxies, now) || this->awaitsRole(group, now)) {
            return {};
        }
        if (group.selfReplicating && !this->holdsDuty) {
            return {AwaitDuty{group.view.id}};
        }
        // A repetition that is carried out after its member has stepped down makes it acknowledge writes again. Where replicas confirm each
        // write, a lost order is repeated only once it has failed.
        const auto mayRepeat = group.acknowledgesAlone() || !group.selfReplicating || this->openPromotions == 0;
        if (!mayRepeat || !this->tryOrder(primary->id, Order::Promote, this->term, now)) {
            return {};
        }
        ++this->openPromotions;
        return {promoteOf(group, *primary)};
    }
    auto actions = Actions();
    if (auto question = this->askPosition(group, now)) {
        actions.emplace_back(*std::move(question));
    }
    if (group.selfReplicating) {
        for (auto &action : this->resumeMembers(group, *primary, now)) {
            actions.push_back(std::move(action));
        }
        return actions;
    }
    for (const auto &member : group.view.members) {
        if (member.id == primary->id || this->isFollowing(member.id, this->term)) {
            continue;
        }
        this->inTransition = true;
        if (this->tryOrder(member.id, Order::Follow, this->term, now)) {
            actions.emplace_back(followOf(group, member, *primary));
        }
    }
    return actions;
}

auto GroupPromotion::askPosition(const GroupRecord &group, TimePoint now) -> std::optional<AskPosition>
{
    if (group.departed.empty() || this->coveredDepartures == group.departed) {
        return std::nullopt;
    }
    this->inTransition = true;
    if (this->positionAsked && this->askedDepartures == group.departed && now - *this->positionAsked < orderRetry) {
        return std::nullopt;
    }
    this->positionAsked = now;
    this->askedDepartures = group.departed;
    const auto &primary = *group.view.primaryMember();
    return AskPosition{group.view.id, primary.id, primary.endpoint};
}

auto GroupPromotion::endTerm(const GroupRecord &group, TermEnd reason, TimePoint now) -> Actions
{
    if (!this->tryPropose(now)) {
        return {};
    }
    if (group.view.primary) {
        this->backoff.begin(now);
    }
    if (reason == TermEnd::Silent || reason == TermEnd::Suspected) {
        this->suspectedPrimary = group.view.primary;
    }
    const auto next = std::max(group.view.term, this->members.highestTerm()).next();
    return {ProposeTerm{{group.view.id, group.view.term, next}, reason}};
}

auto GroupPromotion::tryOrder(const UpstreamId &member, Order order, Term inTerm, TimePoint now, Duration retry) -> bool
{
    // The limit also applies to an order that was answered. A control leader whose state lags may send an order for which the member is
    // already in a later state, and would otherwise repeat it at the rate of the answers.
    const auto found = this->orders.find(member);
    const auto waits = found != this->orders.end() && found->second.order == order && found->second.term == inTerm && now - found->second.sent < retry;
    if (waits) {
        return false;
    }
    this->orders.insert_or_assign(member, SentOrder{order, inTerm, now});
    return true;
}

auto GroupPromotion::tryPropose(TimePoint now) -> bool
{
    if (this->proposed && now - *this->proposed < proposalRetry) {
        return false;
    }
    this->proposed = now;
    return true;
}

} // namespace sapphirespool::promotion
