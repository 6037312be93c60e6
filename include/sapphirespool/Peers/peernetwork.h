// peernetwork.h: calls between proxies over Cap'n Proto RPC, on a separate event loop.
//
// The alternative was to send Cap'n Proto messages over Asio. A second event loop beside that of control costs one thread and a thread switch
// of some microseconds in each direction, but requires no framing, flow control or reconnection code in this project.
#pragma once

#include "sapphirespool/Proxy/peerlink.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace sapphirespool::peers
{

/// Client connections of this process to other proxies, and the server for connections from them.
class PeerNetwork : public proxy::PeerLink
{
public:
    /// Listens at \p endpoint and passes calls to \p service on the dispatch executor.
    /// \throws std::exception if the endpoint cannot be bound
    /// \return the endpoint with the port that was bound
    virtual auto listen(const Endpoint &endpoint, std::weak_ptr<proxy::PeerService> service) -> Endpoint = 0;

    /// Closes all connections. Calls in flight fail.
    virtual auto close() -> void = 0;
};

/// \param self     incarnation of this process; calls to an earlier process at its address are refused
/// \param dispatch executor of the callers and of the service
[[nodiscard]] auto makePeerNetwork(Incarnation self, boost::asio::any_io_executor dispatch) -> std::shared_ptr<PeerNetwork>;

} // namespace sapphirespool::peers
