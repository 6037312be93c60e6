// leasekeeper.h: joins the leases that control grants with the view they hold for.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace sapphirespool::control
{

/// Extends a proxy's lease only once its view is as new as the grant asks. A lease for an older view would let the proxy go on
/// acknowledging writes of a primary that was replaced.
///
/// Grants that wait for their view are kept beside each other. If a later one replaced them, a proxy would hold no lease for as long as
/// the state changes faster than its views arrive: each grant would ask for a newer view than the one under way.
class LeaseKeeper
{
public:
    /// Grants that may wait. Heartbeats that carry announcements follow each other by some milliseconds, views by a few hundred.
    static constexpr auto maxPending = std::size_t{64};

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
    /// Ordered by floor.
    std::vector<Grant> pending;
};

} // namespace sapphirespool::control
