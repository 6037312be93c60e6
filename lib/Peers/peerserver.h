// peerserver.h: RPC server for calls of other proxies.
#pragma once

#include "peers.capnp.h"

#include "sapphirespool/Proxy/peerlink.h"
#include "sapphirespool/Rpc/completions.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace sapphirespool::peers
{

/// Runs on the event loop and passes each call to the service on the dispatch executor.
class PeerServer final : public schema::Peer::Server
{
public:
    PeerServer(Incarnation self, std::weak_ptr<rpc::LoopThread> loop, boost::asio::any_io_executor dispatch, std::weak_ptr<proxy::PeerService> service);

protected:
    auto startKey(StartKeyContext context) -> kj::Promise<void> override;
    auto finishKey(FinishKeyContext context) -> kj::Promise<void> override;
    auto abandonKey(AbandonKeyContext context) -> kj::Promise<void> override;
    auto updateHome(UpdateHomeContext context) -> kj::Promise<void> override;
    auto findHome(FindHomeContext context) -> kj::Promise<void> override;
    auto forward(ForwardContext context) -> kj::Promise<void> override;

private:
    template <typename Result, typename Work>
    auto onDispatch(Work work) -> kj::Promise<Result>;

    Incarnation self;
    std::shared_ptr<rpc::Completions> completions;
    boost::asio::any_io_executor dispatch;
    std::weak_ptr<proxy::PeerService> service;
};

} // namespace sapphirespool::peers
