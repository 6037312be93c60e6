// forwardingpool.h: links to upstreams, this proxy's own and those of other proxies.
#pragma once

#include "sapphirespool/Forwarding/ownership.h"
#include "sapphirespool/Interactive/linkpool.h"
#include "sapphirespool/Membership/clusterview.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace sapphirespool::forwarding
{

/// A pool that takes a link from an owner where this proxy is none. All calls come on its executor.
class ForwardingPool : public interactive::LinkPool
{
public:
    /// Accepts other proxies at \p endpoint, which use this proxy's own links.
    /// \throws boost::system::system_error if the endpoint cannot be had
    virtual auto listen(const Endpoint &endpoint) -> Endpoint = 0;

    /// Follows \p view: who owns which upstream, and how many links that allows.
    virtual auto viewChanged(std::shared_ptr<const membership::ClusterView> view) -> void = 0;

    /// Closes the connections to and from other proxies.
    virtual auto close() -> void = 0;
};

/// \param own pool of this proxy's own links; the new one sees to their limits
[[nodiscard]] auto makeForwardingPool(VmId self, ZoneId zone, std::shared_ptr<interactive::LinkPool> own, const boost::asio::any_io_executor &executor)
    -> std::shared_ptr<ForwardingPool>;

} // namespace sapphirespool::forwarding
