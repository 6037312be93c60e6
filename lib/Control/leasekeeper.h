// leasekeeper.h: joins the leases that control grants with the view they hold for.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <memory>
#include <optional>

namespace sapphirespool::control
{

/// Extends a proxy's lease only once its view is as new as the grant asks. A lease for an older view would let the proxy go on
/// acknowledging writes of a primary that was replaced.
class LeaseKeeper
{
public:
    explicit LeaseKeeper(membership::ViewHolder &holder);

    /// \param expiry counted from when the heartbeat was sent, so that time on the way shortens the lease
    auto granted(TimePoint expiry, Revision floor) -> void;

    /// Publishes \p view; one of a lower revision than the present one is ignored.
    auto viewArrived(std::shared_ptr<const membership::ClusterView> view) -> void;

private:
    struct Grant
    {
        TimePoint expiry;
        Revision floor;
    };

    auto extendIfCovered() -> void;

    membership::ViewHolder &holder;
    std::optional<Grant> pending;
};

} // namespace sapphirespool::control
