#include "sapphirespool/Decisions/fairqueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <string>
#include <utility>

namespace sapphirespool::decisions
{

namespace
{

/// Pushes between two sweeps of idle flows, in addition to one per flow; the amortized cost of a sweep per push is constant.
constexpr std::size_t sweepInterval = 4096;
/// Factor on the number of waiting entries that accounts for later arrivals which are served first: at most as many are assumed.
constexpr std::size_t laterArrivalFactor = 2;
/// Factor on the wait of a caller above the mean: the others are assumed to use three quarters of the capacity, so a quarter remains.
constexpr std::size_t aboveMeanSlowdown = 4;
/// Attained service, in seconds, below which the record of a caller without entries is removed.
constexpr double minRetainedService = 0.001;

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FairQueue::FairQueue(QueueSettings settings, LevelOf relativeLevel)
    : settings(settings)
    , relativeLevel(std::move(relativeLevel))
{
    assert((settings.discipline != QueueDiscipline::RelativeAttained || this->relativeLevel) && "relative levels require a level function");
}

auto FairQueue::usesLevels() const -> bool
{
    return this->settings.discipline == QueueDiscipline::LeastAttained || this->settings.discipline == QueueDiscipline::RelativeAttained;
}

auto FairQueue::attained(const Caller &caller, TimePoint now) const -> double
{
    const auto halfLives = seconds(now - caller.attainedAt) / seconds(this->settings.attainedHalfLife);
    return caller.attained * std::exp2(-std::max(0.0, halfLives));
}

auto FairQueue::levelOf(const CallerId &caller, TimePoint now) const -> std::uint32_t
{
    if (this->settings.discipline == QueueDiscipline::RelativeAttained) {
        return std::min(this->settings.levels - 1, this->relativeLevel(caller, now));
    }
    const auto found = this->callers.find(caller);
    const auto service = found == this->callers.end() ? 0.0 : this->attained(found->second, now);
    auto threshold = seconds(this->settings.firstThreshold);
    auto level = std::uint32_t{0};
    while (level + 1 < this->settings.levels && service > threshold) {
        threshold *= this->settings.thresholdFactor;
        ++level;
    }
    return level;
}

auto FairQueue::flowOf(const CallerId &caller, TimePoint now) const -> FlowId
{
    switch (this->settings.discipline) {
    case QueueDiscipline::Fifo:
        return FlowId();
    case QueueDiscipline::FairQueueing:
        return caller;
    case QueueDiscipline::LeastAttained:
    case QueueDiscipline::RelativeAttained:
        return FlowId(std::to_string(this->levelOf(caller, now)));
    }
    return FlowId();
}

auto FairQueue::activate(const FlowId &id, Flow &flow) -> void
{
    // A flow that was idle starts at the current virtual time; otherwise it could claim all its unused time at once.
    flow.virtualTime = std::max(flow.virtualTime, this->virtualNow);
    this->order.emplace(flow.virtualTime, id);
}

auto FairQueue::advance(const FlowId &id, Flow &flow, double amount) -> void
{
    const auto active = !flow.entries.empty();
    if (active) {
        this->order.erase({flow.virtualTime, id});
    }
    flow.virtualTime += amount / flow.weight;
    if (active) {
        this->order.emplace(flow.virtualTime, id);
    }
}

auto FairQueue::countEntry(const CallerId &caller) -> void
{
    auto &entries = this->callers[caller].entries;
    this->callersByEntries.erase({entries, caller});
    ++entries;
    this->callersByEntries.emplace(entries, caller);
}

auto FairQueue::uncountEntry(const CallerId &caller) -> void
{
    auto &entries = this->callers[caller].entries;
    assert(entries > 0 && "the caller has a counted entry");
    this->callersByEntries.erase({entries, caller});
    --entries;
    if (entries > 0) {
        this->callersByEntries.emplace(entries, caller);
    }
}

auto FairQueue::push(const QueueEntry &entry, TimePoint now) -> void
{
    this->removeIdle(now);
    const auto id = this->flowOf(entry.caller, now);
    auto &flow = this->flows[id];
    if (this->usesLevels()) {
        flow.weight = std::pow(this->settings.thresholdFactor, -static_cast<double>(this->levelOf(entry.caller, now)));
    }
    flow.entries.push_back(entry);
    if (flow.entries.size() == 1) {
        this->activate(id, flow);
    }
    this->countEntry(entry.caller);
    ++this->count;
}

auto FairQueue::removeAt(const FlowId &id, Flow &flow, std::size_t index) -> QueueEntry
{
    const auto entry = flow.entries[index];
    flow.entries.erase(flow.entries.begin() + static_cast<std::ptrdiff_t>(index));
    if (flow.entries.empty()) {
        this->order.erase({flow.virtualTime, id});
    }
    this->uncountEntry(entry.caller);
    --this->count;
    return entry;
}

auto FairQueue::requeueAtCurrentLevel(const FlowId &id, Flow &flow, TimePoint now) -> bool
{
    // A burst is queued before its first statement has ended and its cost is known; without this step the whole burst would
    // stay in the first level.
    const auto currentFlow = this->flowOf(flow.entries.front().caller, now);
    if (currentFlow == id) {
        return false;
    }
    const auto entry = this->removeAt(id, flow, 0);
    this->push(entry, now);
    return true;
}

auto FairQueue::pop(const std::function<bool(WorkId)> &eligible, Duration expectedCost, TimePoint now) -> std::optional<QueueEntry>
{
    if (this->usesLevels()) {
        for (auto step = std::size_t{0}; step < scanLimit && !this->order.empty(); ++step) {
            const auto id = this->order.begin()->second;
            if (!this->requeueAtCurrentLevel(id, this->flows.at(id), now)) {
                break;
            }
        }
    }
    const auto perFlow = this->settings.discipline == QueueDiscipline::FairQueueing ? std::size_t{1} : scanLimit;
    auto scanned = std::size_t{0};
    for (const auto &[virtualTime, id] : this->order) {
        auto &flow = this->flows.at(id);
        const auto last = std::min(flow.entries.size(), perFlow);
        for (auto index = std::size_t{0}; index < last && scanned < scanLimit; ++index, ++scanned) {
            if (!eligible(flow.entries[index].id)) {
                continue;
            }
            this->virtualNow = std::max(this->virtualNow, virtualTime);
            const auto flowId = id;
            const auto entry = this->removeAt(flowId, flow, index);
            this->advance(flowId, flow, seconds(expectedCost));
            return entry;
        }
        if (scanned >= scanLimit) {
            break;
        }
    }
    return std::nullopt;
}

auto FairQueue::front() const -> const QueueEntry &
{
    assert(!this->order.empty() && "the queue is not empty");
    return this->flows.at(this->order.begin()->second).entries.front();
}

auto FairQueue::erase(const QueueEntry &entry) -> void
{
    const auto remove = [this, &entry](const FlowId &id) {
        const auto found = this->flows.find(id);
        if (found == this->flows.end()) {
            return false;
        }
        auto &entries = found->second.entries;
        const auto position = std::find_if(entries.begin(), entries.end(), [&entry](const QueueEntry &other) {
            return other.id == entry.id;
        });
        if (position == entries.end()) {
            return false;
        }
        this->removeAt(id, found->second, static_cast<std::size_t>(position - entries.begin()));
        return true;
    };
    if (this->settings.discipline == QueueDiscipline::FairQueueing) {
        remove(entry.caller);
        return;
    }
    if (this->settings.discipline == QueueDiscipline::Fifo) {
        remove(FlowId());
        return;
    }
    for (auto level = std::uint32_t{0}; level < this->settings.levels; ++level) {
        if (remove(FlowId(std::to_string(level)))) {
            return;
        }
    }
}

auto FairQueue::charge(const CallerId &caller, Duration expected, Duration actual, TimePoint now) -> void
{
    if (this->settings.discipline == QueueDiscipline::Fifo) {
        return;
    }
    const auto difference = seconds(actual) - seconds(expected);
    auto &record = this->callers[caller];
    record.attained = this->attained(record, now) + seconds(actual);
    record.attainedAt = now;
    if (this->settings.discipline == QueueDiscipline::FairQueueing) {
        this->advance(caller, this->flows[caller], difference);
    }
}

auto FairQueue::size() const -> std::size_t
{
    return this->count;
}

auto FairQueue::sizeOf(const CallerId &caller) const -> std::size_t
{
    const auto found = this->callers.find(caller);
    return found == this->callers.end() ? 0 : found->second.entries;
}

auto FairQueue::entriesAheadByLevel(const CallerId &caller, TimePoint now) const -> std::size_t
{
    const auto own = this->levelOf(caller, now);
    auto higher = std::size_t{0};
    auto same = std::size_t{0};
    for (const auto &[virtualTime, id] : this->order) {
        const auto entries = this->flows.at(id).entries.size();
        const auto level = static_cast<std::uint32_t>(std::stoul(id.value()));
        higher += level < own ? entries : 0;
        same += level == own ? entries : 0;
    }
    if (own > 0) {
        return laterArrivalFactor * higher + aboveMeanSlowdown * same;
    }
    const auto lower = this->count - higher - same;
    return same + std::min(lower, same / this->settings.thresholdFactor);
}

auto FairQueue::entriesAhead(const CallerId &caller, Duration cost, TimePoint now) const -> std::size_t
{
    if (this->settings.discipline == QueueDiscipline::RelativeAttained) {
        return this->entriesAheadByLevel(caller, now);
    }
    if (this->settings.discipline != QueueDiscipline::FairQueueing) {
        return this->count;
    }
    const auto own = this->sizeOf(caller);
    const auto others = this->order.size() - (own > 0 ? 1 : 0);
    const auto flow = this->flows.find(caller);
    const auto debt = flow == this->flows.end() ? 0.0 : std::max(0.0, flow->second.virtualTime - this->virtualNow);
    const auto rounds = 1.0 + static_cast<double>(own) + debt / seconds(cost);
    const auto served = static_cast<double>(own) + static_cast<double>(others) * rounds;
    // Later arrivals of callers with fewer entries are also served first; their number is assumed not to exceed the waiting entries.
    return std::min(laterArrivalFactor * this->count, static_cast<std::size_t>(served));
}

auto FairQueue::activeCallers() const -> std::size_t
{
    return this->callersByEntries.size();
}

auto FairQueue::removeIdle(TimePoint now) -> void
{
    ++this->pushesSinceSweep;
    if (this->pushesSinceSweep < sweepInterval + this->flows.size()) {
        return;
    }
    this->pushesSinceSweep = 0;
    std::erase_if(this->flows, [this](const auto &item) {
        return item.second.entries.empty() && item.second.virtualTime <= this->virtualNow;
    });
    std::erase_if(this->callers, [this, now](const auto &item) {
        return item.second.entries == 0 && this->attained(item.second, now) < minRetainedService;
    });
}

} // namespace sapphirespool::decisions
