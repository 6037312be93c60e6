#include "sapphirespool/Decisions/shareallocator.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::decisions
{

ShareGrantor::ShareGrantor(GrantorId self, UpstreamId upstream, ShareSettings settings, TimePoint now)
    : self(std::move(self))
    , upstream(std::move(upstream))
    , settings(settings)
    , handoverEnd(now + settings.handover)
{
}

auto ShareGrantor::allReportedAt() const -> std::optional<TimePoint>
{
    auto last = TimePoint();
    for (const auto &proxy : this->proxies) {
        auto reportedAt = std::optional<TimePoint>();
        for (const auto &[key, holder] : this->holders) {
            if (key.first == proxy) {
                reportedAt = std::max(reportedAt.value_or(holder.firstDemandAt), holder.firstDemandAt);
            }
        }
        if (!reportedAt) {
            return std::nullopt;
        }
        last = std::max(last, *reportedAt);
    }
    return last;
}

auto ShareGrantor::limitAt(TimePoint now) const -> Share
{
    if (now >= this->handoverEnd) {
        return this->part;
    }
    // The other grantor may have granted the larger half before, and its grants may not have expired. Until the end of the handover only
    // the smaller half is granted.
    return this->withholdsGrants(now) ? Share() : this->handoverPart;
}

auto ShareGrantor::total() const -> Share
{
    auto sum = Share();
    for (const auto &[key, holder] : this->holders) {
        sum.slots += holder.possibleUse.slots;
        sum.connections += holder.possibleUse.connections;
    }
    return sum;
}

auto ShareGrantor::outstanding(TimePoint now) const -> Share
{
    auto sum = Share();
    for (const auto &[key, holder] : this->holders) {
        if (holder.expiry > now) {
            sum.slots += holder.possibleUse.slots;
            sum.connections += holder.possibleUse.connections;
        }
    }
    return sum;
}

auto ShareGrantor::expire(TimePoint now) -> void
{
    std::erase_if(this->holders, [now](const auto &item) {
        return item.second.expiry <= now;
    });
}

auto ShareGrantor::withholdsGrants(TimePoint now) const -> bool
{
    // Once each proxy has reported what it keeps, only statements of terminated processes are unknown, and none of them runs longer
    // than startGuard.
    const auto reportedAt = this->allReportedAt();
    return now < this->handoverEnd && (!reportedAt || now < *reportedAt + this->settings.startGuard);
}

auto ShareGrantor::handleDemand(const ShareDemand &demand, TimePoint now) -> Grants
{
    assert(demand.upstream == this->upstream && "the demand is for this grantor's upstream");
    this->expire(now);
    if (demand.grantor != this->self) {
        return {};
    }
    const auto key = HolderKey(demand.proxy, demand.incarnation);
    auto &holder = this->holders[key];
    if (demand.sequence <= holder.sequence) {
        // Delayed or duplicated. Handling it could count slots as returned that a newer demand keeps.
        return {};
    }
    if (holder.sequence == 0) {
        holder.firstDemandAt = now;
    }
    const auto handover = now < this->handoverEnd;
    if (handover) {
        // The proxy may keep what another grantor or an earlier process granted.
        holder.possibleUse = demand.retained;
        holder.granted = demand.retained;
    }
    holder.possibleUse.slots = std::min(holder.possibleUse.slots, demand.retained.slots);
    holder.possibleUse.connections = std::min(holder.possibleUse.connections, demand.retained.connections);
    holder.granted.slots = std::min(holder.granted.slots, holder.possibleUse.slots);
    holder.granted.connections = std::min(holder.granted.connections, holder.possibleUse.connections);
    holder.sequence = demand.sequence;
    holder.number = 0;
    if (holder.wanted <= holder.granted.slots && demand.wanted > holder.granted.slots) {
        holder.waitingSince = now;
    }
    holder.wanted = demand.wanted;
    holder.expiry = now + this->settings.lifetime;
    if (this->withholdsGrants(now)) {
        // Without an answer the holder keeps the share from an earlier grantor; a grant of zero would revoke it.
        return {};
    }
    auto changed = std::vector<HolderKey>{key};
    this->rebalance(changed, now);
    return this->makeGrants(std::move(changed));
}

auto ShareGrantor::limitChanged(Share newPart, Share newHandoverPart, std::vector<VmId> newProxies, TimePoint now) -> Grants
{
    this->part = newPart;
    this->handoverPart = newHandoverPart;
    this->proxies = std::move(newProxies);
    return this->tick(now);
}

auto ShareGrantor::tick(TimePoint now) -> Grants
{
    this->expire(now);
    auto changed = std::vector<HolderKey>();
    this->rebalance(changed, now);
    return this->makeGrants(std::move(changed));
}

auto ShareGrantor::nextToGrant() -> std::map<HolderKey, Holder>::iterator
{
    auto best = this->holders.end();
    for (auto holder = this->holders.begin(); holder != this->holders.end(); ++holder) {
        if (holder->second.wanted <= holder->second.granted.slots) {
            continue;
        }
        const auto precedes = [&holder, &best]() {
            const auto left = std::pair(holder->second.granted.slots, holder->second.waitingSince);
            const auto right = std::pair(best->second.granted.slots, best->second.waitingSince);
            return left < right;
        };
        if (best == this->holders.end() || precedes()) {
            best = holder;
        }
    }
    return best;
}

auto ShareGrantor::grantFreeSlots(std::vector<HolderKey> &changed, TimePoint now) -> void
{
    const auto limit = this->limitAt(now);
    while (this->total().slots < limit.slots) {
        const auto next = this->nextToGrant();
        if (next == this->holders.end()) {
            return;
        }
        auto &holder = next->second;
        ++holder.granted.slots;
        // A slot that was recalled but not yet returned is still charged to its holder; granting it again does not increase the charge.
        holder.possibleUse.slots = std::max(holder.possibleUse.slots, holder.granted.slots);
        holder.waitingSince = now;
        holder.grantedSince = now;
        changed.push_back(next->first);
    }
}

auto ShareGrantor::pendingReturns() const -> std::uint32_t
{
    auto pending = std::uint32_t{0};
    for (const auto &[key, holder] : this->holders) {
        pending += holder.possibleUse.slots - std::min(holder.possibleUse.slots, holder.granted.slots);
    }
    return pending;
}

auto ShareGrantor::recallSlots(std::vector<HolderKey> &changed, TimePoint now) -> void
{
    const auto limit = this->limitAt(now);
    auto mostSlots = std::uint32_t{0};
    for (const auto &[key, holder] : this->holders) {
        mostSlots = std::max(mostSlots, holder.granted.slots);
    }
    auto waitingHolders = std::uint32_t{0};
    for (const auto &[key, holder] : this->holders) {
        const auto hasFewer = holder.granted.slots == 0 || holder.granted.slots + 1 < mostSlots;
        if (holder.wanted > holder.granted.slots && hasFewer) {
            ++waitingHolders;
        }
    }
    const auto overLimit = this->total().slots > limit.slots ? this->total().slots - limit.slots : 0U;
    auto needed = std::max(waitingHolders, overLimit);
    needed -= std::min(needed, this->pendingReturns());
    while (needed > 0) {
        auto victim = this->holders.end();
        for (auto holder = this->holders.begin(); holder != this->holders.end(); ++holder) {
            const auto mayRecall = holder->second.granted.slots > 0 && (overLimit > 0 || now - holder->second.grantedSince >= this->settings.recallInterval);
            if (!mayRecall) {
                continue;
            }
            const auto precedesVictim = [&holder, &victim]() {
                const auto left = std::pair(victim->second.granted.slots, holder->second.grantedSince);
                const auto right = std::pair(holder->second.granted.slots, victim->second.grantedSince);
                return left < right;
            };
            if (victim == this->holders.end() || precedesVictim()) {
                victim = holder;
            }
        }
        if (victim == this->holders.end()) {
            return;
        }
        --victim->second.granted.slots;
        victim->second.grantedSince = now;
        victim->second.waitingSince = now;
        changed.push_back(victim->first);
        --needed;
    }
}

auto ShareGrantor::rebalance(std::vector<HolderKey> &changed, TimePoint now) -> void
{
    if (this->withholdsGrants(now)) {
        return;
    }
    const auto limit = this->limitAt(now);
    this->grantFreeSlots(changed, now);
    this->recallSlots(changed, now);
    for (auto &[key, holder] : this->holders) {
        const auto equalPart = std::max(1U, limit.connections / std::max<std::uint32_t>(1, static_cast<std::uint32_t>(this->proxies.size())));
        const auto target = std::max(equalPart, holder.granted.slots);
        const auto used = this->total().connections;
        const auto free = limit.connections - std::min(limit.connections, used);
        const auto wanted = std::min(target, holder.possibleUse.connections + free);
        if (wanted > holder.granted.connections) {
            holder.granted.connections = wanted;
            holder.possibleUse.connections = std::max(holder.possibleUse.connections, wanted);
            changed.push_back(key);
        }
        // A slot without a connection is useless to this proxy, and other proxies could use it.
        holder.granted.slots = std::min(holder.granted.slots, holder.granted.connections);
    }
}

auto ShareGrantor::makeGrant(const HolderKey &key, Holder &holder) const -> ShareGrant
{
    // A grant does not extend the lease: only a demand proves that the holder is alive, and the holder counts the lifetime from its
    // demand.
    ++holder.number;
    return {.upstream = this->upstream,
            .grantor = this->self,
            .proxy = key.first,
            .incarnation = key.second,
            .sequence = holder.sequence,
            .number = holder.number,
            .share = holder.granted};
}

auto ShareGrantor::makeGrants(std::vector<HolderKey> changed) -> Grants
{
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    auto grants = Grants();
    for (const auto &key : changed) {
        grants.push_back(this->makeGrant(key, this->holders.at(key)));
    }
    return grants;
}

auto ShareGrantor::nextTick() const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    const auto consider = [&next](TimePoint candidate) {
        next = next ? std::min(*next, candidate) : candidate;
    };
    auto anyWaiting = false;
    for (const auto &[key, holder] : this->holders) {
        consider(holder.expiry);
        anyWaiting = anyWaiting || holder.wanted > holder.granted.slots;
    }
    if (const auto reportedAt = this->allReportedAt()) {
        consider(std::min(this->handoverEnd, *reportedAt + this->settings.startGuard));
    }
    if (!anyWaiting) {
        return next;
    }
    for (const auto &[key, holder] : this->holders) {
        if (holder.granted.slots > 0 && this->pendingReturns() == 0) {
            consider(std::max(this->handoverEnd, holder.grantedSince + this->settings.recallInterval));
        }
    }
    return next;
}

} // namespace sapphirespool::decisions
