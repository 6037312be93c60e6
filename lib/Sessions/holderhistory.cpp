#include "sapphirespool/Sessions/holderhistory.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::sessions
{

namespace
{

auto contains(std::span<const Holder> holders, const VmId &vm) -> bool
{
    return std::any_of(holders.begin(), holders.end(), [&vm](const Holder &holder) {
        return holder.vm == vm;
    });
}

} // namespace

HolderHistory::HolderHistory(VmId self, Duration retention, Duration warmup, TimePoint now)
    : self(std::move(self))
    , retention(retention)
    , authoritativeFrom(now + warmup)
{
}

auto HolderHistory::viewChanged(std::span<const Holder> proxies, TimePoint now) -> void
{
    while (!this->departed.empty() && this->departed.front().expiry <= now) {
        this->departed.pop_front();
    }
    for (const auto &before : this->present) {
        if (!contains(proxies, before.vm)) {
            this->departed.push_back({before, now + this->retention});
        }
    }
    this->present.assign(proxies.begin(), proxies.end());
}

auto HolderHistory::missedViews(TimePoint now) -> void
{
    this->authoritativeFrom = std::max(this->authoritativeFrom, now + this->retention);
}

auto HolderHistory::isAuthoritative(std::string_view name, std::size_t copies, TimePoint now) const -> bool
{
    return now >= this->authoritativeFrom && this->heldThroughout(name, copies, now);
}

auto HolderHistory::heldThroughout(std::string_view name, std::size_t copies, TimePoint now) const -> bool
{
    if (!this->isPresent(this->self)) {
        return false;
    }
    return contains(chooseHolders(name, this->recentProxies(now), copies), this->self);
}

auto HolderHistory::proxiesSeen(TimePoint now) const -> std::size_t
{
    return this->recentProxies(now).size();
}

auto HolderHistory::recentProxies(TimePoint now) const -> std::vector<Holder>
{
    auto all = this->present;
    for (const auto &entry : this->departed) {
        if (entry.expiry > now && !contains(all, entry.holder.vm)) {
            all.push_back(entry.holder);
        }
    }
    return all;
}

auto HolderHistory::isPresent(const VmId &vm) const -> bool
{
    return contains(this->present, vm);
}

} // namespace sapphirespool::sessions
