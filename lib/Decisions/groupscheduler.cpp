#include "sapphirespool/Decisions/groupscheduler.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::decisions
{

namespace
{

/// Slot times affect the admission of many callers at once, so they are smoothed more than the estimate of a single upstream.
constexpr auto slotTimeWeight = 1.0 / 64;

auto makeQueues(const QueueSettings &settings, const SlotGuard &guard) -> std::array<FairQueue, laneCount>
{
    const auto level = [&guard, spacing = settings.thresholdFactor](const CallerId &caller, TimePoint now) {
        return guard.useLevel(caller, spacing, now);
    };
    return {FairQueue(settings, level), FairQueue(settings, level), FairQueue(settings, level)};
}

auto makeRetryReservations(const AdmissionSettings &settings) -> std::array<RetryReservations, laneCount>
{
    const auto reservations = RetryReservations(settings.longestRetryAfter, settings.reservationGrace);
    return {reservations, reservations, reservations};
}

} // namespace

auto laneOf(const Work &work) -> Lane
{
    if (work.access == Access::Write) {
        return Lane::Write;
    }
    return work.maxAge > std::chrono::milliseconds::zero() ? Lane::TolerantRead : Lane::CurrentRead;
}

GroupScheduler::GroupScheduler(const DispatcherSettings &settings)
    : settings(settings)
    , guard(settings.bulkhead)
    , queues(makeQueues(settings.queue, this->guard))
    , slotTimes{ServiceEstimate(slotTimeWeight), ServiceEstimate(slotTimeWeight), ServiceEstimate(slotTimeWeight)}
    , brownout(settings.brownout)
    , retryReservations(makeRetryReservations(settings.admission))
{
}

auto GroupScheduler::queue(Lane lane) -> FairQueue &
{
    return this->queues[static_cast<std::size_t>(lane)];
}

auto GroupScheduler::queue(Lane lane) const -> const FairQueue &
{
    return this->queues[static_cast<std::size_t>(lane)];
}

auto GroupScheduler::findUpstream(const UpstreamId &upstream) -> UpstreamState *
{
    const auto found = std::find_if(this->members.begin(), this->members.end(), [&upstream](const auto &member) {
        return member->view.id == upstream;
    });
    return found == this->members.end() ? nullptr : found->get();
}

auto GroupScheduler::setDefaultShare(UpstreamState &upstream) const -> void
{
    if (upstream.allocatorAssigned || !this->settings.staticShares) {
        return;
    }
    const auto divisor = static_cast<std::uint32_t>(std::max<std::size_t>(1, this->proxies));
    upstream.share.slots = std::max(1U, upstream.view.slots / divisor);
    upstream.share.connections = std::max(1U, upstream.view.connectionLimit / divisor);
}

auto GroupScheduler::groupChanged(const membership::GroupView &view, std::size_t proxies, TimePoint now, DecisionSink &sink) -> void
{
    const auto promoted = view.primary && (view.term != this->group.term || view.primary != this->group.primary);
    const auto firstView = this->members.empty();
    this->group = view;
    this->proxies = proxies;
    auto updatedMembers = std::vector<std::unique_ptr<UpstreamState>>();
    for (const auto &member : view.members) {
        const auto old = std::find_if(this->members.begin(), this->members.end(), [&member](const auto &candidate) {
            return candidate && candidate->view.id == member.id;
        });
        const auto restarted = old != this->members.end() && (*old)->view.incarnation != member.incarnation;
        if (old != this->members.end() && !restarted) {
            updatedMembers.push_back(std::move(*old));
            updatedMembers.back()->view = member;
        } else {
            updatedMembers.push_back(std::make_unique<UpstreamState>(this->settings, member));
            // Work sent before a restart, or before the member left the view for a while, still holds its slot until it ends.
            // If it were not counted, the member would receive more work than its share, and the count would underflow when it ends.
            updatedMembers.back()->running = this->runningOn(member.id);
            if (restarted) {
                updatedMembers.back()->share = (*old)->share;
                updatedMembers.back()->allocatorAssigned = (*old)->allocatorAssigned;
            }
            if (!firstView) {
                updatedMembers.back()->slowStart.begin(now);
            }
        }
        this->setDefaultShare(*updatedMembers.back());
        if (promoted && !firstView && view.primary == member.id) {
            updatedMembers.back()->slowStart.begin(now);
        }
    }
    this->members = std::move(updatedMembers);
    if (view.primary) {
        this->primaryLostAt.reset();
    } else if (!this->primaryLostAt) {
        this->primaryLostAt = now;
    }
    this->dispatchWaiting(now, sink);
}

auto GroupScheduler::runningOn(const UpstreamId &upstream) const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(this->running.begin(), this->running.end(), [&upstream](const auto &item) {
        return item.second.upstream == upstream;
    }));
}

