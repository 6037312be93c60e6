#include "sapphirespool/Promotion/grouppromotion.h"

#include "sapphirespool/Promotion/timing.h"

#include <algorithm>

namespace sapphirespool::promotion
{

using state::GroupRecord;

auto GroupPromotion::isLeaving(const GroupRecord &group, const UpstreamId &member) const -> bool
{
    const auto *const state = this->members.find(member);
    const auto *const known = group.view.findMember(member);
    return (state != nullptr && state->leaving) || (known != nullptr && known->leaving);
}

auto GroupPromotion::hasSuccessor(const GroupRecord &group, TimePoint now) const -> bool
{
    return std::any_of(group.view.members.begin(), group.view.members.end(), [this, &group, now](const membership::UpstreamView &member) {
        return member.id != group.view.primary && !this->isLeaving(group, member.id) && this->members.isLive(member.id, now);
    });
}

auto GroupPromotion::reasonToEnd(const GroupRecord &group, std::size_t proxyZones, TimePoint now) const -> std::optional<TermEnd>
{
    const auto &primary = *group.view.primary;
    if (group.view.primaryMember() == nullptr) {
        return TermEnd::Gone;
    }
    // If no new primary can be chosen, ending the term would only stop what still runs.
    if (!this->canElect(group, now)) {
        return std::nullopt;
    }
    if (this->incarnationOf(group, primary) != group.primaryIncarnation) {
        return TermEnd::Restarted;
    }
    if (this->members.highestTerm() > group.view.term) {
        return TermEnd::Overtaken;
    }
    if (this->isSilent(group, now)) {
        return TermEnd::Silent;
    }
    if (this->isSuspected(proxyZones, now)) {
        return TermEnd::Suspected;
    }
    if (this->isReadyForHandover(group, now)) {
        return TermEnd::Leaving;
    }
    return std::nullopt;
}

auto GroupPromotion::isSilent(const GroupRecord &group, TimePoint now) const -> bool
{
    const auto &primary = *group.view.primary;
    // A new control leader has received no health reports yet. If it did not count from its election, it would replace every primary.
    const auto *const state = this->members.find(primary);
    const auto lastContact = state != nullptr && state->lastContact ? std::max(*state->lastContact, this->since) : this->since;
    const auto isSuspectedAtAll = this->lastSuspicion && now - *this->lastSuspicion < suspicionLifetime;
    const auto limit = group.selfReplicating && !isSuspectedAtAll ? this->contactTimeout * unsuspectedTimeoutFactor : this->contactTimeout;
    return now - lastContact >= limit;
}

auto GroupPromotion::isSuspected(std::size_t proxyZones, TimePoint now) const -> bool
{
    const auto recent = std::count_if(this->suspicions.begin(), this->suspicions.end(), [now](const auto &suspicion) {
        return now - suspicion.second < suspicionLifetime;
    });
    const auto needed = std::clamp(proxyZones, std::size_t{1}, suspectingZones);
    return static_cast<std::size_t>(recent) >= needed;
}

auto GroupPromotion::isReleased(const GroupRecord &group, const ProxyStanding &proxies, TimePoint now) const -> bool
{
    // A proxy that is partitioned together with the old primary still reads from it. A session that writes to the new primary through
    // another proxy and then moves to this one without its token would not read its own write. Therefore no member is promoted before
    // each proxy with a live lease has confirmed a view in which the old term has ended. The lease of a proxy that cannot confirm expires:
    // since this leader entered the term, leases are granted only for views of the term.
    //
    // The upstreams of a self-replicating group give this guarantee themselves: a replaced primary refuses writes and reads that must be
    // current, also from proxies without the new view, and position proofs bound the age of other reads.
    const auto firstTerm = group.view.history.size() <= 1;
    return firstTerm || group.selfReplicating || proxies.oldestServed >= this->termRevision || now - this->termSeen >= leaseLength;
}

auto GroupPromotion::isReadyForHandover(const GroupRecord &group, TimePoint now) const -> bool
{
    if (group.selfReplicating) {
        // The health reports of these members contain no position. The old primary reports it when it steps down, and the choice is
        // delayed until a replica has reached it.
        // An order to promote that is carried out after the primary has stepped down would make it acknowledge writes again.
        const auto serves = this->isPrimary(*group.view.primary, this->term, group.primaryIncarnation);
        const auto isSettled = (!this->choseLeaving || serves) && (group.acknowledgesAlone() || (serves && this->openPromotions == 0));
        return this->leavingSince && isSettled && this->hasSuccessor(group, now);
    }
    const auto *const primary = this->members.find(*group.view.primary);
    if (!this->leavingSince || primary == nullptr || !this->hasCaughtUp(group, *primary, now)) {
        return false;
    }
    const auto quiet = now - std::max(primary->positionChanged, *this->leavingSince) >= handoverQuiet;
    return quiet || now - *this->leavingSince >= handoverDeadline;
}

auto GroupPromotion::hasCaughtUp(const GroupRecord &group, const MemberState &primary, TimePoint now) const -> bool
{
    const auto late = now - *this->leavingSince >= handoverDeadline;
    return std::any_of(group.view.members.begin(), group.view.members.end(), [&](const membership::UpstreamView &member) {
        const auto *const state = this->members.find(member.id);
        const auto usable = member.id != *group.view.primary && state != nullptr && !state->leaving && this->members.isLive(member.id, now);
        return usable && (late || (state->lastTerm == primary.lastTerm && state->position >= primary.position));
    });
}

auto GroupPromotion::canElect(const GroupRecord &group, TimePoint now) const -> bool
{
    const auto live = this->liveCount(group, now);
    if (!group.selfReplicating) {
        return live >= group.quorum();
    }
    // The report of the primary alone tells each acknowledged write.
    const auto &primary = *group.view.primary;
    if (group.acknowledgesAlone() || this->members.isLive(primary, now)) {
        return live > 0;
    }
    const auto silent = std::count_if(group.view.members.begin(), group.view.members.end(), [this, &primary, now](const membership::UpstreamView &member) {
        return member.id != primary && !this->members.isLive(member.id, now);
    });
    const auto uncovered = this->coveredDepartures == group.departed ? 0 : group.departed.size();
    return live > 0 && static_cast<std::size_t>(silent) + uncovered < group.confirmations;
}

auto GroupPromotion::liveCount(const GroupRecord &group, TimePoint now) const -> std::size_t
{
    const auto live = std::count_if(group.view.members.begin(), group.view.members.end(), [this, now](const membership::UpstreamView &member) {
        return this->members.isLive(member.id, now);
    });
    return static_cast<std::size_t>(live);
}

auto GroupPromotion::incarnationOf(const GroupRecord &group, const UpstreamId &member) const -> Incarnation
{
    if (const auto *const state = this->members.find(member)) {
        return state->incarnation;
    }
    const auto *const known = group.view.findMember(member);
    return known == nullptr ? Incarnation() : known->incarnation;
}

auto GroupPromotion::isPrimary(const UpstreamId &member, Term inTerm, Incarnation incarnation) const -> bool
{
    const auto *const state = this->members.find(member);
    if (state == nullptr || state->role != platform::Role::Primary || state->incarnation != incarnation) {
        return false;
    }
    // Until a member answers an order of this leader, a role that it reports without a term is that of the term in which the leader was elected.
    return state->term == inTerm || (this->trustsRole && state->term == Term(0));
}

auto GroupPromotion::awaitsRole(const GroupRecord &group, TimePoint now) const -> bool
{
    // If a new leader did not wait for the first health report of a primary, it would order a promotion for each healthy group. Members that
    // store their term ignore or refuse such an order, but members on a platform without terms carry it out.
    const auto *const state = this->members.find(*group.view.primary);
    const auto isReported = state != nullptr && state->lastContact;
    return this->trustsRole && group.selfReplicating && !isReported && now - this->since < this->contactTimeout;
}

auto GroupPromotion::isFollowing(const UpstreamId &member, Term inTerm) const -> bool
{
    const auto *const state = this->members.find(member);
    return state != nullptr && state->term == inTerm && state->role == platform::Role::Replica;
}

} // namespace sapphirespool::promotion
