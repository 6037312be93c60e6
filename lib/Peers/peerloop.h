// peerloop.h: the part of the peer network that lives on the loop.
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

/// Connections to peers and from them. Used on the loop only.
class PeerLoop final : private kj::TaskSet::ErrorHandler
{
public:
    explicit PeerLoop(rpc::LoopContext &context);

    /// Makes a call by \p send once a connection to \p endpoint stands, and lets it go after \p timeout.
    /// \param send   starts the call; what it returns resolves with the call
    /// \param failed called if no answer came; its argument says whether the call may have been sent
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

    /// A connection that is being made, or stands.
    struct Entry
    {
        kj::ForkedPromise<void> ready = nullptr;
        kj::Own<Connection> connection;
    };

    auto entryFor(const Endpoint &endpoint) -> std::shared_ptr<Entry>;
    auto connect(const Endpoint &endpoint, const std::shared_ptr<Entry> &entry) -> kj::Promise<void>;
    auto forget(const Endpoint &endpoint, const std::weak_ptr<Entry> &entry) -> void;
    auto taskFailed(kj::Exception &&exception) -> void override;

    rpc::LoopContext context;
    std::map<Endpoint, std::shared_ptr<Entry>> entries;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Own<capnp::TwoPartyServer> server;
    /// Destroyed first, since tasks use the rest.
    kj::TaskSet tasks;
};

} // namespace sapphirespool::peers
