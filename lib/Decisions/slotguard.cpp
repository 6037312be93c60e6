#include "sapphirespool/Decisions/slotguard.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace sapphirespool::decisions
{

namespace
{

/// Time without activity after which no slot is reserved for a kind of work.
constexpr auto activityWindow = std::chrono::seconds(1);
/// Half-life of recorded usage; long enough that a burst of a few statements does not make a caller hot.
constexpr auto usageHalfLife = std::chrono::seconds(2);
constexpr std::uint32_t highestUseLevel = 8;
/// Maximum number of caller records. Beyond it all are discarded, and a caller with long statements is classified as long again only
/// when one of them has ended.
constexpr std::size_t maxCallerRecords = 16'384;

} // namespace

SlotGuard::SlotGuard(BulkheadSettings settings)
    : settings(settings)
{
}

auto SlotGuard::isLong(const CallerId &caller) const -> bool
{
    const auto found = this->callers.find(caller);
    if (found == this->callers.end() || this->shortService.samples() == 0) {
        return false;
    }
    return found->second.length.mean() > this->shortService.mean() * this->settings.longFactor;
}

auto SlotGuard::decayed(double used, TimePoint usedAt, TimePoint now) -> double
{
    return used * std::exp2(-std::chrono::duration<double>(now - usedAt) / usageHalfLife);
}

auto SlotGuard::countActive(const CallerId &caller, TimePoint now) -> void
{
    if (now - this->activeWindowStart >= activityWindow) {
        this->previouslyActiveCallers = std::move(this->activeCallers);
        this->activeCallers.clear();
        this->activeWindowStart = now;
    }
    this->activeCallers.insert(caller);
}

auto SlotGuard::useLevel(const CallerId &caller, std::uint32_t spacing, TimePoint now) const -> std::uint32_t
{
    const auto active = std::max(this->activeCallers.size(), this->previouslyActiveCallers.size());
    const auto found = this->callers.find(caller);
    if (active < 2 || found == this->callers.end()) {
        return 0;
    }
    const auto own = decayed(found->second.used, found->second.usedAt, now);
    auto threshold = decayed(this->totalUsed, this->totalUsedAt, now) / static_cast<double>(active) * this->settings.hotFactor;
    auto level = std::uint32_t{0};
    while (own > threshold && level < highestUseLevel) {
        threshold *= spacing;
        ++level;
    }
    return level;
}

auto SlotGuard::isHot(const CallerId &caller, TimePoint now) const -> bool
{
    return this->useLevel(caller, 1, now) > 0;
}

auto SlotGuard::otherServicesActive(const ServiceId &service, TimePoint now) const -> std::uint32_t
{
    auto others = std::uint32_t{0};
    for (const auto &[other, seen] : this->serviceLastSeen) {
        if (other != service && now - seen < activityWindow) {
            ++others;
        }
    }
    return others;
}

auto SlotGuard::keyBusy(const Work &work) const -> bool
{
    if (!this->settings.enabled || work.key.empty() || work.access != Access::Write) {
        return false;
    }
    const auto found = this->keys.find(work.key);
    return found != this->keys.end() && found->second >= this->settings.writesPerKey;
}

auto SlotGuard::admits(const Work &work, const UpstreamId &upstream, std::uint32_t usableSlots, std::uint32_t running, TimePoint now) const -> bool
{
    if (!this->settings.enabled) {
        return true;
    }
    // With fair order alone a hot caller fills each slot that becomes available, and the others wait for a slot more often.
    if (usableSlots >= 2 && running + 1 >= usableSlots && this->isHot(work.caller, now)) {
        return false;
    }
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return true;
    }
    const auto &use = found->second;
    const auto shortWorkActive = this->shortLastSeen && now - *this->shortLastSeen < activityWindow;
    if (shortWorkActive && this->isLong(work.caller)) {
        const auto allowed = std::max(1U, static_cast<std::uint32_t>(usableSlots * this->settings.longFraction));
        if (use.longRunning >= allowed) {
            return false;
        }
    }
    const auto service = use.byService.find(work.service);
    if (service == use.byService.end()) {
        return true;
    }
    const auto others = this->otherServicesActive(work.service, now);
    const auto allowed = usableSlots > others ? usableSlots - others : 1U;
    return service->second < allowed;
}

auto SlotGuard::started(const Work &work, const UpstreamId &upstream, TimePoint now) -> void
{
    auto &use = this->upstreams[upstream];
    ++use.byService[work.service];
    this->serviceLastSeen[work.service] = now;
    if (this->isLong(work.caller)) {
        ++use.longRunning;
        this->longRunningWork.insert(work.id);
    }
    if (!work.key.empty() && work.access == Access::Write) {
        ++this->keys[work.key];
    }
}

auto SlotGuard::ended(const Work &work, const UpstreamId &upstream, Duration took, TimePoint now) -> void
{
    auto &use = this->upstreams[upstream];
    auto &serviceCount = use.byService[work.service];
    assert(serviceCount > 0 && "the work was started");
    --serviceCount;
    if (serviceCount == 0) {
        use.byService.erase(work.service);
    }
    if (this->longRunningWork.erase(work.id) > 0) {
        --use.longRunning;
    }
    if (!work.key.empty() && work.access == Access::Write) {
        const auto key = this->keys.find(work.key);
        assert(key != this->keys.end() && "the key was counted");
        --key->second;
        if (key->second == 0) {
            this->keys.erase(key);
        }
    }
    this->limitCallerRecords();
    auto &record = this->callers[work.caller];
    const auto seconds = std::chrono::duration<double>(took).count();
    record.length.record(took);
    record.used = decayed(record.used, record.usedAt, now) + seconds;
    record.usedAt = now;
    this->totalUsed = decayed(this->totalUsed, this->totalUsedAt, now) + seconds;
    this->totalUsedAt = now;
    this->countActive(work.caller, now);
    // The reference is the service time of short work; if it included long work, no work would be long relative to the mean.
    if (!this->isLong(work.caller)) {
        this->shortService.record(took);
        this->shortLastSeen = now;
    } else if (took < this->shortService.mean()) {
        this->shortService.record(took);
    }
}

auto SlotGuard::limitCallerRecords() -> void
{
    if (this->callers.size() > maxCallerRecords) {
        this->callers.clear();
    }
}

} // namespace sapphirespool::decisions
