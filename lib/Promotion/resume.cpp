// Members of a self-replicating group that an election paused receive writes again.
//
// The order to receive writes has no term, and one that got no answer may be carried out seconds later, when the next election has paused the
// member again. The replicated state therefore names the members that may be paused, and among them those to which such an order
// may have been sent: any leader knows on whose pause it cannot rely. A member that was never paused is sent no order.
#include "followorder.h"

#include "sapphirespool/Promotion/grouppromotion.h"
#include "sapphirespool/Promotion/timing.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::promotion
{

using state::GroupRecord;
using state::ResumePhase;

auto GroupPromotion::inheritResumes(const GroupRecord &group, TimePoint now) -> void
{
    for (const auto &member : group.paused) {
        if (member.mayResume) {
            this->resumes[member.id].lateUntil = now + lateOrderLimit;
        }
    }
}

auto GroupPromotion::restartResumes() -> void
{
    for (auto &[id, resume] : this->resumes) {
        // The next election may pause the member again.
        resume.answered = false;
        resume.proposed.reset();
    }
}

auto GroupPromotion::noteResume(const OrderAnswered &event) -> void
{
    const auto found = this->resumes.find(event.member);
    if (found == this->resumes.end() || found->second.open == 0) {
        return;
    }
    auto &resume = found->second;
    --resume.open;
    if (event.report && event.report->id == event.member.value()) {
        resume.answered = true;
    } else {
        resume.lateUntil = std::max(resume.lateUntil, event.sent + lateOrderLimit);
    }
}

auto GroupPromotion::mayResume(const UpstreamId &member, TimePoint now) const -> bool
{
    const auto found = this->resumes.find(member);
    return found != this->resumes.end() && (found->second.open > 0 || now < found->second.lateUntil);
}

auto GroupPromotion::membersPaused(const GroupRecord &group) const -> std::vector<UpstreamId>
{
    const auto isConfirmedByPlatform = group.selfReplicating && !group.acknowledgesAlone();
    if (!this->mayHavePaused || !isConfirmedByPlatform) {
        return {this->pauseOrdered.begin(), this->pauseOrdered.end()};
    }
    auto all = std::vector<UpstreamId>();
    for (const auto &member : group.view.members) {
        all.push_back(member.id);
    }
    return all;
}

auto GroupPromotion::resumeMembers(const GroupRecord &group, const membership::UpstreamView &primary, TimePoint now) -> Actions
{
    auto actions = Actions();
    for (const auto &member : group.paused) {
        this->inTransition = true;
        if (auto action = this->resumeMember(group, member, primary, now)) {
            actions.push_back(*std::move(action));
        }
    }
    return actions;
}

auto GroupPromotion::resumeMember(const GroupRecord &group, const state::PausedMember &member, const membership::UpstreamView &primary, TimePoint now)
    -> std::optional<Action>
{
    auto &resume = this->resumes[member.id];
    const auto *const known = group.view.findMember(member.id);
    // The promotion has ended the pause of the primary.
    const auto receives = known == nullptr || member.id == primary.id || resume.answered;
    if (receives) {
        return this->mayResume(member.id, now) ? std::nullopt : this->proposeResume(group, member.id, ResumePhase::Done, now);
    }
    if (!member.mayResume) {
        return this->proposeResume(group, member.id, ResumePhase::Begun, now);
    }
    if (resume.open > 0 || !this->tryOrder(member.id, Order::Follow, this->term, now)) {
        return std::nullopt;
    }
    ++resume.open;
    resume.proposed.reset();
    return followOf(group, *known, primary);
}

auto GroupPromotion::proposeResume(const GroupRecord &group, const UpstreamId &member, ResumePhase phase, TimePoint now) -> std::optional<Action>
{
    auto &proposed = this->resumes[member].proposed;
    if (proposed && now - *proposed < proposalRetry) {
        return std::nullopt;
    }
    proposed = now;
    return ProposeResume{{group.view.id, member, phase}};
}

} // namespace sapphirespool::promotion
