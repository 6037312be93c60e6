#include "leasekeeper.h"

#include <utility>

namespace sapphirespool::control
{

LeaseKeeper::LeaseKeeper(membership::ViewHolder &holder)
    : holder(holder)
{
}

auto LeaseKeeper::granted(TimePoint expiry, Revision floor) -> void
{
    if (!this->pending.empty() && (this->pending.back().floor >= floor || this->pending.size() == maxPending)) {
        this->pending.pop_back();
    }
    this->pending.push_back(Grant{expiry, floor});
    this->extendIfCovered();
}

auto LeaseKeeper::viewArrived(std::shared_ptr<const membership::ClusterView> view) -> void
{
    this->holder.publish(std::move(view));
    this->extendIfCovered();
}

auto LeaseKeeper::extendIfCovered() -> void
{
    const auto revision = this->holder.current()->revision;
    std::erase_if(this->pending, [this, revision](const Grant &grant) {
        const auto covered = grant.floor <= revision;
        if (covered) {
            this->holder.extendLease(grant.expiry);
        }
        return covered;
    });
}

} // namespace sapphirespool::control
