// peercalls.h: asks the holders of a record, of which this proxy may be one.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Proxy/peerlink.h"
#include "sapphirespool/Sessions/rendezvous.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace sapphirespool::proxy
{

/// Calls holders by their view; a call to this proxy itself takes no network.
class PeerCalls
{
public:
    /// \param local answers for this proxy; outlives this object
    PeerCalls(VmId self, std::shared_ptr<PeerLink> link, PeerService &local, std::chrono::milliseconds timeout);

    auto startKey(membership::ProxyView peer, sessions::KeyStart start) -> boost::asio::awaitable<std::optional<sessions::KeyReply>>;
    auto finishKey(const membership::ProxyView &peer, const sessions::KeyFinish &finish) -> void;
    auto abandonKey(const membership::ProxyView &peer, const sessions::KeyAbandon &abandon) -> void;
    auto updateHome(membership::ProxyView peer, HomeUpdate update) -> boost::asio::awaitable<bool>;
    auto findHome(membership::ProxyView peer, HomeQuery query) -> boost::asio::awaitable<std::optional<sessions::TermPosition>>;

    [[nodiscard]] auto timeout() const -> std::chrono::milliseconds;

private:
    VmId self;
    std::shared_ptr<PeerLink> link;
    PeerService &local;
    std::chrono::milliseconds callTimeout;
};

/// \return the holders of \p name by \p view
[[nodiscard]] auto holdersOf(const membership::ClusterView &view, std::string_view name, std::size_t copies) -> std::vector<membership::ProxyView>;

} // namespace sapphirespool::proxy
