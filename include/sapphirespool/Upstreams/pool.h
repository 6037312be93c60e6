// pool.h: the connections that this proxy holds to upstreams.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Upstreams/connection.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace sapphirespool::upstreams
{

/// What the connections to one upstream are doing.
struct PoolCounts
{
    std::size_t connecting = 0;
    std::size_t idle = 0;
    std::size_t busy = 0;
};

/// Owns the connections; all calls on the dispatch thread.
class Pool
{
public:
    Pool() = default;
    Pool(const Pool &) = delete;
    auto operator=(const Pool &) -> Pool & = delete;
    virtual ~Pool() = default;

    /// Takes a clean connection to \p upstream, opening one if the share allows it.
    /// The caller owns it alone until it drops the pointer; then it returns to the pool if it is clean and is closed otherwise.
    /// \return null if the share is used up or no connection could be had before \p deadline; nothing was sent
    virtual auto acquire(membership::UpstreamView upstream, TimePoint deadline) -> boost::asio::awaitable<std::shared_ptr<Connection>> = 0;

    /// Bounds the connections to \p upstream; surplus ones close as they become idle.
    virtual auto setLimit(const UpstreamId &upstream, std::uint32_t connections) -> void = 0;

    /// Opens connections ahead of demand until \p connections stand, within the limit.
    virtual auto warm(membership::UpstreamView upstream, std::uint32_t connections) -> void = 0;

    /// Closes idle connections to \p upstream, and busy ones once their session drops them.
    virtual auto retire(const UpstreamId &upstream) -> void = 0;

    [[nodiscard]] virtual auto counts(const UpstreamId &upstream) const -> PoolCounts = 0;
};

/// \return a pool that opens its connections by \p connector
/// \param warming executor on which warm() opens connections; without one they are opened on demand only
[[nodiscard]] auto makePool(std::shared_ptr<Connector> connector, boost::asio::any_io_executor warming = {}) -> std::shared_ptr<Pool>;

} // namespace sapphirespool::upstreams
