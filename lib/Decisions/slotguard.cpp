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
constexpr auto remembered = std::chrono::seconds(1);
/// Half-life of recorded usage; long enough that a burst of a few statements does not make a caller hot.
constexpr auto usedHalfLife = std::chrono::seconds(2);
constexpr std::uint32_t highestUseLevel = 8;
/// Maximum number of caller records. Beyond it all are discarded and learned anew, which costs each caller one long statement.
constexpr std::size_t callersKept = 16'384;

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

auto SlotGuard::faded(double used, TimePoint usedAt, TimePoint now) -> double
{
    return used * std::exp2(-std::chrono::duration<double>(now - usedAt) / usedHalfLife);
}

auto SlotGuard::countActive(const CallerId &caller, TimePoint now) -> void
{
    if (now - this->activeSince >= remembered) {
        this->activeBefore = std::move(this->activeNow);
        this->activeNow.clear();
        this->activeSince = now;
    }
    this->activeNow.insert(caller);
}

auto SlotGuard::useLevel(const CallerId &caller, std::uint32_t spacing, TimePoint now) const -> std::uint32_t
{
    const auto active = std::max(this->activeNow.size(), this->activeBefore.size());
    const auto found = this->callers.find(caller);
    if (active < 2 || found == this->callers.end()) {
        return 0;
    }
    const auto own = faded(found->second.used, found->second.usedAt, now);
    auto threshold = faded(this->usedByAll, this->usedByAllAt, now) / static_cast<double>(active) * this->settings.hotFactor;
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
    for (const auto &[other, seen] : this->serviceSeen) {
        if (other != service && now - seen < remembered) {
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

auto SlotGuard::admits(const Work &work, const UpstreamId &upstream, std::uint32_t usable, std::uint32_t running, TimePoint now) const -> bool
{
    if (!this->settings.enabled) {
        return true;
    }
    // With fair order alone a hot caller fills each slot that becomes available, and the others wait for a slot more often.
    if (usable >= 2 && running + 1 >= usable && this->isHot(work.caller, now)) {
        return false;
    }
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return true;
    }
    const auto &use = found->second;
    const auto shortWorkAround = this->shortSeen && now - *this->shortSeen < remembered;
    if (shortWorkAround && this->isLong(work.caller)) {
        const auto allowed = std::max(1U, static_cast<std::uint32_t>(usable * this->settings.longFraction));
        if (use.longRunning >= allowed) {
            return false;
        }
    }
    const auto service = use.byService.find(work.service);
    if (service == use.byService.end()) {
        return true;
    }
    const auto others = this->otherServicesActive(work.service, now);
    const auto allowed = usable > others ? usable - others : 1U;
    return service->second < allowed;
}

auto SlotGuard::started(const Work &work, const UpstreamId &upstream, TimePoint now) -> void
{
    auto &use = this->upstreams[upstream];
    ++use.byService[work.service];
    this->serviceSeen[work.service] = now;
    if (this->isLong(work.caller)) {
        ++use.longRunning;
        this->longWork.insert(work.id);
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
    if (this->longWork.erase(work.id) > 0) {
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
    this->forgetCallers();
    auto &record = this->callers[work.caller];
    const auto seconds = std::chrono::duration<double>(took).count();
    record.length.record(took);
    record.used = faded(record.used, record.usedAt, now) + seconds;
    record.usedAt = now;
    this->usedByAll = faded(this->usedByAll, this->usedByAllAt, now) + seconds;
    this->usedByAllAt = now;
    this->countActive(work.caller, now);
    // The reference is the service time of short work; if it included long work, no work would be long relative to the mean.
    if (!this->isLong(work.caller)) {
        this->shortService.record(took);
        this->shortSeen = now;
    } else if (took < this->shortService.mean()) {
        this->shortService.record(took);
    }
}

auto SlotGuard::forgetCallers() -> void
{
    if (this->callers.size() > callersKept) {
        this->callers.clear();
    }
}

} // namespace sapphirespool::decisions
