#include "sapphirespool/Forwarding/ownership.h"

#include "sapphirespool/Decisions/affinity.h"
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
    this->hasCustomers = !view.customers.empty();
    this->holders.clear();
    this->holdersByZone.clear();
    auto unresponsive = std::vector<sessions::Holder>();
    for (const auto &proxy : view.proxies) {
        // The view also lists the control VMs, which connect to their group but accept no callers.
        if (proxy.callers.port == 0 || proxy.leaving) {
            continue;
        }
        ++this->proxies;
        auto &candidateList = proxy.silent ? unresponsive : this->holders;
        candidateList.push_back({proxy.id, proxy.zone, {}});
    }
    if (this->holders.size() < ownersPerUpstream) {
        this->holders.insert(this->holders.end(), unresponsive.begin(), unresponsive.end());
    }
    for (const auto &holder : this->holders) {
        this->holdersByZone[holder.zone].push_back(holder);
    }
}

auto Ownership::ownersOf(const membership::GroupView &group, const membership::UpstreamView &upstream, const CustomerId &customer) const -> std::vector<VmId>
{
    if (this->proxies <= ownersPerUpstream || this->usableConnections(group, upstream) / this->proxies >= minEqualShare) {
        return {};
    }
    // An owner in the upstream's own availability zone saves a second round trip between zones.
    const auto sameZone = this->holdersByZone.find(upstream.zone);
    const auto enoughInZone = sameZone != this->holdersByZone.end() && sameZone->second.size() >= ownersPerUpstream;
    const auto &candidates = enoughInZone ? sameZone->second : this->holders;
    auto owners = std::vector<VmId>();
    for (const auto &holder : sessions::chooseHolders(upstream.id.value(), candidates, ownersPerUpstream)) {
        owners.push_back(holder.vm);
    }
    if (!customer.value().empty()) {
        std::sort(owners.begin(), owners.end(), [&customer](const VmId &left, const VmId &right) {
            return decisions::affinity(customer, left.value()) > decisions::affinity(customer, right.value());
        });
        return owners;
    }
    // Each proxy rotates the owners by the hash of its own VM, so that the proxies spread their requests over the owners.
    const auto &name = this->self.value();
    const auto offset = XXH64(name.data(), name.size(), 0) % std::max<std::size_t>(1, owners.size());
    std::rotate(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(offset), owners.end());
    return owners;
}

auto Ownership::share(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> interactive::ConnectionLimits
{
    const auto owners = this->ownersOf(group, upstream);
    const auto owns = owners.empty() || std::find(owners.begin(), owners.end(), this->self) != owners.end();
    if (!owns) {
        return {};
    }
    const auto holders = owners.empty() ? std::max<std::size_t>(1, this->proxies) : owners.size();
    const auto connections = std::max<std::size_t>(1, this->usableConnections(group, upstream) / holders);
    const auto statements = std::max(minStatementsPerHolder, upstream.slots * statementsPerSlot / holders);
    const auto idle = this->hasCustomers ? std::max<std::size_t>(1, connections * idleParts / allParts) : connections;
    return {connections, statements, idle};
}

auto Ownership::usableConnections(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> std::size_t
{
    const auto limit = group.connectionLimit > 0 ? group.connectionLimit : upstream.connectionLimit;
    return limit > reservedConnections ? limit - reservedConnections : limit;
}

} // namespace sapphirespool::forwarding
