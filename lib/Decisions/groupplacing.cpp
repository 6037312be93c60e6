#include "sapphirespool/Decisions/freshness.h"
#include "sapphirespool/Decisions/groupscheduler.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::decisions
{

namespace
{

/// Weights of the lanes on the primary. Writes are preferred to reads, and reads that accept stale data come last. Each lane still
/// gets at least a thirteenth of the slots while it has waiting work, so none starves.
constexpr auto laneWeights = std::to_array<double>({8, 4, 1});
/// Smoothing weight; the average follows a change of the load within about 64 starts.
constexpr auto primaryOnlyFractionWeight = 1.0 / 64;
static_assert(laneWeights.size() == laneCount);

} // namespace

auto GroupScheduler::isPrimary(const UpstreamState &upstream) const -> bool
{
    return this->group.primary == upstream.view.id;
}

auto GroupScheduler::replicaServes(const Work &work, const UpstreamState &upstream, TimePoint now) const -> bool
{
    if (upstream.usableSlots(now) == 0 || this->ejected.contains(upstream.view.id)) {
        return false;
    }
    const auto age = upstream.age(now);
    if (!age || *age > work.maxAge) {
        return false;
    }
    const auto &seen = *upstream.observation;
    if (holdsDiscardedEntries(this->group, seen.term, seen.applied)) {
        return false;
    }
    return !work.needed || covers(this->group, seen.term, seen.applied, *work.needed);
}

auto GroupScheduler::anyReplicaServes(const Work &work, TimePoint now) const -> bool
{
    return std::any_of(this->members.begin(), this->members.end(), [this, &work, now](const auto &member) {
        return !this->isPrimary(*member) && this->replicaServes(work, *member, now);
    });
}

auto GroupScheduler::primaryServesTolerant(const Waiting &waiting, const UpstreamState &primary, TimePoint now) const -> bool
{
    if (!this->settings.routing.enabled) {
        return !this->anyReplicaServes(waiting.work, now);
    }
    // Without a usable replica the lane weights apply; admission has already shed reads according to the brownout level.
    if (!this->anyReplicaServes(waiting.work, now)) {
        return true;
    }
    if (now < waiting.primaryAllowedAt || !this->brownout.admits(waiting.work.maxAge)) {
        return false;
    }
    // One slot of the primary stays free for writes: a read that a replica could serve must not make a write wait.
    const auto usableSlots = primary.usableSlots(now);
    return usableSlots < 2 || primary.running + 1 < usableSlots;
}

auto GroupScheduler::mayRun(const Waiting &waiting, const UpstreamState &upstream, TimePoint now) const -> bool
{
    const auto &work = waiting.work;
    if (!this->guard.admits(work, upstream.view.id, upstream.usableSlots(now), upstream.running, now)) {
        return false;
    }
    if (!this->isPrimary(upstream)) {
        return waiting.lane == Lane::TolerantRead && this->replicaServes(work, upstream, now);
    }
    // A session that has observed a later term than this view's must not read from what may be the former primary.
    if (work.needed && work.needed->term > this->group.term) {
        return false;
    }
    return waiting.lane != Lane::TolerantRead || this->primaryServesTolerant(waiting, upstream, now);
}

auto GroupScheduler::expectedLatency(const UpstreamState &upstream) const -> double
{
    const auto seconds = std::chrono::duration<double>(upstream.service.mean()).count();
    const auto slots = std::max(1U, upstream.share.slots);
    const auto zone = upstream.view.zone == this->settings.zone ? 0.0 : std::chrono::duration<double>(this->settings.routing.otherZoneLatency).count();
    return seconds * (1.0 + static_cast<double>(upstream.running) / slots) + 2 * zone;
}

auto GroupScheduler::dispatchWaiting(TimePoint now, DecisionSink &sink) -> void
{
    this->endEjections(now);
    this->updateBrownout(now);
    if (this->waiting.empty()) {
        return;
    }
    auto order = std::vector<UpstreamState *>();
    for (const auto &member : this->members) {
        order.push_back(member.get());
    }
    if (this->settings.routing.enabled) {
        std::stable_sort(order.begin(), order.end(), [this](const UpstreamState *left, const UpstreamState *right) {
            return this->expectedLatency(*left) < this->expectedLatency(*right);
        });
    } else if (!order.empty()) {
        ++this->roundRobinOffset;
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(this->roundRobinOffset % order.size()), order.end());
    }
    // Replicas come first, so that the primary serves only the reads that they cannot take.
    std::stable_partition(order.begin(), order.end(), [this](const UpstreamState *upstream) {
        return !this->isPrimary(*upstream);
    });
    auto placed = true;
    while (placed) {
        placed = false;
        for (auto *const upstream : order) {
            placed = this->startNextOn(*upstream, now, sink) || placed;
        }
    }
}

