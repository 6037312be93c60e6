#include "sapphirespool/Decisions/groupscheduler.h"

#include <algorithm>
#include <cassert>

namespace sapphirespool::decisions
{

namespace
{

/// Retry delay while admission control, which estimates waits, is disabled.
constexpr auto defaultRetryAfter = std::chrono::milliseconds(1000);
/// Multiple of its equal share of the queue that a caller may hold. It is enforced once the queue is half full or the expected wait
/// reaches unenforcedWaitFraction of the wait limit.
constexpr std::size_t overShareFactor = 2;
/// Fraction of the wait limit below which callers' shares of the queue are not enforced.
constexpr auto unenforcedWaitFraction = 0.1;
/// Writes that the primary serves for each current read, from the lane weights 8, 4 and 1.
constexpr std::size_t writesPerCurrentRead = 2;
/// Minimum fraction of the primary's starts for reads that accept stale data, from the lane weights 8, 4 and 1.
constexpr auto minTolerantFraction = 1.0 / 13;
/// One in this many reads that a brownout sheds is admitted, so that no class of reads starves.
constexpr std::uint64_t admittedReadInterval = 10;

auto scaled(Duration duration, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

auto GroupScheduler::entriesAheadOnPrimary(const CallerId &caller, Lane lane, TimePoint now) const -> std::size_t
{
    const auto own = this->queue(lane).entriesAhead(caller, this->slotTimes[static_cast<std::size_t>(lane)].mean(), now);
    const auto writes = this->queue(Lane::Write).size();
    const auto reads = this->queue(Lane::CurrentRead).size();
    switch (lane) {
    case Lane::Write:
        return own + std::min(reads, (own + 1) / writesPerCurrentRead);
    case Lane::CurrentRead:
        return own + std::min(writes, (own + 1) * writesPerCurrentRead);
    case Lane::TolerantRead:
        return writes + reads + static_cast<std::size_t>(static_cast<double>(own) / this->tolerantFractionOnPrimary());
    }
    return own;
}

auto GroupScheduler::tolerantFractionOnPrimary() const -> double
{
    return std::max(1.0 - this->primaryOnlyFraction, minTolerantFraction);
}

auto GroupScheduler::usableReplicaSlots(const Work &work, TimePoint now) const -> std::uint32_t
{
    auto slots = std::uint32_t{0};
    for (const auto &member : this->members) {
        if (!this->isPrimary(*member) && this->replicaServes(work, *member, now)) {
            slots += member->usableSlots(now);
        }
    }
    return slots;
}

auto GroupScheduler::estimate(const Work &work, Lane lane, TimePoint now) const -> Estimate
{
    const auto service = this->slotTimes[static_cast<std::size_t>(lane)].mean();
    const auto replicaSlots = lane == Lane::TolerantRead ? this->usableReplicaSlots(work, now) : 0U;
    if (replicaSlots > 0) {
        const auto entriesAhead = this->queue(lane).entriesAhead(work.caller, service, now);
        const auto spacing = service / replicaSlots;
        const auto anyFreeSlot = std::any_of(this->members.begin(), this->members.end(), [now](const auto &member) {
            return member->hasFreeSlot(now);
        });
        return {.wait = spacing * (entriesAhead + (anyFreeSlot ? 0 : 1)), .spacing = spacing};
    }
    const auto *const primary = this->group.primaryMember();
    if (primary == nullptr) {
        const auto elapsed = this->primaryLostAt ? now - *this->primaryLostAt : Duration::zero();
        // A promotion may take longer than expected, so at least half of the expected time is assumed to remain.
        const auto gap = std::max<Duration>(this->settings.admission.expectedPromotionTime - elapsed, this->settings.admission.expectedPromotionTime / 2);
        return {.wait = gap + service * this->entriesAheadOnPrimary(work.caller, lane, now), .spacing = service};
    }
    const auto state = std::find_if(this->members.begin(), this->members.end(), [this](const auto &member) {
        return this->isPrimary(*member);
    });
    const auto slots = std::max(1U, (*state)->usableSlots(now));
    const auto entriesAhead = this->entriesAheadOnPrimary(work.caller, lane, now) + ((*state)->hasFreeSlot(now) ? 0 : 1);
    const auto spacing = service / slots;
    const auto keyWaiters = lane == Lane::Write ? this->waitersByKey.find(work.key) : this->waitersByKey.end();
    if (keyWaiters != this->waitersByKey.end()) {
        // Writes on one key run one after another, regardless of free slots.
        return {.wait = std::max(spacing * entriesAhead, service * (keyWaiters->second.size() + 1)), .spacing = service};
    }
    return {.wait = spacing * entriesAhead, .spacing = spacing};
}

auto GroupScheduler::shedByBrownout(const Work &work, TimePoint now) -> bool
{
    // The read needs no primary if a replica is recent enough by age: once it has applied the session's position, it serves the read.
    auto ageOnly = work;
    ageOnly.needed.reset();
    if (this->brownout.admits(work.maxAge) || this->anyReplicaServes(ageOnly, now)) {
        return false;
    }
    ++this->brownoutReads;
    return this->brownoutReads % admittedReadInterval != 0;
}

auto GroupScheduler::exceedsCallerShare(const Work &work, Lane lane, const Estimate &estimate, Duration budget) const -> bool
{
    // In FIFO order the backlog of a hot caller delays all callers. Limiting its share of the queue bounds that delay, and the
    // refusals go to the caller that causes it.
    const auto &laneQueue = this->queue(lane);
    const auto own = laneQueue.sizeOf(work.caller);
    if (own < 2 || estimate.wait < scaled(budget, unenforcedWaitFraction)) {
        return false;
    }
    const auto callerShare = budget * overShareFactor / (laneQueue.activeCallers() + 1);
    return estimate.spacing * own >= callerShare;
}

auto GroupScheduler::admit(const Work &work, Lane lane, const Estimate &estimate, TimePoint now) -> bool
{
    const auto &admission = this->settings.admission;
    const auto allowed = work.deadline - now;
    const auto service = this->slotTimes[static_cast<std::size_t>(lane)].mean();
    if (service > allowed) {
        return false;
    }
    if (lane == Lane::TolerantRead && this->shedByBrownout(work, now)) {
        return false;
    }
    const auto budget = std::min(scaled(allowed, admission.waitFraction), allowed - service);
    auto &reservations = this->retryReservations[static_cast<std::size_t>(lane)];
    if (reservations.takeReservation(work.caller, now)) {
        return estimate.wait <= std::min(scaled(allowed, admission.reservedWaitFraction), allowed - service);
    }
    if (estimate.wait > budget || this->exceedsCallerShare(work, lane, estimate, budget)) {
        return false;
    }
    if (estimate.wait <= scaled(budget, admission.unreservedFraction)) {
        return true;
    }
    return estimate.wait + estimate.spacing * reservations.countDue(now + budget) <= budget;
}

auto GroupScheduler::queueLimitRefusal(const Work &work, Lane lane, std::uint32_t queueLimit) const -> std::optional<RefusalReason>
{
    const auto found = this->waitingByService.find(work.service);
    const auto waitingNow = found == this->waitingByService.end() ? 0U : found->second;
    if (waitingNow >= queueLimit) {
        return RefusalReason::QueueFull;
    }
    // A caller over its share is refused before the queue is full. Admitted work is never evicted in favour of another caller's.
    const auto &laneQueue = this->queue(lane);
    const auto callerShare = std::max<std::size_t>(1, overShareFactor * queueLimit / (laneQueue.activeCallers() + 1));
    const auto fair = this->settings.queue.discipline != QueueDiscipline::Fifo;
    if (fair && waitingNow >= queueLimit / 2 && laneQueue.sizeOf(work.caller) >= callerShare) {
        return RefusalReason::CallerOverQuota;
    }
    return std::nullopt;
}

auto GroupScheduler::retryAfter(const Work &work, Lane lane, TimePoint now) -> std::optional<Duration>
{
    if (!this->settings.admission.enabled) {
        return defaultRetryAfter;
    }
    const auto estimate = this->estimate(work, lane, now);
    const auto allowed = std::max(work.deadline - now, Duration::zero());
    const auto budget = scaled(allowed, this->settings.admission.waitFraction);
    const auto earliest = now + std::max(estimate.wait - budget, estimate.spacing);
    const auto at = this->retryReservations[static_cast<std::size_t>(lane)].makeReservation(work.caller, earliest, estimate.spacing, now);
    return at - now;
}

auto GroupScheduler::refuse(const Work &work, Lane lane, RefusalReason reason, TimePoint now, DecisionSink &sink) -> void
{
    sink.refuse(work, reason, this->retryAfter(work, lane, now));
}

auto GroupScheduler::refuseWaiting(WorkId id, RefusalReason reason, TimePoint now, DecisionSink &sink) -> void
{
    const auto &entry = this->waiting.at(id);
    const auto work = entry.work;
    const auto lane = entry.lane;
    this->cancel(id, now, sink);
    this->refuse(work, lane, reason, now, sink);
}

auto GroupScheduler::expiryReason(const Waiting &waiting) const -> RefusalReason
{
    if (waiting.work.needed && waiting.work.needed->term > this->group.term) {
        return RefusalReason::StaleView;
    }
    if (this->members.empty()) {
        return RefusalReason::NoUpstream;
    }
    if (!this->group.primary && waiting.lane != Lane::TolerantRead) {
        return RefusalReason::NoPrimary;
    }
    return RefusalReason::DeadlineExceeded;
}

auto GroupScheduler::expire(TimePoint now, DecisionSink &sink) -> void
{
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const auto id = this->expiries.begin()->second;
        this->refuseWaiting(id, this->expiryReason(this->waiting.at(id)), now, sink);
    }
}

} // namespace sapphirespool::decisions
