#include "sapphirespool/Promotion/grouppromotion.h"

#include "sapphirespool/Promotion/choice.h"
#include "sapphirespool/Promotion/timing.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace sapphirespool::promotion
{

namespace
{

using state::GroupRecord;

/// The first term in which a group can have a primary.
constexpr auto firstTermNumber = std::uint64_t{1};

auto fenceOf(const GroupRecord &group, const membership::UpstreamView &member) -> SendFence
{
    return {group.view.id, member.id, member.endpoint, {group.view.term.value()}};
}

auto promoteOf(const GroupRecord &group, const membership::UpstreamView &member) -> SendPromote
{
    return {group.view.id, member.id, member.endpoint, {group.view.term.value()}};
}

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

} // namespace

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
    // Another process may have taken over the address of the member; its report does not describe the log of the member.
    if (!event.report || event.report->id != event.member.value()) {
        if (event.order == Order::Fence && event.term == this->term) {
            this->unreached.insert(event.member);
        }
        return;
    }
    this->members.note(*event.report, now);
    // Only the report of a member that is fenced at this term gives the end of its log. After a late report of an earlier term the member
    // may have written more, and the choice could miss the log that holds the acknowledged writes.
    const auto fencedHere = event.report->role == platform::Role::Fenced && Term(event.report->term) == this->term;
    if (event.order == Order::Fence && event.term == this->term && fencedHere) {
        this->fenced.insert_or_assign(event.member, *event.report);
    }
}

auto GroupPromotion::note(const ProposalIgnored &event, TimePoint) -> void
{
    // The proposal named something that the state no longer holds. The next one is made from the present state and need not be delayed.
    if (event.term == this->term) {
        this->proposed.reset();
    }
}

auto GroupPromotion::setDuty(bool held) -> void
{
    this->holdsDuty = held;
}

