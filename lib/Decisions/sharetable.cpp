#include "sapphirespool/Decisions/sharetable.h"

#include <algorithm>
#include <set>

namespace sapphirespool::decisions
{

ShareTable::ShareTable(VmId self, Incarnation incarnation, ShareSettings settings)
    : self{std::move(self), incarnation}
    , settings(settings)
{
}

auto ShareTable::viewChanged(const membership::ClusterView &view, TimePoint now) -> ShareActions
{
    auto actions = ShareActions();
    auto present = std::set<UpstreamId>();
    for (const auto &group : view.groups) {
        for (const auto &member : group.members) {
            present.insert(member.id);
            auto &entry = this->upstreams[member.id];
            const auto grantors = grantorsOf(member.id, view.proxies);
            this->updateHolders(entry, member.id, grantors);
            this->updateGrantor(entry, member, grantors, view.proxies, now, actions);
            this->assignWork(entry, now, actions);
        }
    }
    std::erase_if(this->upstreams, [&present](const auto &item) {
        return !present.contains(item.first);
    });
    this->reportChanges(now, actions);
    return actions;
}

auto ShareTable::updateHolders(UpstreamEntry &entry, const UpstreamId &upstream, const std::vector<GrantorId> &grantors) -> void
{
    auto previous = std::move(entry.holders);
    entry.holders.clear();
    for (const auto &grantor : grantors) {
        const auto kept = std::find_if(previous.begin(), previous.end(), [&grantor](const auto &holder) {
            return holder.grantorId() == grantor;
        });
        if (kept != previous.end()) {
            entry.holders.push_back(std::move(*kept));
            previous.erase(kept);
        } else {
            entry.holders.emplace_back(this->self.vm, this->self.incarnation, upstream, grantor, this->settings);
        }
    }
    for (const auto &dropped : previous) {
        if (entry.holders.empty()) {
            return;
        }
        // The first holder takes over the share of an earlier grantor and reports it to its own grantor, which charges it during a handover
        // before it grants anything.
        entry.holders.front().inherit(dropped);
    }
}

auto ShareTable::updateGrantor(UpstreamEntry &entry,
                               const membership::UpstreamView &upstream,
                               const std::vector<GrantorId> &grantors,
                               const std::vector<membership::ProxyView> &proxies,
                               TimePoint now,
                               ShareActions &actions) -> void
{
    const auto ownGrantor = std::find(grantors.begin(), grantors.end(), this->self);
    if (ownGrantor == grantors.end()) {
        entry.grantor.reset();
        return;
    }
    const auto whole = Share{upstream.slots, upstream.connectionLimit};
    const auto index = static_cast<std::size_t>(ownGrantor - grantors.begin());
    const auto part = partOfLimit(whole, index, grantors.size());
    const auto handoverPart = partOfLimit(whole, grantors.size() - 1, grantors.size());
    if (entry.grantor == nullptr) {
        entry.grantor = std::make_unique<ShareGrantor>(this->self, upstream.id, this->settings, now);
    }
    auto ids = std::vector<VmId>();
    for (const auto &proxy : proxies) {
        ids.push_back(proxy.id);
    }
    this->send(entry.grantor->limitChanged(part, handoverPart, std::move(ids), now), now, actions);
}

auto ShareTable::assignWork(UpstreamEntry &entry, TimePoint now, ShareActions &actions) -> void
{
    auto unassigned = entry.running;
    auto running = std::vector<std::uint32_t>(entry.holders.size(), 0);
    for (auto index = std::size_t{0}; index < entry.holders.size(); ++index) {
        running[index] = std::min(unassigned, entry.holders[index].share(now).slots);
        unassigned -= running[index];
    }
    // Work under a recalled or expired share is still reported as kept to the grantor that granted it.
    for (auto index = std::size_t{0}; index < entry.holders.size(); ++index) {
        const auto kept = entry.holders[index].kept();
        const auto more = std::min(unassigned, kept - std::min(kept, running[index]));
        running[index] += more;
        unassigned -= more;
    }
    if (!running.empty()) {
        running.front() += unassigned;
    }
    const auto total = this->shareOf(entry, now).slots;
    for (auto index = std::size_t{0}; index < entry.holders.size(); ++index) {
        auto &holder = entry.holders[index];
        const auto elsewhere = total - holder.share(now).slots;
        const auto wanted = entry.wanted - std::min(entry.wanted, elsewhere);
        this->send(holder.workChanged(running[index], wanted, now), now, actions);
    }
}

auto ShareTable::workChanged(const UpstreamId &upstream, std::uint32_t running, std::uint32_t wanted, TimePoint now) -> ShareActions
{
    auto actions = ShareActions();
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return actions;
    }
    found->second.running = running;
    found->second.wanted = wanted;
    this->assignWork(found->second, now, actions);
    this->reportChanges(now, actions);
    return actions;
}

