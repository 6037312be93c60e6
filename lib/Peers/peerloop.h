// peerloop.h: the part of the peer network that runs on the event loop.
#pragma once

#include "peers.capnp.h"

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/types.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sapphirespool::peers
{

/// Connections to and from peers. Used on the event loop only.
class PeerLoop final : private kj::TaskSet::ErrorHandler
{
public:
    explicit PeerLoop(rpc::LoopContext &context);

    /// Calls \p send after a connection to \p endpoint is established, and cancels the call after \p timeout.
    /// \param send   starts the call; the returned promise resolves when the call completes
    /// \param failed called if the call does not complete; the argument is whether it may have been sent
    auto call(const Endpoint &endpoint,
              std::chrono::milliseconds timeout,
              std::function<kj::Promise<void>(schema::Peer::Client &)> send,
              std::function<void(bool)> failed) -> void;

    /// \return the port that was bound
    auto listen(const Endpoint &endpoint, schema::Peer::Client service) -> std::uint16_t;

private:
    struct Connection
    {
        explicit Connection(kj::Own<kj::AsyncIoStream> stream);

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
        schema::Peer::Client peer;
    };

    /// A connection that is being or has been established.
    struct Entry
    {
        kj::ForkedPromise<void> ready = nullptr;
        kj::Own<Connection> connection;
    };

    auto entryFor(const Endpoint &endpoint) -> std::shared_ptr<Entry>;
    auto connect(const Endpoint &endpoint, const std::shared_ptr<Entry> &entry) -> kj::Promise<void>;
    auto dropConnection(const Endpoint &endpoint, const std::weak_ptr<Entry> &entry) -> void;
    auto taskFailed(kj::Exception &&exception) -> void override;

    rpc::LoopContext context;
    std::map<Endpoint, std::shared_ptr<Entry>> entries;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Own<capnp::TwoPartyServer> server;
    /// Declared last to be destroyed first, because the tasks use the other members.
    kj::TaskSet tasks;
};

} // namespace sapphirespool::peers
