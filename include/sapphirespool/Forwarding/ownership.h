// ownership.h: decides which proxies hold the connections to an upstream.
#pragma once

#include "sapphirespool/Interactive/linkpool.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Sessions/rendezvous.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>
#include <vector>

namespace sapphirespool::forwarding
{

/// Gives the connections of an upstream to a few proxies, its owners; the others send them their statements.
///
/// Load pattern: a fleet with more proxies than an upstream takes connections, or few more connections than proxies. In equal parts each
/// proxy has one or none; one that has many callers refuses while the connections of its peers idle, and each transaction that rests
/// blocks a whole proxy. A few owners share the connections among all callers, keep the limit exactly, and cost the others one way to
/// a proxy and back. An owner that control no longer hears gives its place to the next one, as long as there are enough: where all owners
/// of an upstream are cut off, nobody else would serve what it holds.
class Ownership
{
public:
    /// Owners of an upstream. Two are left when one is lost, and both of its neighbours in a rolling restart; each has a third of the
    /// connections, which still is a pool worth sharing.
    static constexpr auto ownersPerUpstream = std::size_t{3};
    /// Equal parts of at least this many connections are not gathered at owners: a proxy with so many seldom has all of them taken while
    /// its peers have some free, and saves the way to them.
    static constexpr auto enoughForEach = std::size_t{3};
    /// Connections that are left for the control group, which asks members for their state while it promotes.
    static constexpr auto reserved = std::uint32_t{2};

    /// Statements under way for each slot, all holders together. A statement holds its place for its ways between proxies too, which with
    /// short statements last as long as their work: with one for each slot the slots would idle half of the time.
    static constexpr auto statementsPerSlot = std::size_t{2};
    /// Statements that one holder has under way at least, so that two callers who come at once need not wait for each other while slots idle.
    static constexpr auto leastStatements = std::size_t{2};

    Ownership(VmId self, ZoneId zone);

    /// Follows a view.
    auto viewChanged(const membership::ClusterView &view) -> void;

    /// \return the owners of \p upstream, in the order in which this proxy had better ask them; empty if each proxy holds its own
    ///         connections
    [[nodiscard]] auto ownersOf(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> std::vector<VmId>;

    /// \return what this proxy may use of \p upstream
    [[nodiscard]] auto share(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> interactive::LinkLimits;

private:
    [[nodiscard]] auto usable(const membership::GroupView &group, const membership::UpstreamView &upstream) const -> std::size_t;

    VmId self;
    ZoneId zone;
    /// Number of proxies that take callers and do not leave.
    std::size_t proxies = 0;
    /// Those of them that may own connections, all and by their zones. Kept with the view: each statement asks for owners.
    std::vector<sessions::Holder> holders;
    std::map<ZoneId, std::vector<sessions::Holder>> holdersByZone;
};

} // namespace sapphirespool::forwarding