auto GroupScheduler::startNextOn(UpstreamState &upstream, TimePoint now, DecisionSink &sink) -> bool
{
    if (!upstream.hasFreeSlot(now)) {
        return false;
    }
    const auto entry = this->popFor(upstream, now);
    if (!entry) {
        return false;
    }
    this->startOn(upstream, entry->id, now, sink);
    return true;
}

auto GroupScheduler::laneOrder() const -> std::vector<Lane>
{
    auto lanes = std::vector<Lane>{Lane::Write, Lane::CurrentRead, Lane::TolerantRead};
    std::erase_if(lanes, [this](Lane lane) {
        return this->queue(lane).size() == 0;
    });
    std::stable_sort(lanes.begin(), lanes.end(), [this](Lane left, Lane right) {
        if (this->settings.classWeights) {
            return this->laneVirtualTimes[static_cast<std::size_t>(left)] < this->laneVirtualTimes[static_cast<std::size_t>(right)];
        }
        return this->waiting.at(this->queue(left).front().id).since < this->waiting.at(this->queue(right).front().id).since;
    });
    return lanes;
}

auto GroupScheduler::popFor(UpstreamState &upstream, TimePoint now) -> std::optional<QueueEntry>
{
    if (!this->isPrimary(upstream)) {
        return this->popFromLane(Lane::TolerantRead, upstream, now);
    }
    for (const auto lane : this->laneOrder()) {
        const auto entry = this->popFromLane(lane, upstream, now);
        if (!entry) {
            continue;
        }
        const auto index = static_cast<std::size_t>(lane);
        this->primaryOnlyFraction += ((lane == Lane::TolerantRead ? 0.0 : 1.0) - this->primaryOnlyFraction) * primaryOnlyFractionWeight;
        this->laneVirtualTimes[index] += std::chrono::duration<double>(this->slotTimes[index].mean()).count() / laneWeights[index];
        return entry;
    }
    return std::nullopt;
}

auto GroupScheduler::popFromLane(Lane lane, UpstreamState &upstream, TimePoint now) -> std::optional<QueueEntry>
{
    const auto eligible = [this, &upstream, now](WorkId id) {
        return this->mayRun(this->waiting.at(id), upstream, now);
    };
    return this->queue(lane).pop(eligible, this->slotTimes[static_cast<std::size_t>(lane)].mean(), now);
}

auto GroupScheduler::startOn(UpstreamState &upstream, WorkId id, TimePoint now, DecisionSink &sink) -> void
{
    auto entry = this->removeWaiting(id);
    assert(upstream.running < upstream.usableSlots(now) && "the upstream has a free slot");
    assert((this->isPrimary(upstream) || entry.lane == Lane::TolerantRead) && "only reads that accept stale data go to a replica");
    ++upstream.running;
    this->guard.started(entry.work, upstream.view.id, now);
    sink.start(entry.work, upstream.view.id);
    const auto expected = this->slotTimes[static_cast<std::size_t>(entry.lane)].mean();
    this->running.emplace(id, Running{std::move(entry.work), entry.lane, upstream.view.id, now, expected});
}

auto GroupScheduler::updateBrownout(TimePoint now) -> void
{
    auto wait = Duration::zero();
    for (const auto lane : {Lane::Write, Lane::CurrentRead}) {
        if (this->queue(lane).size() > 0) {
            wait = std::max(wait, now - this->waiting.at(this->queue(lane).front().id).since);
        }
    }
    this->brownout.observe(wait, now);
}

} // namespace sapphirespool::decisions