auto GroupScheduler::submit(Work work, std::uint32_t queueLimit, TimePoint now, DecisionSink &sink) -> void
{
    assert(!this->waiting.contains(work.id) && !this->running.contains(work.id) && "work is submitted only once");
    this->expire(now, sink);
    const auto lane = laneOf(work);
    const auto estimate = this->estimate(work, lane, now);
    if (work.deadline <= now) {
        this->refuse(work, lane, RefusalReason::DeadlineExceeded, now, sink);
        return;
    }
    if (this->settings.admission.enabled && !this->admit(work, lane, estimate, now)) {
        const auto reason = this->group.primary || lane == Lane::TolerantRead ? RefusalReason::DeadlineUnreachable : RefusalReason::NoPrimary;
        this->refuse(work, lane, reason, now, sink);
        return;
    }
    if (const auto reason = this->queueLimitRefusal(work, lane, queueLimit)) {
        this->refuse(work, lane, *reason, now, sink);
        return;
    }
    this->enqueue(std::move(work), lane, now);
    this->dispatchWaiting(now, sink);
}

auto GroupScheduler::enqueue(Work work, Lane lane, TimePoint now) -> void
{
    auto entry = Waiting{.work = std::move(work), .lane = lane, .since = now};
    const auto &queued = entry.work;
    const auto allowed = queued.deadline - now;
    const auto service = this->slotTimes[static_cast<std::size_t>(lane)].mean();
    entry.latestStart = this->settings.admission.enabled && service < allowed ? queued.deadline - service : queued.deadline;
    const auto replicaWaitLimit = std::chrono::duration_cast<Duration>(allowed * this->settings.routing.replicaWaitFraction);
    entry.primaryAllowedAt = now + std::min<Duration>(replicaWaitLimit, this->settings.routing.maximumReplicaWait);
    const auto id = queued.id;
    ++this->waitingByService[queued.service];
    this->expiries.emplace(entry.latestStart, id);
    if (lane == Lane::TolerantRead) {
        this->primaryAllowedTimers.emplace(entry.primaryAllowedAt, id);
    }
    const auto queueEntry = QueueEntry{id, queued.caller};
    auto &waiters = this->waitersByKey;
    const auto isKeyedWrite = this->settings.bulkhead.enabled && !queued.key.empty() && lane == Lane::Write;
    if (isKeyedWrite && (this->guard.keyBusy(queued) || waiters.contains(queued.key))) {
        entry.waitsForKey = true;
        waiters[queued.key].push_back(id);
    } else {
        if (isKeyedWrite) {
            // Marks the key as taken: the next write on it waits outside the lane queue, where each pop() would only skip it.
            waiters[queued.key];
        }
        auto &laneQueue = this->queue(lane);
        if (laneQueue.size() == 0) {
            auto &own = this->laneVirtualTimes[static_cast<std::size_t>(lane)];
            own = std::max(own, *std::min_element(this->laneVirtualTimes.begin(), this->laneVirtualTimes.end()));
        }
        laneQueue.push(queueEntry, now);
    }
    this->waiting.emplace(id, std::move(entry));
}

auto GroupScheduler::removeWaiting(WorkId id) -> Waiting
{
    auto node = this->waiting.extract(id);
    assert(!node.empty() && "the work is waiting");
    auto entry = std::move(node.mapped());
    this->expiries.erase({entry.latestStart, id});
    this->primaryAllowedTimers.erase({entry.primaryAllowedAt, id});
    const auto service = this->waitingByService.find(entry.work.service);
    --service->second;
    if (service->second == 0) {
        this->waitingByService.erase(service);
    }
    return entry;
}

auto GroupScheduler::releaseKey(const std::string &key, TimePoint now) -> void
{
    const auto found = this->waitersByKey.find(key);
    if (found == this->waitersByKey.end()) {
        return;
    }
    if (found->second.empty()) {
        this->waitersByKey.erase(found);
        return;
    }
    const auto next = found->second.front();
    found->second.pop_front();
    auto &entry = this->waiting.at(next);
    entry.waitsForKey = false;
    this->queue(entry.lane).push({next, entry.work.caller}, now);
}

auto GroupScheduler::finished(WorkId id, WorkOutcome outcome, TimePoint now, DecisionSink &sink) -> bool
{
    auto node = this->running.extract(id);
    if (node.empty()) {
        return false;
    }
    const auto &ended = node.mapped();
    const auto took = now - ended.since;
    this->guard.ended(ended.work, ended.upstream, took, now);
    this->queue(ended.lane).charge(ended.work.caller, ended.expected, took, now);
    if (outcome == WorkOutcome::Answered || outcome == WorkOutcome::Rejected) {
        this->slotTimes[static_cast<std::size_t>(ended.lane)].record(took);
    }
    auto *const upstream = this->findUpstream(ended.upstream);
    if (upstream != nullptr) {
        assert(upstream->running > 0 && "the work holds a slot");
        --upstream->running;
        // The duration of a transaction depends more on its caller than on the upstream.
        if (!ended.work.transaction || outcome == WorkOutcome::Failed) {
            this->updateUpstreamHealth(*upstream, outcome, took, now);
        }
    }
    if (this->settings.bulkhead.enabled && ended.lane == Lane::Write && !ended.work.key.empty()) {
        this->releaseKey(ended.work.key, now);
    }
    this->dispatchWaiting(now, sink);
    return true;
}

