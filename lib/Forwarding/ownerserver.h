// ownerserver.h: lets other proxies use this proxy's links.
#pragma once

#include "framedconnection.h"

#include "sapphirespool/Interactive/linkpool.h"
#include "sapphirespool/Membership/clusterview.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sapphirespool::forwarding
{

/// Finds a member by its group and name; nothing if the view has none.
using FindUpstream = std::function<std::optional<membership::UpstreamView>(const GroupId &, const UpstreamId &)>;

/// What another proxy holds here, for as long as its connection lasts. A connection that ends drops its leases: the links are closed,
/// and the upstreams roll back what was not committed.
class OwnerConnection : public std::enable_shared_from_this<OwnerConnection>
{
public:
    OwnerConnection(std::shared_ptr<FramedConnection> connection, std::shared_ptr<interactive::LinkPool> pool, FindUpstream find);
    ~OwnerConnection();

    /// \param closed called once when the connection has ended
    auto start(std::function<void()> closed) -> void;

    auto close() -> void;

private:
    class Leases;

    auto receive(Message message) -> void;
    static auto acquire(std::shared_ptr<OwnerConnection> self, std::uint64_t lease, Acquire request) -> boost::asio::awaitable<void>;
    static auto exchange(std::shared_ptr<OwnerConnection> self, std::uint64_t lease, Exchange request) -> boost::asio::awaitable<void>;
    auto release(std::uint64_t lease, Release request) -> void;
    static auto prove(std::shared_ptr<OwnerConnection> self, std::uint64_t number, Prove request) -> boost::asio::awaitable<void>;
    auto refuse(std::uint64_t lease, interactive::FailureReply why) -> void;

    std::shared_ptr<FramedConnection> connection;
    std::shared_ptr<interactive::LinkPool> pool;
    FindUpstream find;
    std::unique_ptr<Leases> leases;
};

} // namespace sapphirespool::forwarding
