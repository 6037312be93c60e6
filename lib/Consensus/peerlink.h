// peerlink.h: the connection to one other control VM.
#pragma once

#include "sapphirespool/Consensus/messages.h"
#include "sapphirespool/Rpc/connection.h"
#include "sapphirespool/Rpc/loopthread.h"

#include <consensus.capnp.h>
#include <kj/async.h>

#include <cstddef>
#include <functional>

namespace sapphirespool::consensus
{

/// What a control VM says to one that wants to join.
struct JoinAnswer
{
    /// Whether it is of no group itself.
    bool empty = false;
    /// The group that it is of.
    std::vector<ControlMember> members;
};

/// Connects when there is something to send, or when it is kept open, and again after a failure. Messages that cannot be sent are dropped: the core sends
/// again what matters.
class PeerLink : private kj::TaskSet::ErrorHandler
{
public:
    /// \param reached called whenever a connection has come up
    PeerLink(rpc::LoopContext &context, Endpoint endpoint, std::function<void()> reached);
    virtual ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /// Says whether to connect now, and again whenever the connection is lost, also while there is nothing to send.
    auto keepOpen(bool wanted) -> void;

    /// Gives the message to the VM at the other end; \p write fills it.
    auto deliver(const std::function<void(schema::Message::Builder)> &write) -> void;

    /// Asks to be taken in; \p answered gets what the other VM says.
    auto join(const ControlMember &self, std::function<void(JoinAnswer)> answered) -> void;

private:
    auto taskFailed(kj::Exception &&exception) -> void override;
    auto ready() -> bool;
    auto connect() -> void;
    auto connectLater() -> void;
    auto noteAnswer() -> void;
    auto drop() -> void;

    rpc::LoopContext &context;
    Endpoint endpoint;
    std::function<void()> reached;
    bool keptOpen = false;
    kj::Own<rpc::Connection> connection;
    bool connecting = false;
    std::size_t unanswered = 0;
    TimePoint answeredAt{};
    TimePoint triedAt{};
    kj::TaskSet tasks;
};

} // namespace sapphirespool::consensus
