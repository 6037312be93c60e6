// quotaplacement.h: decides which proxies allocate the quota of a customer.
#pragma once

#include "sapphirespool/Decisions/quotaallocator.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Sessions/rendezvous.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>
#include <vector>

namespace sapphirespool::forwarding
{

/// Splits the quota of each customer into equal parts and assigns them to proxies by rendezvous hashing.
///
/// Failure: an allocator dies, freezes or is cut off. The other parts go on, and a customer within its usual rate needs not all of them.
/// The parts stay with a proxy that is silent or stopping, since it is mostly back within seconds: moved, they would be without an
/// allocator for longer than that (see membership::ProxyView::settled).
class QuotaPlacement
{
public:
    /// Parts of a large quota. Five of eight cover a customer that uses five eighths of its quota.
    static constexpr auto maxParts = std::size_t{8};

    /// \param slack operations beyond a quota that may run in its window because it is split; a part that is used up while others have
    ///              room would refuse customers below their limit
    explicit QuotaPlacement(VmId self, double slack = 0);

    /// Recomputes the placement if \p view has other customers or other proxies than the view before.
    /// \return whether it changed
    auto viewChanged(const membership::ClusterView &view) -> bool;

    /// \return the allocators of the quota of \p customer; empty if it has no quota
    [[nodiscard]] auto allocatorsOf(const CustomerId &customer) const -> const std::vector<sessions::Holder> &;

    /// \return the parts that this proxy allocates
    [[nodiscard]] auto ownParts() const -> std::vector<decisions::QuotaPart>;

private:
    struct Placed
    {
        membership::Quota part;
        std::vector<sessions::Holder> allocators;
    };

    VmId self;
    double slack;
    support::SharedList<membership::CustomerView> customers;
    std::vector<sessions::Holder> candidates;
    /// Whether this proxy may allocate, by the newest view.
    bool settled = false;
    std::map<CustomerId, Placed> placed;
};

} // namespace sapphirespool::forwarding
