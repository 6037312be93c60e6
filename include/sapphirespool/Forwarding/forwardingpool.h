// forwardingpool.h: pool of connections to upstreams, opened by this proxy or forwarded through other proxies.
#pragma once

#include "sapphirespool/Forwarding/ownership.h"
#include "sapphirespool/Interactive/connectionpool.h"
#include "sapphirespool/Interactive/quotagate.h"
#include "sapphirespool/Membership/clusterview.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace sapphirespool::forwarding
{

/// What other proxies use of this proxy's connections.
struct LentWork
{
    /// Leases that they hold, each for a statement or a transaction.
    std::size_t leases = 0;
    /// Commands that run on them, and answers that are not yet sent.
    std::size_t exchanges = 0;
};

/// Leases connections to upstreams. Where this proxy is not an owner of an upstream (see Ownership), it leases a connection from one of
/// the owners and forwards the statements to it. All calls must come on the executor of the pool.
class ForwardingPool : public interactive::ConnectionPool
{
public:
    /// Accepts connections from other proxies at \p endpoint and serves them from this proxy's own connections.
    /// \return the endpoint with the port that was bound
    /// \throws boost::system::system_error if the endpoint cannot be bound
    virtual auto listen(const Endpoint &endpoint) -> Endpoint = 0;

    /// Applies \p view, which determines the owners of each upstream and how many connections this proxy may open to it.
    virtual auto viewChanged(std::shared_ptr<const membership::ClusterView> view) -> void = 0;

    /// \return what admits the operations of customers within their quotas
    [[nodiscard]] virtual auto quota() -> std::shared_ptr<interactive::QuotaGate> = 0;

    /// From \p end on runs nothing for other proxies: they are told that nothing was sent to the upstream. What runs goes on.
    virtual auto endLendingAt(TimePoint end) -> void = 0;

    [[nodiscard]] virtual auto lent() const -> LentWork = 0;

    /// Closes the connections to and from other proxies.
    virtual auto close() -> void = 0;
};

/// \param localPool pool of this proxy's own connections; the new pool sets its limits
/// \param views the lease under which this proxy allocates quota
/// \param quotaSlack operations beyond a customer's quota that may run in its window
[[nodiscard]] auto makeForwardingPool(VmId self,
                                      ZoneId zone,
                                      std::shared_ptr<interactive::ConnectionPool> localPool,
                                      std::shared_ptr<const membership::ViewHolder> views,
                                      double quotaSlack,
                                      const boost::asio::any_io_executor &executor) -> std::shared_ptr<ForwardingPool>;

} // namespace sapphirespool::forwarding
