#include "sapphirespool/Forwarding/quotaplacement.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::forwarding
{

namespace
{

auto candidatesOf(const membership::ClusterView &view) -> std::vector<sessions::Holder>
{
    auto candidates = std::vector<sessions::Holder>();
    for (const auto &proxy : view.proxies) {
        if (proxy.callers.port != 0) {
            candidates.push_back({proxy.id, proxy.zone, {}});
        }
    }
    return candidates;
}

/// \return the number of parts of \p quota; each part holds at least one operation
auto partsOf(const membership::Quota &quota, std::size_t candidates) -> std::size_t
{
    const auto most = std::min(QuotaPlacement::maxParts, std::max<std::size_t>(1, candidates));
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::min<double>(quota.burst, QuotaPlacement::maxParts)), 1, most);
}

} // namespace

QuotaPlacement::QuotaPlacement(VmId self, double slack)
    : self(std::move(self))
    , slack(slack)
{
}

auto QuotaPlacement::viewChanged(const membership::ClusterView &view) -> bool
{
    auto newCandidates = candidatesOf(view);
    const auto *const own = view.findProxy(this->self);
    const auto newSettled = own != nullptr && own->settled;
    if (this->customers == view.customers && this->candidates == newCandidates && this->settled == newSettled) {
        return false;
    }
    this->customers = view.customers;
    this->candidates = std::move(newCandidates);
    this->settled = newSettled;
    this->placed.clear();
    for (const auto &customer : this->customers) {
        if (!customer.quota) {
            continue;
        }
        const auto parts = partsOf(*customer.quota, this->candidates.size());
        const auto divisor = static_cast<double>(parts);
        const auto share = membership::Quota{customer.quota->ratePerSecond / divisor, (customer.quota->burst + this->slack) / divisor};
        this->placed.emplace(customer.id, Placed{share, sessions::chooseHolders(customer.id.value(), this->candidates, parts)});
    }
    return true;
}

auto QuotaPlacement::allocatorsOf(const CustomerId &customer) const -> const std::vector<sessions::Holder> &
{
    static const auto none = std::vector<sessions::Holder>();
    const auto found = this->placed.find(customer);
    return found == this->placed.end() ? none : found->second.allocators;
}

auto QuotaPlacement::ownParts() const -> std::vector<decisions::QuotaPart>
{
    auto parts = std::vector<decisions::QuotaPart>();
    if (!this->settled) {
        return parts;
    }
    for (const auto &[customer, entry] : this->placed) {
        const auto holds = std::any_of(entry.allocators.begin(), entry.allocators.end(), [this](const sessions::Holder &allocator) {
            return allocator.vm == this->self;
        });
        if (holds) {
            parts.push_back({customer, entry.part});
        }
    }
    return parts;
}

} // namespace sapphirespool::forwarding
