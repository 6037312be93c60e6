// peerlink.h: the connection to one other control VM.
#pragma once

#include "formation.h"
#include "sapphirespool/Consensus/messages.h"
#include "sapphirespool/Rpc/connection.h"
#include "sapphirespool/Rpc/loopthread.h"

#include <consensus.capnp.h>
#include <kj/async.h>

#include <cstddef>
#include <functional>

namespace sapphirespool::consensus
{

/// Connects when there is a message to send or when the link is kept open, and reconnects after a failure. Drops messages that cannot
/// be sent, as the core retransmits those that it needs.
class PeerLink : private kj::TaskSet::ErrorHandler
{
public:
    /// \param onConnected called whenever a connection is established
    PeerLink(rpc::LoopContext &context, Endpoint endpoint, std::function<void()> onConnected);
    virtual ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /// Sets whether to connect now and to reconnect whenever the connection is lost, even while there is nothing to send.
    auto keepOpen(bool wanted) -> void;

    /// Sends a message to the peer; \p write fills it in.
    auto deliver(const std::function<void(schema::Message::Builder)> &write) -> void;

    /// Sends a request to join the group; \p onAnswer receives the answer of the peer.
    auto join(const ControlMember &self, std::function<void(JoinAnswer)> onAnswer) -> void;

    /// Tells the peer that \p self is about to stop; \p onAnswer receives whether it may.
    auto leave(ReplicaId self, std::function<void(bool)> onAnswer) -> void;

private:
    auto taskFailed(kj::Exception &&exception) -> void override;
    auto readyToSend() -> bool;
    auto connect() -> void;
    auto scheduleReconnect() -> void;
    auto recordAnswer() -> void;
    auto disconnect() -> void;

    rpc::LoopContext &context;
    Endpoint endpoint;
    std::function<void()> onConnected;
    bool keptOpen = false;
    kj::Own<rpc::Connection> connection;
    bool connecting = false;
    std::size_t unansweredMessages = 0;
    TimePoint lastAnswerAt{};
    TimePoint lastAttemptAt{};
    kj::TaskSet tasks;
};

} // namespace sapphirespool::consensus
