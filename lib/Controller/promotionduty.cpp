#include "sapphirespool/Controller/promotionduty.h"

#include <utility>

namespace sapphirespool::controller
{

PromotionDuty::PromotionDuty(VmId self)
    : self(std::move(self))
{
}

auto PromotionDuty::note(const state::DutyGrant &grant, TimePoint now) -> bool
{
    if (grant.number == this->newest.number) {
        return false;
    }
    const auto former = std::exchange(this->newest, grant);
    this->seen = now;
    const auto isOwn = grant.holder == this->self && this->proposal && this->proposal->number == grant.number;
    this->began = isOwn ? std::optional(this->proposal->first) : std::nullopt;
    const auto isOther = former.holder != grant.holder;
    // Grants that this VM has not applied, for example before a restart, may also have transferred the duty.
    if ((isOther && former.number != 0) || grant.number > former.number + 1) {
        this->lastTransfer = now;
    }
    return isOther;
}

auto PromotionDuty::heldUntil(std::uint64_t leadership) const -> TimePoint
{
    return this->began && this->newest.leadership == leadership ? *this->began + dutyLength : TimePoint::min();
}

auto PromotionDuty::isHeld(std::uint64_t leadership, TimePoint now) const -> bool
{
    return now < this->heldUntil(leadership);
}

auto PromotionDuty::isWanted(std::uint64_t leadership, TimePoint now) const -> bool
{
    const auto isInFlight = this->proposal && this->proposal->number > this->newest.number && now - this->proposal->last < dutyProposalRetry;
    return !isInFlight && (!this->isHeld(leadership, now) || now - *this->began >= dutyRenewal);
}

auto PromotionDuty::mayTake(Duration timeSinceContact, TimePoint now) const -> bool
{
    const auto isFree = this->newest.number == 0 || this->newest.holder == this->self || this->age(now) >= dutyHandover;
    // VMs with a bad network path consider each other failed. The duty would then alternate with the leadership.
    const auto justTransferred = this->lastTransfer && now - *this->lastTransfer < dutyHandover;
    return isFree || (timeSinceContact >= holderLostAfter && !justTransferred);
}

auto PromotionDuty::proposed(TimePoint now) -> void
{
    const auto next = this->newest.number + 1;
    const auto isRepeat = this->proposal && this->proposal->number == next;
    // Whichever copy is committed, others may have seen it at any time since the first proposal.
    this->proposal = Proposal{next, isRepeat ? this->proposal->first : now, now};
}

auto PromotionDuty::grant() const -> const state::DutyGrant &
{
    return this->newest;
}

auto PromotionDuty::age(TimePoint now) const -> Duration
{
    return now - this->seen;
}

} // namespace sapphirespool::controller
