// viewdelta.h: the difference between two views, so that a change costs its own size and not that of the system.
#pragma once

#include "sapphirespool/Membership/clusterview.h"

#include <optional>
#include <span>
#include <vector>

namespace sapphirespool::membership
{

/// What turns the view of one revision into that of another.
struct ViewDelta
{
    /// Revision that it applies to.
    Revision base;
    Revision revision;
    Revision configuration;
    /// Elements that are new or replace those of the same id.
    support::SharedList<ServiceView> services;
    std::vector<GroupView> groups;
    std::vector<ProxyView> proxies;
    std::vector<ServiceId> removedServices;
    std::vector<GroupId> removedGroups;
    std::vector<VmId> removedProxies;
    support::SharedList<CustomerView> customers = {};
    std::vector<CustomerId> removedCustomers = {};
};

/// \return \p view as a proxy that serves \p services needs it, ordered by ids; with no services the whole
[[nodiscard]] auto viewFor(const ClusterView &view, std::span<const ServiceId> services) -> ClusterView;

/// \return what turns \p from into \p to; both are from viewFor()
[[nodiscard]] auto computeDelta(const ClusterView &from, const ClusterView &to) -> ViewDelta;

/// \return \p view changed by \p delta; nothing if the delta is for another revision, and a snapshot is needed
[[nodiscard]] auto applyDelta(const ClusterView &view, const ViewDelta &delta) -> std::optional<ClusterView>;

} // namespace sapphirespool::membership
