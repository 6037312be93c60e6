// peernetwork.h: calls between proxies over Cap'n Proto RPC, on an event loop of their own.
//
// A second loop beside that of control was weighed against Cap'n Proto messages carried by Asio: the loop costs one thread and a hop
// of some microseconds each way, and needs no framing, flow control or reconnecting of our own.
#pragma once

#include "sapphirespool/Proxy/peerlink.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace sapphirespool::peers
{

/// The PeerLink of this process and the server that answers the links of others.
class PeerNetwork : public proxy::PeerLink
{
public:
    /// Listens at \p endpoint and answers by \p service, on the dispatch executor.
    /// \throws std::exception if the endpoint cannot be had
    /// \return the endpoint with the port that was bound
    virtual auto listen(const Endpoint &endpoint, std::weak_ptr<proxy::PeerService> service) -> Endpoint = 0;

    /// Ends all connections. Calls under way fail.
    virtual auto close() -> void = 0;
};

/// \param self     this process, so that calls for one before it are told apart
/// \param dispatch executor on which the link is called and the service answers
[[nodiscard]] auto makePeerNetwork(Incarnation self, boost::asio::any_io_executor dispatch) -> std::shared_ptr<PeerNetwork>;

} // namespace sapphirespool::peers
