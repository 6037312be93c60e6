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
    this->pending = Grant{expiry, floor};
    this->extendIfCovered();
}

auto LeaseKeeper::viewArrived(std::shared_ptr<const membership::ClusterView> view) -> void
{
    this->holder.publish(std::move(view));
    this->extendIfCovered();
}

auto LeaseKeeper::extendIfCovered() -> void
{
    if (this->pending && this->holder.current()->revision >= this->pending->floor) {
        this->holder.extendLease(this->pending->expiry);
        this->pending.reset();
    }
}

} // namespace sapphirespool::control