auto ShareTable::receive(const ShareDemand &demand, TimePoint now) -> ShareActions
{
    auto actions = ShareActions();
    const auto found = this->upstreams.find(demand.upstream);
    if (found != this->upstreams.end() && found->second.grantor != nullptr) {
        this->send(found->second.grantor->handleDemand(demand, now), now, actions);
    }
    this->reportChanges(now, actions);
    return actions;
}

auto ShareTable::receive(const ShareGrant &grant, TimePoint now) -> ShareActions
{
    auto actions = ShareActions();
    const auto found = this->upstreams.find(grant.upstream);
    if (found == this->upstreams.end()) {
        return actions;
    }
    for (auto &holder : found->second.holders) {
        if (holder.grantorId() == grant.grantor) {
            this->send(holder.handleGrant(grant, now), now, actions);
        }
    }
    this->assignWork(found->second, now, actions);
    this->reportChanges(now, actions);
    return actions;
}

auto ShareTable::tick(TimePoint now) -> ShareActions
{
    auto actions = ShareActions();
    for (auto &[upstream, entry] : this->upstreams) {
        for (auto &holder : entry.holders) {
            this->send(holder.tick(now), now, actions);
        }
        if (entry.grantor != nullptr) {
            this->send(entry.grantor->tick(now), now, actions);
        }
    }
    this->reportChanges(now, actions);
    return actions;
}

auto ShareTable::nextTick(TimePoint now) const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    const auto consider = [&next](TimePoint candidate) {
        next = next ? std::min(*next, candidate) : candidate;
    };
    for (const auto &[upstream, entry] : this->upstreams) {
        for (const auto &holder : entry.holders) {
            consider(holder.nextTick(now));
        }
        if (entry.grantor == nullptr) {
            continue;
        }
        if (const auto grantorTick = entry.grantor->nextTick()) {
            consider(std::max(now, *grantorTick));
        }
    }
    return next;
}

auto ShareTable::send(std::optional<ShareDemand> demand, TimePoint now, ShareActions &actions) -> void
{
    if (!demand) {
        return;
    }
    if (demand->grantor != this->self) {
        actions.messages.push_back({demand->grantor.vm, *demand});
        return;
    }
    const auto entry = this->upstreams.find(demand->upstream);
    if (entry != this->upstreams.end() && entry->second.grantor != nullptr) {
        this->send(entry->second.grantor->handleDemand(*demand, now), now, actions);
    }
}

auto ShareTable::send(ShareGrantor::Grants grants, TimePoint now, ShareActions &actions) -> void
{
    for (auto &grant : grants) {
        if (grant.proxy != this->self.vm) {
            auto target = grant.proxy;
            actions.messages.push_back({std::move(target), std::move(grant)});
            continue;
        }
        for (auto &holder : this->upstreams.at(grant.upstream).holders) {
            if (holder.grantorId() == this->self) {
                this->send(holder.handleGrant(grant, now), now, actions);
            }
        }
    }
}

auto ShareTable::shareOf(const UpstreamEntry &entry, TimePoint now) const -> Share
{
    auto sum = Share();
    for (const auto &holder : entry.holders) {
        const auto part = holder.share(now);
        sum.slots += part.slots;
        sum.connections += part.connections;
    }
    return sum;
}

auto ShareTable::share(const UpstreamId &upstream, TimePoint now) const -> Share
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? Share() : this->shareOf(found->second, now);
}

auto ShareTable::reportChanges(TimePoint now, ShareActions &actions) -> void
{
    for (auto &[upstream, entry] : this->upstreams) {
        const auto current = this->shareOf(entry, now);
        if (current.slots != entry.reported.slots || current.connections != entry.reported.connections) {
            entry.reported = current;
            actions.changes.push_back({upstream, current});
        }
    }
}

} // namespace sapphirespool::decisions
