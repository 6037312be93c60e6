// connection.h: a connection of Cap'n Proto RPC to another process.
#pragma once

#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/types.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace sapphirespool::rpc
{

/// An open connection; what was asked over it fails when it is destroyed.
class Connection
{
public:
    explicit Connection(kj::Own<kj::AsyncIoStream> stream);

    /// \return the capability that the other end offers
    [[nodiscard]] auto bootstrap() -> capnp::Capability::Client;

    /// \return a promise that is fulfilled once the connection has ended
    [[nodiscard]] auto onDisconnect() -> kj::Promise<void>;

private:
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    /// Asked for once. Asking again after the peer has ended throws out of whatever is under way, while calls on the capability then only
    /// fail.
    capnp::Capability::Client peer;
};

/// A connection that is not there after this time is tried anew. The first packet to a VM that is just starting is lost, and TCP would send it
/// again after a second; a way between regions and back takes less than this.
constexpr auto connectLimit = 250 * kj::MILLISECONDS;

/// Connects to \p endpoint, or fails after \p limit.
[[nodiscard]] auto connect(LoopContext &context, const Endpoint &endpoint, kj::Duration limit) -> kj::Promise<kj::Own<Connection>>;

} // namespace sapphirespool::rpc
