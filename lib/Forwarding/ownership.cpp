#include "sapphirespool/Forwarding/ownership.h"

#include "sapphirespool/Sessions/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sapphirespool::forwarding
{

Ownership::Ownership(VmId self, ZoneId zone)
    : self(std::move(self))
    , zone(std::move(zone))
{
}

auto Ownership::viewChanged(const membership::ClusterView &view) -> void
{
    this->proxies = 0;
    this->holders.clear();
    this->holdersByZone.clear();
    auto silent = std::vector<sessions::Holder>();
    for (const auto &proxy : view.proxies) {
        // The view also lists the control VMs, which connect to their group but accept no callers.
        if (proxy.callers.port == 0 || proxy.leaving) {
            continue;
        }
        ++this->proxies;
        auto &list = proxy.silent ? silent : this->holders;
        list.push_back({proxy.id, proxy.zone, {}});
    }
    if (this->holders.size() < ownersPerUpstream) {
        this->holders.insert(this->holders.end(), silent.begin(), silent.end());
    }
    for (const auto &holder : this->holders) {
        this->holdersByZone[holder.zone].push_back(holder);
    }
}

auto Ownership::ownersOf(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> std::vector<VmId>
{
    if (this->proxies <= ownersPerUpstream || this->usable(group, upstream) / this->proxies >= enoughForEach) {
        return {};
    }
    // An owner in the upstream's own availability zone saves a second round trip between zones.
    const auto near = this->holdersByZone.find(upstream.zone);
    const auto enoughNear = near != this->holdersByZone.end() && near->second.size() >= ownersPerUpstream;
    const auto &among = enoughNear ? near->second : this->holders;
    auto owners = std::vector<VmId>();
    for (const auto &holder : sessions::chooseHolders(upstream.id.value(), among, ownersPerUpstream)) {
        owners.push_back(holder.vm);
    }
    const auto &name = this->self.value();
    const auto turn = XXH64(name.data(), name.size(), 0) % std::max<std::size_t>(1, owners.size());
    std::rotate(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(turn), owners.end());
    return owners;
}

auto Ownership::share(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> interactive::LinkLimits
{
    const auto owners = this->ownersOf(group, upstream);
    const auto owns = owners.empty() || std::find(owners.begin(), owners.end(), this->self) != owners.end();
    if (!owns) {
        return {};
    }
    const auto holders = owners.empty() ? std::max<std::size_t>(1, this->proxies) : owners.size();
    const auto links = std::max<std::size_t>(1, this->usable(group, upstream) / holders);
    const auto statements = std::max(leastStatements, upstream.slots * statementsPerSlot / holders);
    return {links, statements};
}

auto Ownership::usable(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> std::size_t
{
    const auto limit = group.connectionLimit > 0 ? group.connectionLimit : upstream.connectionLimit;
    return limit > reserved ? limit - reserved : limit;
}

} // namespace sapphirespool::forwarding
