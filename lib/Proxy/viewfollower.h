// viewfollower.h: tells the parts of the traffic path that the view or its lease has changed.
#pragma once

#include "admission.h"
#include "localrecords.h"

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Upstreams/pool.h"
#include "sapphirespool/Upstreams/positionwatch.h"

#include <memory>

namespace sapphirespool::proxy
{

/// Looks at the view on the dispatch thread.
class ViewFollower
{
public:
    /// \param records must outlive the follower
    ViewFollower(std::shared_ptr<membership::ViewHolder> views,
                 std::shared_ptr<upstreams::Pool> pool,
                 std::shared_ptr<upstreams::PositionWatch> watch,
                 std::shared_ptr<Admission> admission,
                 LocalRecords &records);

    /// Passes on what changed since the last call.
    auto look() -> void;

private:
    auto followLease(const membership::ClusterView &view, TimePoint now) -> void;
    auto boundConnections(const membership::ClusterView &view) -> void;
    auto retireGone(const membership::ClusterView &before, const membership::ClusterView &now) -> void;

    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<upstreams::Pool> pool;
    std::shared_ptr<upstreams::PositionWatch> watch;
    std::shared_ptr<Admission> admission;
    LocalRecords &records;
    std::shared_ptr<const membership::ClusterView> seen;
    Revision lastLiveRevision;
    bool leaseLapsed = true;
    bool wasLive = false;
};

} // namespace sapphirespool::proxy
