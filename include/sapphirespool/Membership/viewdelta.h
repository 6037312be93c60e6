// viewdelta.h: difference between two views, so that the cost of sending a change depends on its size and not on that of the system.
#pragma once

#include "sapphirespool/Membership/clusterview.h"

#include <optional>
#include <span>
#include <vector>

namespace sapphirespool::membership
{

/// Changes from the view of one revision to that of another.
struct ViewDelta
{
    /// Revision of the view to which the delta applies.
    Revision base;
    Revision revision;
    Revision configuration;
    /// Elements that are added or replace those with the same id.
    support::SharedList<ServiceView> services;
    std::vector<GroupView> groups;
    std::vector<ProxyView> proxies;
    std::vector<ServiceId> removedServices;
    std::vector<GroupId> removedGroups;
    std::vector<VmId> removedProxies;
    support::SharedList<CustomerView> customers = {};
    std::vector<CustomerId> removedCustomers = {};
};

/// \return the part of \p view that a proxy for \p services needs, sorted by id; the whole view if \p services is empty
[[nodiscard]] auto viewFor(const ClusterView &view, std::span<const ServiceId> services) -> ClusterView;

/// \return the changes from \p from to \p to; both must be results of viewFor()
[[nodiscard]] auto computeDelta(const ClusterView &from, const ClusterView &to) -> ViewDelta;

/// \return \p view with \p delta applied; nothing if the delta is for another revision, so that a snapshot is required
[[nodiscard]] auto applyDelta(const ClusterView &view, const ViewDelta &delta) -> std::optional<ClusterView>;

} // namespace sapphirespool::membership
