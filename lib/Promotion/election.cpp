// Election of the primary of a term: fences the members, and chooses among those that reported their log.
#include "sapphirespool/Promotion/grouppromotion.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace sapphirespool::promotion
{

namespace
{

using state::GroupRecord;

/// The first term in which a group can have a primary.
constexpr auto firstTermNumber = std::uint64_t{1};

auto fenceOf(const GroupRecord &group, const membership::UpstreamView &member, Order order) -> SendFence
{
    return {group.view.id, member.id, member.endpoint, {group.view.term.value()}, order};
}

/// \return whether replicas confirm the writes of \p group by rules of the platform
auto isConfirmedByPlatform(const GroupRecord &group) -> bool
{
    return group.selfReplicating && !group.acknowledgesAlone();
}

auto chooseIn(const GroupRecord &group, std::span<const Candidate> reports, const WriteHolders &holders) -> std::optional<Choice>
{
    if (!group.selfReplicating) {
        return chooseFromQuorum(reports, group.quorum());
    }
    return group.acknowledgesAlone() ? chooseHighest(reports) : chooseConfirmed(reports, holders);
}

} // namespace

auto GroupPromotion::elect(const GroupRecord &group, TimePoint now) -> Actions
{
    this->inTransition = true;
    auto actions = this->runElection(group, now);
    if (auto overdue = this->reportIfOverdue(group, now)) {
        actions.emplace_back(*std::move(overdue));
    }
    return actions;
}

auto GroupPromotion::runElection(const GroupRecord &group, TimePoint now) -> Actions
{
    const auto membersNeeded = group.selfReplicating ? 1 : group.quorum();
    if (group.view.term == Term(0) && this->liveCount(group, now) < membersNeeded) {
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
    this->discardFormerReports(group);
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
    return {ProposePrimary{{group.view.id, group.view.term, primary, this->incarnationOf(group, primary), LogPosition(), this->membersPaused(group)}}};
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
        const auto order = this->fenceOrderFor(group, member.id, now);
        if (this->needsFence(group, member.id, now) && this->tryOrder(member.id, order, group.view.term, now, retry)) {
            if (order == Order::Pause) {
                this->pauseOrdered.insert(member.id);
            }
            actions.emplace_back(fenceOf(group, member, order));
        }
    }
    return actions;
}

auto GroupPromotion::discardFormerReports(const GroupRecord &group) -> void
{
    // A restart ends the fence of a member whose platform keeps none: it may have confirmed further writes since.
    std::erase_if(this->fenced, [this, &group](const auto &member) {
        const auto isMember = group.view.findMember(member.first) != nullptr;
        return isMember && this->incarnationOf(group, member.first) != Incarnation(member.second.report.incarnation);
    });
}

auto GroupPromotion::needsFence(const GroupRecord &group, const UpstreamId &member, TimePoint now) const -> bool
{
    const auto found = this->fenced.find(member);
    // In an election that takes long, a member shows by a new report that it can still be chosen.
    if (found == this->fenced.end() || now - found->second.arrived >= reportRenewal) {
        return true;
    }
    if (isConfirmedByPlatform(group) && !this->isFinal(member, found->second)) {
        return true;
    }
    // A replica of a self-replicating group still receives what the former primary wrote before it stepped down.
    return group.selfReplicating && !found->second.paused && this->isBehind(found->second.report);
}

auto GroupPromotion::fenceOrderFor(const GroupRecord &group, const UpstreamId &member, TimePoint now) const -> Order
{
    const auto &primary = this->servedBy;
    if (!isConfirmedByPlatform(group) || member == primary || this->fenced.contains(primary)) {
        return Order::Fence;
    }
    // A pause would not last. While it receives, the member may reach the logs of the others and be chosen itself.
    if (this->mayResume(member, now)) {
        return Order::Fence;
    }
    // A primary that steps down gets the answers to its last writes if the replicas still receive them. One that cannot be told may go on
    // acknowledging writes as long as replicas receive them.
    const auto mayStepDown = group.view.findMember(primary) != nullptr && this->suspectedPrimary != primary && !this->unreached.contains(primary);
    return mayStepDown ? Order::Fence : Order::Pause;
}

auto GroupPromotion::isFinal(const UpstreamId &member, const FencedReport &report) const -> bool
{
    const auto primary = this->fenced.find(this->servedBy);
    const auto resume = this->resumes.find(member);
    const auto lasts = resume == this->resumes.end() || (resume->second.open == 0 && report.sent >= resume->second.lateUntil);
    return (report.paused && lasts) || (primary != this->fenced.end() && (&report == &primary->second || report.sent >= primary->second.arrived));
}

auto GroupPromotion::choose(const GroupRecord &group, TimePoint now) -> Actions
{
    const auto reports = this->candidates(group, now);
    auto choice = chooseIn(group, reports, this->holdersOf(group));
    auto missing = choice ? std::vector<UpstreamId>() : this->awaitedMembers(group, reports);
    if (!missing.empty() && haveLeft(group, missing)) {
        choice = chooseHighest(reports);
    } else if (!missing.empty() && haveAllReported(group, reports)) {
        choice = chooseHighest(reports, Standing::Suspected);
    }
    if (!choice) {
        auto waiting = this->reportAwaited(group, std::move(missing), now);
        if (auto late = this->reportLateOrders(group, now)) {
            waiting.emplace_back(*std::move(late));
        }
        return waiting;
    }
    if (!this->quorumSince) {
        this->quorumSince = now;
    }
    if (this->awaitsReports(group, *choice, now) || !this->tryPropose(now)) {
        return {};
    }
    const auto &report = choice->report;
    auto actions = Actions{ProposePrimary{
        {group.view.id, group.view.term, UpstreamId(report.id), Incarnation(report.incarnation), LogPosition(report.position), this->membersPaused(group)}}};
    if (!missing.empty()) {
        actions.emplace_back(ReportLostMembers{group.view.id, group.view.term, std::move(missing)});
    }
    return actions;
}

auto GroupPromotion::awaitedMembers(const GroupRecord &group, std::span<const Candidate> reports) const -> std::vector<UpstreamId>
{
    if (!isConfirmedByPlatform(group)) {
        return {};
    }
    const auto holders = this->holdersOf(group);
    if (const auto highest = chooseHighest(reports)) {
        return missingReports(highest->report, reports, holders);
    }
    auto members = holders.replicas;
    if (holders.primary != UpstreamId()) {
        members.push_back(holders.primary);
    }
    return members;
}

auto GroupPromotion::haveLeft(const GroupRecord &group, std::span<const UpstreamId> members) -> bool
{
    // Before the first choice, a member that is not known may still register.
    return group.lastPrimary != UpstreamId() && std::none_of(members.begin(), members.end(), [&group](const UpstreamId &member) {
               return group.view.findMember(member) != nullptr;
           });
}

auto GroupPromotion::haveAllReported(const GroupRecord &group, std::span<const Candidate> reports) -> bool
{
    const auto &members = group.view.members;
    return group.lastPrimary != UpstreamId() && std::all_of(members.begin(), members.end(), [reports](const membership::UpstreamView &member) {
               return std::any_of(reports.begin(), reports.end(), [&member](const Candidate &candidate) {
                   return candidate.report.id == member.id.value() && candidate.standing != Standing::Unusable && candidate.isFinal;
               });
           });
}

auto GroupPromotion::reportAwaited(const GroupRecord &group, std::vector<UpstreamId> members, TimePoint now) -> Actions
{
    if (now - this->termSeen < orderRetry || members == this->awaited) {
        return {};
    }
    this->awaited = members;
    return {ReportAwaitedMembers{group.view.id, group.view.term, std::move(members)}};
}

auto GroupPromotion::reportLateOrders(const GroupRecord &group, TimePoint now) -> std::optional<ReportLateOrders>
{
    auto late = ReportLateOrders{group.view.id, group.view.term};
    for (const auto &[id, resume] : this->resumes) {
        if (group.view.findMember(id) != nullptr && this->mayResume(id, now)) {
            late.members.push_back(id);
            late.remaining = std::max<Duration>(late.remaining, resume.lateUntil - now);
        }
    }
    if (!isConfirmedByPlatform(group) || now - this->termSeen < orderRetry || late.members == this->awaitedOrders) {
        return std::nullopt;
    }
    this->awaitedOrders = late.members;
    return late.members.empty() ? std::nullopt : std::optional(std::move(late));
}

auto GroupPromotion::holdersOf(const GroupRecord &group) const -> WriteHolders
{
    auto holders = WriteHolders{this->servedBy, group.departed, group.confirmations};
    for (const auto &member : group.view.members) {
        if (member.id != this->servedBy) {
            holders.replicas.push_back(member.id);
        }
    }
    const auto isListed = group.lastPrimary == this->servedBy || group.view.findMember(group.lastPrimary) != nullptr;
    if (group.lastPrimary != UpstreamId() && !isListed) {
        holders.replicas.push_back(group.lastPrimary);
    }
    // Before the first choice, members that have not registered yet may hold writes.
    const auto isFirst = group.lastPrimary == UpstreamId();
    while (isFirst && holders.replicas.size() < group.size) {
        holders.replicas.emplace_back();
    }
    return holders;
}

auto GroupPromotion::candidates(const GroupRecord &group, TimePoint now) const -> std::vector<Candidate>
{
    auto candidates = std::vector<Candidate>();
    for (const auto &[id, fenced] : this->fenced) {
        const auto isFinal = !isConfirmedByPlatform(group) || this->isFinal(id, fenced);
        // A member that will be paused reports again; one that cannot be has all that it confirms.
        if (isFinal || this->mayResume(id, now)) {
            candidates.push_back({fenced.report, this->standingOf(group, id, now), isFinal});
        }
    }
    const auto coversDepartures = this->departedUpTo && this->coveredDepartures == group.departed;
    for (const auto &id : coversDepartures ? group.departed : std::vector<UpstreamId>()) {
        if (!this->fenced.contains(id)) {
            auto report = *this->departedUpTo;
            report.id = id.value();
            candidates.push_back({std::move(report), Standing::Unusable});
        }
    }
    return candidates;
}

auto GroupPromotion::standingOf(const GroupRecord &group, const UpstreamId &member, TimePoint now) const -> Standing
{
    if (group.view.findMember(member) == nullptr || this->isOutOfContact(member, now)) {
        return Standing::Unusable;
    }
    if (this->suspectedPrimary == member) {
        return Standing::Suspected;
    }
    return this->isLeaving(group, member) ? Standing::Leaving : Standing::Eligible;
}

auto GroupPromotion::isOutOfContact(const UpstreamId &member, TimePoint now) const -> bool
{
    auto last = this->since;
    if (const auto *const state = this->members.find(member); state != nullptr && state->lastContact) {
        last = std::max(last, *state->lastContact);
    }
    if (const auto found = this->fenced.find(member); found != this->fenced.end()) {
        last = std::max(last, found->second.arrived);
    }
    return now - last >= this->contactTimeout;
}

auto GroupPromotion::awaitsReports(const GroupRecord &group, const Choice &choice, TimePoint now) const -> bool
{
    const auto waited = now - *this->quorumSince;
    if (!group.selfReplicating) {
        return choice.standing != Standing::Eligible && this->fenced.size() < group.view.members.size() && waited < choiceGrace;
    }
    const auto isPaused = this->fenced.at(UpstreamId(choice.report.id)).paused;
    if ((!isPaused && this->isBehind(choice.report)) || (choice.standing != Standing::Eligible && this->mayOvertake(group, choice, now))) {
        return waited < catchUpGrace;
    }
    // The former primary has stepped down and reported its position, so no further report can be higher.
    const auto isComplete = this->fenced.contains(this->servedBy);
    const auto isOpen = std::any_of(group.view.members.begin(), group.view.members.end(), [this](const membership::UpstreamView &member) {
        return this->suspectedPrimary != member.id && !this->fenced.contains(member.id) && !this->unreached.contains(member.id);
    });
    return !isComplete && isOpen && waited < reportGrace;
}

auto GroupPromotion::mayOvertake(const GroupRecord &group, const Choice &choice, TimePoint now) const -> bool
{
    return std::any_of(group.view.members.begin(), group.view.members.end(), [&](const membership::UpstreamView &member) {
        const auto report = this->fenced.find(member.id);
        const auto isPaused = report != this->fenced.end() && report->second.paused;
        const auto mayReport = member.id.value() != choice.report.id && !isPaused && !this->unreached.contains(member.id);
        return mayReport && this->standingOf(group, member.id, now) == Standing::Eligible;
    });
}

auto GroupPromotion::isBehind(const platform::PositionReport &report) const -> bool
{
    return std::any_of(this->fenced.begin(), this->fenced.end(), [&report](const auto &member) {
        return isAhead(member.second.report, report);
    });
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

} // namespace sapphirespool::promotion
