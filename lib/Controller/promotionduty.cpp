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
    // By grants that were not seen here, as those before a restart, the duty may have passed on too.
    if ((isOther && former.number != 0) || grant.number > former.number + 1) {
        this->passedOn = now;
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
    const auto isUnderWay = this->proposal && this->proposal->number > this->newest.number && now - this->proposal->last < dutyProposalLife;
    return !isUnderWay && (!this->isHeld(leadership, now) || now - *this->began >= dutyRenewal);
}

auto PromotionDuty::mayTake(Duration holderSilence, TimePoint now) const -> bool
{
    const auto isFree = this->newest.number == 0 || this->newest.holder == this->self || this->age(now) >= dutyHandover;
    // VMs that hear each other badly seem lost to each other. The duty would then pass to and fro as the lead does.
    const auto justPassedOn = this->passedOn && now - *this->passedOn < dutyHandover;
    return isFree || (holderSilence >= holderLostAfter && !justPassedOn);
}

auto PromotionDuty::proposed(TimePoint now) -> void
{
    const auto next = this->newest.number + 1;
    const auto isRepeat = this->proposal && this->proposal->number == next;
    // Whichever copy is committed, others may have seen it since the first was sent.
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