auto GroupScheduler::cancel(WorkId id, TimePoint now, DecisionSink &sink) -> bool
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end()) {
        return false;
    }
    const auto entry = this->removeWaiting(id);
    if (entry.waitsForKey) {
        std::erase(this->waitersByKey.at(entry.work.key), id);
        return true;
    }
    this->queue(entry.lane).erase({id, entry.work.caller});
    if (this->settings.bulkhead.enabled && entry.lane == Lane::Write && !entry.work.key.empty() && !this->guard.keyBusy(entry.work)) {
        this->releaseKey(entry.work.key, now);
        this->dispatchWaiting(now, sink);
    }
    return true;
}

auto GroupScheduler::observe(const Observation &observation, TimePoint now, DecisionSink &sink) -> void
{
    auto *const upstream = this->findUpstream(observation.upstream);
    if (upstream == nullptr) {
        return;
    }
    const auto &previous = upstream->observation;
    // Answers may arrive out of order; an older report must not move the known position of an upstream back.
    const auto older = previous && (observation.term < previous->term || (observation.term == previous->term && observation.applied < previous->applied));
    if (older) {
        return;
    }
    upstream->observation = observation;
    upstream->observedAt = now;
    this->dispatchWaiting(now, sink);
}

auto GroupScheduler::shareChanged(const UpstreamId &upstream, Share share, TimePoint now, DecisionSink &sink) -> bool
{
    auto *const state = this->findUpstream(upstream);
    if (state == nullptr) {
        return false;
    }
    state->share = share;
    state->allocatorAssigned = true;
    this->dispatchWaiting(now, sink);
    return true;
}

auto GroupScheduler::medianPeerTime(const UpstreamState &upstream) const -> Duration
{
    auto means = std::vector<Duration>();
    for (const auto &member : this->members) {
        if (member.get() != &upstream && member->service.samples() >= this->settings.ejection.minimumSamples) {
            means.push_back(member->service.mean());
        }
    }
    if (means.empty()) {
        return Duration::zero();
    }
    std::sort(means.begin(), means.end());
    return means[(means.size() - 1) / 2];
}

auto GroupScheduler::updateUpstreamHealth(UpstreamState &upstream, WorkOutcome outcome, Duration took, TimePoint now) -> void
{
    if (outcome == WorkOutcome::Answered || outcome == WorkOutcome::Rejected) {
        upstream.service.record(took);
    }
    upstream.concurrency.record(outcome, upstream.share.slots);
    const auto shouldEject = upstream.ejection.record(outcome, upstream.service, this->medianPeerTime(upstream));
    // At least two members of the group are never ejected, however slow they are. Otherwise a common cause, such as a full disk
    // shared by all of them, would eject one after another and turn slow answers into none.
    const auto remaining = this->members.size() - this->ejected.size();
    if (shouldEject && !this->isPrimary(upstream) && !upstream.ejection.ejected(now) && remaining > 2) {
        upstream.ejection.eject(now);
        this->ejected.insert(upstream.view.id);
    }
}

auto GroupScheduler::endEjections(TimePoint now) -> void
{
    for (const auto &member : this->members) {
        if (!this->ejected.contains(member->view.id) || member->ejection.ejected(now)) {
            continue;
        }
        this->ejected.erase(member->view.id);
        member->service.reset();
        member->slowStart.begin(now);
    }
}

auto GroupScheduler::tick(TimePoint now, DecisionSink &sink) -> void
{
    this->expire(now, sink);
    this->dispatchWaiting(now, sink);
    while (!this->primaryAllowedTimers.empty() && this->primaryAllowedTimers.begin()->first <= now) {
        this->primaryAllowedTimers.erase(this->primaryAllowedTimers.begin());
    }
}

auto GroupScheduler::nextTick(TimePoint now) const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    const auto consider = [&next](std::optional<TimePoint> candidate) {
        if (candidate && (!next || *candidate < *next)) {
            next = candidate;
        }
    };
    if (!this->expiries.empty()) {
        consider(this->expiries.begin()->first);
    }
    if (!this->primaryAllowedTimers.empty()) {
        consider(this->primaryAllowedTimers.begin()->first);
    }
    if (this->waiting.empty()) {
        return next;
    }
    for (const auto &member : this->members) {
        consider(member->ejection.ejectionEnd(now));
        consider(member->slowStart.nextStep(member->share.slots, now));
    }
    return next;
}

auto GroupScheduler::demand(const UpstreamId &upstream) const -> std::optional<SlotDemand>
{
    const auto found = std::find_if(this->members.begin(), this->members.end(), [&upstream](const auto &member) {
        return member->view.id == upstream;
    });
    if (found == this->members.end()) {
        return std::nullopt;
    }
    const auto &state = **found;
    const auto tolerant = this->queue(Lane::TolerantRead).size();
    const auto primaryOnly = this->waiting.size() - tolerant;
    const auto waitingHere = this->isPrimary(state) ? primaryOnly : tolerant;
    const auto wanted = std::min<std::size_t>(state.running + waitingHere, state.view.slots);
    return SlotDemand{state.running, static_cast<std::uint32_t>(wanted)};
}

} // namespace sapphirespool::decisions
