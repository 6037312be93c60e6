#include "sapphirespool/Decisions/shareallocator.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sapphirespool::decisions
{

ShareHolder::ShareHolder(VmId self, Incarnation incarnation, UpstreamId upstream, GrantorId grantor, ShareSettings settings)
    : self(std::move(self))
    , incarnation(incarnation)
    , upstream(std::move(upstream))
    , grantor(std::move(grantor))
    , settings(settings)
{
}

auto ShareHolder::share(TimePoint now) const -> Share
{
    // Work that starts now may run for startGuard. Without this check a statement could still run after the grant has expired at the
    // grantor, which then grants the slot to another proxy.
    return now + this->settings.startGuard < this->expiry ? this->held : Share();
}

auto ShareHolder::grantorId() const -> const GrantorId &
{
    return this->grantor;
}

auto ShareHolder::kept() const -> std::uint32_t
{
    return this->reportedKept;
}

auto ShareHolder::inherit(const ShareHolder &former) -> void
{
    this->held.slots += former.held.slots;
    this->held.connections += former.held.connections;
    this->expiry = this->expiry == TimePoint() ? former.expiry : std::min(this->expiry, former.expiry);
    this->reportedKept += former.reportedKept;
}

auto ShareHolder::demand(TimePoint now) -> ShareDemand
{
    if (now >= this->expiry) {
        this->held = Share();
    }
    ++this->sequence;
    this->number = 0;
    this->sentAt = now;
    this->idleSlotsSince.reset();
    this->held.slots = std::min(this->held.slots, std::max(this->running, this->wanted));
    this->reportedKept = std::max(this->held.slots, this->running);
    this->reportedWanted = this->wanted;
    return {.upstream = this->upstream,
            .grantor = this->grantor,
            .proxy = this->self,
            .incarnation = this->incarnation,
            .sequence = this->sequence,
            .retained = {this->reportedKept, this->held.connections},
            .wanted = this->wanted};
}

auto ShareHolder::needsDemand(TimePoint now) const -> bool
{
    const auto share = this->share(now).slots;
    // The statement on a recalled slot has ended: return the slot.
    if (this->reportedKept > share && this->running < this->reportedKept && this->running >= share) {
        return true;
    }
    // Work waits for a slot that the last demand did not request, or the last demand requested slots for work that no longer waits.
    const auto underReported = this->wanted > share && this->reportedWanted <= share;
    return underReported || (this->reportedWanted > share && this->wanted <= share);
}

auto ShareHolder::workChanged(std::uint32_t nowRunning, std::uint32_t nowWanted, TimePoint now) -> std::optional<ShareDemand>
{
    this->running = nowRunning;
    this->wanted = nowWanted;
    if (this->needsDemand(now)) {
        return this->demand(now);
    }
    if (this->wanted >= this->held.slots) {
        this->idleSlotsSince.reset();
    } else if (!this->idleSlotsSince) {
        this->idleSlotsSince = now;
    }
    return std::nullopt;
}

auto ShareHolder::handleGrant(const ShareGrant &grant, TimePoint now) -> std::optional<ShareDemand>
{
    const auto isAddressee = grant.grantor == this->grantor && grant.proxy == this->self && grant.incarnation == this->incarnation;
    // A grant that answers an earlier demand was sent before the grantor received the newer one; since then it may have granted the
    // slots that the newer demand returned to another proxy.
    if (!isAddressee || grant.sequence != this->sequence || grant.number <= this->number) {
        return std::nullopt;
    }
    const auto lifetime = std::chrono::duration_cast<Duration>(this->settings.lifetime * (1.0 - this->settings.clockMargin));
    this->number = grant.number;
    this->held = grant.share;
    // Counted from the sending of the demand, which is before the grantor starts its own count.
    this->expiry = this->sentAt + lifetime;
    this->reportedKept = std::max(this->reportedKept, grant.share.slots);
    if (this->needsDemand(now)) {
        return this->demand(now);
    }
    return std::nullopt;
}

auto ShareHolder::tick(TimePoint now) -> std::optional<ShareDemand>
{
    const auto idleSlotsDue = this->idleSlotsSince && now - *this->idleSlotsSince >= this->settings.idleSlotTimeout;
    if (idleSlotsDue || now - this->sentAt >= this->settings.renewalInterval) {
        return this->demand(now);
    }
    return std::nullopt;
}

auto ShareHolder::nextTick(TimePoint now) const -> TimePoint
{
    auto next = std::max(now, this->sentAt + this->settings.renewalInterval);
    if (this->idleSlotsSince) {
        next = std::min(next, std::max(now, *this->idleSlotsSince + this->settings.idleSlotTimeout));
    }
    return next;
}

auto grantorsOf(const UpstreamId &upstream, std::span<const membership::ProxyView> proxies) -> std::vector<GrantorId>
{
    auto scored = std::vector<std::pair<std::uint64_t, GrantorId>>();
    for (const auto &proxy : proxies) {
        if (proxy.leaving) {
            continue;
        }
        const auto text = upstream.value() + '\n' + proxy.id.value();
        scored.emplace_back(XXH3_64bits(text.data(), text.size()), GrantorId{proxy.id, proxy.incarnation});
    }
    std::sort(scored.rbegin(), scored.rend());
    auto grantors = std::vector<GrantorId>();
    for (const auto &[score, grantor] : scored) {
        if (grantors.size() == grantorsPerUpstream) {
            break;
        }
        grantors.push_back(grantor);
    }
    return grantors;
}

auto partOfLimit(Share limit, std::size_t index, std::size_t count) -> Share
{
    const auto part = [index, count](std::uint32_t whole) {
        const auto parts = static_cast<std::uint32_t>(count);
        return whole / parts + (index < whole % parts ? 1U : 0U);
    };
    return {part(limit.slots), part(limit.connections)};
}

} // namespace sapphirespool::decisions