auto GroupPromotion::advance(const GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions
{
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
    this->fenced.clear();
    this->unreached.clear();
}

auto GroupPromotion::elect(const GroupRecord &group, TimePoint now) -> Actions
{
    this->inTransition = true;
    auto actions = this->runElection(group, now);
    if (auto overdue = this->reportIfOverdue(group, now)) {
        actions.emplace_back(*std::move(overdue));
    }
    return actions;
}

auto GroupPromotion::reportIfOverdue(const GroupRecord &group, TimePoint now) -> std::optional<ReportOverdueElection>
{
    if (!this->electionSince) {
        this->electionSince = now;
        this->overdueReported = false;
    }
    const auto waited = now - *this->electionSince;
    // A group without members is configured but not started yet.
    if (waited < electionLimit || group.view.members.empty() || std::exchange(this->overdueReported, true)) {
        return std::nullopt;
    }
    return ReportOverdueElection{group.view.id, group.view.term, waited, this->fenced.size(), group.view.members.size()};
}

auto GroupPromotion::runElection(const GroupRecord &group, TimePoint now) -> Actions
{
    if (group.view.term == Term(0) && this->liveCount(group, now) < group.quorum()) {
        // Members that have not registered cannot be fenced, so the first term would end without a primary.
        return {};
    }
    if (this->awaitsFirstPrimary(group, now)) {
        return {};
    }
    if (group.view.term == Term(0)) {
        return this->endTerm(group, TermEnd::First, now);
    }
    if (this->members.highestTerm() > group.view.term) {
        return this->endTerm(group, TermEnd::Overtaken, now);
    }
    if (group.view.history.empty() && this->members.reportedPrimary(now)) {
        return this->adopt(group, now);
    }
    auto actions = this->fenceMembers(group, now);
    for (auto &action : this->choose(group, now)) {
        actions.push_back(std::move(action));
    }
    return actions;
}

auto GroupPromotion::adopt(const GroupRecord &group, TimePoint now) -> Actions
{
    // A group that served before this system was started already has a primary. Fencing it would interrupt its callers without need, and its
    // members do not store a term at which they could be fenced.
    const auto primary = *this->members.reportedPrimary(now);
    if (group.view.findMember(primary) == nullptr || !this->tryPropose(now)) {
        return {};
    }
    this->adopted = true;
    return {ProposePrimary{{group.view.id, group.view.term, primary, this->incarnationOf(group, primary), LogPosition()}}};
}

auto GroupPromotion::awaitsFirstPrimary(const GroupRecord &group, TimePoint now) -> bool
{
    // After the first start of the system the health reports of the members arrive in any order. Two replicas that report before their
    // primary are a quorum: one of them would be promoted, and the primary would be fenced while it serves.
    const auto isNew = group.selfReplicating && group.view.history.empty() && group.view.term <= Term(firstTermNumber);
    if (!isNew || this->members.hasLivePrimary(now) || this->liveCount(group, now) >= group.size) {
        return false;
    }
    if (!this->firstPrimaryAwaitedSince) {
        this->firstPrimaryAwaitedSince = now;
    }
    return now - *this->firstPrimaryAwaitedSince < this->contactTimeout;
}

auto GroupPromotion::fenceMembers(const GroupRecord &group, TimePoint now) -> Actions
{
    const auto retry = group.selfReplicating && !this->fenced.empty() ? catchUpRetry : orderRetry;
    auto actions = Actions();
    for (const auto &member : group.view.members) {
        if (!this->isFenced(member.id) && this->tryOrder(member.id, Order::Fence, group.view.term, now, retry)) {
            actions.emplace_back(fenceOf(group, member));
        }
    }
    return actions;
}

auto GroupPromotion::choose(const GroupRecord &group, TimePoint now) -> Actions
{
    auto reports = std::vector<platform::PositionReport>();
    for (const auto &[id, report] : this->fenced) {
        reports.push_back(report);
    }
    const auto choice = choosePrimary(reports, group.quorum(), this->membersToAvoid(group));
    if (!choice) {
        return {};
    }
    if (!this->quorumSince) {
        this->quorumSince = now;
    }
    if (this->awaitsReports(group, *choice, now)) {
        this->discardLaggingReports(group);
        return {};
    }
    if (!this->tryPropose(now)) {
        return {};
    }
    const auto &report = choice->report;
    return {ProposePrimary{{group.view.id, group.view.term, UpstreamId(report.id), Incarnation(report.incarnation), LogPosition(report.position)}}};
}

auto GroupPromotion::awaitsReports(const GroupRecord &group, const Choice &choice, TimePoint now) const -> bool
{
    const auto waited = now - *this->quorumSince;
    if (!group.selfReplicating) {
        return choice.avoided && this->fenced.size() < group.view.members.size() && waited < choiceGrace;
    }
    const auto open = std::any_of(group.view.members.begin(), group.view.members.end(), [this](const membership::UpstreamView &member) {
        return this->suspectedPrimary != member.id && !this->fenced.contains(member.id) && !this->unreached.contains(member.id);
    });
    // While another member may still catch up, a member that is leaving or suspected is not chosen.
    if (this->isBehind(choice.report) || (choice.avoided && open)) {
        return waited < catchUpGrace;
    }
    // The former primary has stepped down and reported its position, so no further report can be higher.
    const auto avoid = this->membersToAvoid(group);
    const auto complete = std::any_of(this->fenced.begin(), this->fenced.end(), [&avoid](const auto &member) {
        return avoid.contains(member.first);
    });
    return !complete && open && waited < reportGrace;
}

auto GroupPromotion::discardLaggingReports(const GroupRecord &group) -> void
{
    if (!group.selfReplicating) {
        return;
    }
    std::erase_if(this->fenced, [this](const auto &member) {
        return this->isBehind(member.second);
    });
}

auto GroupPromotion::maintainTerm(const GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions
{
    const auto &primary = *group.view.primary;
    this->electionSince.reset();
    const auto leaving = this->isLeaving(group, primary);
    if (leaving && !this->leavingSince) {
        this->leavingSince = now;
    } else if (!leaving) {
        this->leavingSince.reset();
    }
    const auto reason = this->reasonToEnd(group, proxies.zones, now);
    this->inTransition = reason || leaving || !this->suspicions.empty() || !this->isPrimary(primary, this->term, group.primaryIncarnation);
    // No backoff for a leaving member: it ends after a few seconds and does not flap.
    const auto leavesSoon = group.selfReplicating && reason == TermEnd::Leaving;
    if (reason && (leavesSoon || this->backoff.allows(now))) {
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
        return this->tryOrder(primary->id, Order::Promote, this->term, now) ? Actions{promoteOf(group, *primary)} : Actions();
    }
    auto actions = Actions();
    if (group.selfReplicating) {
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
