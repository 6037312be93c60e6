// ownership.h: decides which proxies open the connections to an upstream.
#pragma once

#include "sapphirespool/Interactive/connectionpool.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Sessions/rendezvous.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>
#include <vector>

namespace sapphirespool::forwarding
{

/// Assigns the connections of an upstream to a few proxies, its owners; the other proxies forward their statements to the owners.
///
/// Load pattern: a fleet has more proxies than an upstream accepts connections, or only a few more connections than proxies. Split
/// equally, each proxy gets one connection or none: a proxy with many callers refuses some while the connections of its peers are idle,
/// and a single transaction that is idle blocks a whole proxy. A few owners share the connections among all callers, keep the connection
/// limit exactly, and cost the other proxies one round trip between proxies.
///
/// Failure: a network partition separates all owners of an upstream from the control group, and no proxy serves the upstream. So an owner that
/// the control group has lost contact with (ProxyView::silent) is replaced by the next candidate, as long as enough candidates are left.
class Ownership
{
public:
    /// Owners per upstream. Two remain when one fails, or restarts in a rolling restart. Each owner has a third of the connections, which is
    /// enough for a shared pool.
    static constexpr auto ownersPerUpstream = std::size_t{3};
    /// If an equal split gives each proxy at least this many connections, all proxies open their own: a proxy with that many rarely has
    /// all of them busy while its peers have idle ones, and it saves the round trip to an owner.
    static constexpr auto minEqualShare = std::size_t{3};
    /// Connections left for the control group, which queries the members' state during a promotion.
    static constexpr auto reservedConnections = std::uint32_t{2};

    /// Where connections belong to customers, at most a third of an owner's connections stay open idle. After a power loss an upstream
    /// keeps the connections of the dead processes for seconds. If they were all that it accepts, the restarted owners would serve nobody
    /// until it drops them.
    static constexpr auto idleParts = std::size_t{1};
    static constexpr auto allParts = std::size_t{3};

    /// Statements in flight per slot, summed over all proxies that open connections to the upstream. A forwarded statement counts during its
    /// round trip between proxies too, which for short statements takes as long as their execution: with one statement per slot the slots
    /// would idle half of the time.
    static constexpr auto statementsPerSlot = std::size_t{2};
    /// Lower bound for the statements in flight per such proxy, so that two concurrent callers need not wait for each other while slots are
    /// idle.
    static constexpr auto minStatementsPerHolder = std::size_t{2};

    Ownership(VmId self, ZoneId zone);

    /// Recomputes the candidates for ownership from \p view.
    auto viewChanged(const membership::ClusterView &view) -> void;

    /// \param customer for whom a connection is needed; all proxies prefer the same owner for it. Empty: any will do
    /// \return the owners of \p upstream in this proxy's order of preference; empty if each proxy opens its own connections
    [[nodiscard]] auto ownersOf(const membership::GroupView &group, const membership::UpstreamView &upstream, const CustomerId &customer = {}) const
        -> std::vector<VmId>;

    /// \return the limits on this proxy's own connections to \p upstream; all zero if it is not an owner
    [[nodiscard]] auto share(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> interactive::ConnectionLimits;

private:
    [[nodiscard]] auto usableConnections(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> std::size_t;

    VmId self;
    ZoneId zone;
    /// Number of proxies that accept callers and are not leaving.
    std::size_t proxies = 0;
    bool hasCustomers = false;
    /// The proxies among them that may own connections: all of them, and grouped by availability zone. Computed once per view, since each
    /// statement looks up owners.
    std::vector<sessions::Holder> holders;
    std::map<ZoneId, std::vector<sessions::Holder>> holdersByZone;
};

} // namespace sapphirespool::forwarding
