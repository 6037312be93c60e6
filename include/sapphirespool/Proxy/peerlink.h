// peerlink.h: what proxies ask of each other.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Sessions/coverage.h"
#include "sapphirespool/Sessions/keyrecord.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <variant>

namespace sapphirespool::proxy
{

/// A session and the group in which its position is wanted.
struct HomeQuery
{
    SessionId session;
    GroupId group;
};

/// A session has come this far in a group.
struct HomeUpdate
{
    SessionId session;
    GroupId group;
    sessions::TermPosition seen;
};

/// A call to a peer that brought no answer.
struct PeerFailure
{
    /// False proves that the peer did not get the call.
    bool sent = true;
};

using ForwardOutcome = std::variant<Reply, PeerFailure>;

/// Calls other proxies. A call names the process it is meant for, and a process that was restarted since does not answer it:
/// it would answer for memories that it has lost. All calls on the dispatch thread.
class PeerLink
{
public:
    PeerLink() = default;
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;
    virtual ~PeerLink() = default;

    /// \return nothing if no answer came in time
    virtual auto startKey(membership::ProxyView peer, sessions::KeyStart start, std::chrono::milliseconds timeout)
        -> boost::asio::awaitable<std::optional<sessions::KeyReply>>
        = 0;

    /// Sent once, without an answer.
    virtual auto finishKey(membership::ProxyView peer, sessions::KeyFinish finish) -> void = 0;
    virtual auto abandonKey(membership::ProxyView peer, sessions::KeyAbandon abandon) -> void = 0;

    /// \return whether the peer took it in
    virtual auto updateHome(membership::ProxyView peer, HomeUpdate update, std::chrono::milliseconds timeout) -> boost::asio::awaitable<bool> = 0;

    /// \return nothing if the peer does not know, or did not answer in time
    virtual auto findHome(membership::ProxyView peer, HomeQuery query, std::chrono::milliseconds timeout)
        -> boost::asio::awaitable<std::optional<sessions::TermPosition>>
        = 0;

    /// Runs one step of a transaction that the peer holds.
    virtual auto forward(membership::ProxyView peer, TransactionRequest request, std::chrono::milliseconds timeout) -> boost::asio::awaitable<ForwardOutcome>
        = 0;
};

/// Answers the calls of other proxies, on the dispatch thread.
class PeerService
{
public:
    PeerService() = default;
    PeerService(const PeerService &) = delete;
    auto operator=(const PeerService &) -> PeerService & = delete;
    virtual ~PeerService() = default;

    virtual auto startKey(const sessions::KeyStart &start) -> sessions::KeyReply = 0;
    virtual auto finishKey(const sessions::KeyFinish &finish) -> void = 0;
    virtual auto abandonKey(const sessions::KeyAbandon &abandon) -> void = 0;
    virtual auto updateHome(const HomeUpdate &update) -> void = 0;
    virtual auto findHome(const HomeQuery &query) -> std::optional<sessions::TermPosition> = 0;
    virtual auto runForwarded(TransactionRequest request) -> boost::asio::awaitable<Reply> = 0;
};

} // namespace sapphirespool::proxy
