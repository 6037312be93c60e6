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
    this->proxies.clear();
    for (const auto &proxy : view.proxies) {
        // The links of control VMs to their group are listed beside the proxies.
        if (proxy.callers.port != 0 && !proxy.leaving) {
            this->proxies.push_back({proxy.id, proxy.zone, proxy.silent});
        }
    }
}

auto Ownership::ownersOf(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> std::vector<VmId>
{
    if (this->proxies.size() <= ownersPerUpstream || this->usable(group, upstream) / this->proxies.size() >= enoughForEach) {
        return {};
    }
    auto near = std::vector<sessions::Holder>();
    auto all = std::vector<sessions::Holder>();
    const auto heard = std::count_if(this->proxies.begin(), this->proxies.end(), [](const Proxy &proxy) {
        return !proxy.silent;
    });
    const auto enoughHeard = static_cast<std::size_t>(heard) >= ownersPerUpstream;
    for (const auto &proxy : this->proxies) {
        if (proxy.silent && enoughHeard) {
            continue;
        }
        all.push_back({proxy.vm, proxy.zone, {}});
        if (proxy.zone == upstream.zone) {
            near.push_back(all.back());
        }
    }
    // An owner in the upstream's own zone saves a second way between zones.
    const auto &among = near.size() >= ownersPerUpstream ? near : all;
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
    const auto holders = owners.empty() ? std::max<std::size_t>(1, this->proxies.size()) : owners.size();
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
