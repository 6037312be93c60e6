// ownerserver.h: server side of a connection from another proxy, which uses this proxy's connections to upstreams.
#pragma once

#include "framedconnection.h"

#include "sapphirespool/Decisions/quotaallocator.h"
#include "sapphirespool/Forwarding/forwardingpool.h"
#include "sapphirespool/Interactive/connectionpool.h"
#include "sapphirespool/Membership/clusterview.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sapphirespool::forwarding
{

/// The upstreams to which this proxy may open connections according to its view.
class OwnedUpstreams
{
public:
    OwnedUpstreams() = default;
    OwnedUpstreams(const OwnedUpstreams &) = delete;
    auto operator=(const OwnedUpstreams &) -> OwnedUpstreams & = delete;
    virtual ~OwnedUpstreams() = default;

    /// Waits at most \p waitLimit for a view that makes this proxy an owner of \p upstream.
    ///
    /// Load pattern: after a power loss, or when owners change, views reach the proxies one after another, and proxies that have the new view
    /// send requests to owners that do not have it yet. If these owners refused them, each caller would use up an attempt some tens of
    /// milliseconds before its request could be served.
    /// \return the upstream, or nothing if no such view arrived
    virtual auto awaitOwned(GroupId group, UpstreamId upstream, Duration waitLimit) -> boost::asio::awaitable<std::optional<membership::UpstreamView>> = 0;

    /// \return whether this proxy may still run commands for others; it may not when it is about to stop
    [[nodiscard]] virtual auto mayLend() const -> bool = 0;
};

/// The parts of customers' quotas that this proxy allocates.
class QuotaParts
{
public:
    QuotaParts() = default;
    QuotaParts(const QuotaParts &) = delete;
    auto operator=(const QuotaParts &) -> QuotaParts & = delete;
    virtual ~QuotaParts() = default;

    /// Takes an operation out of this proxy's part of the quota of \p customer.
    /// \param maxWait longest time that it may wait for room
    [[nodiscard]] virtual auto takeOwn(const CustomerId &customer, TimePoint now, Duration maxWait) -> decisions::QuotaDecision = 0;
};

/// Serves the requests of another proxy and holds its leases for as long as its connection lasts. When the connection ends, the leases
/// are dropped: the connections to the upstreams are closed, and the upstreams roll back what was not committed.
class OwnerConnection : public std::enable_shared_from_this<OwnerConnection>
{
public:
    OwnerConnection(std::shared_ptr<FramedConnection> connection,
                    std::shared_ptr<interactive::ConnectionPool> pool,
                    std::weak_ptr<OwnedUpstreams> owned,
                    std::shared_ptr<QuotaParts> quota);
    ~OwnerConnection();

    /// \param closed called once when the connection has ended
    auto start(std::function<void()> closed) -> void;

    auto close() -> void;

    [[nodiscard]] auto lent() const -> LentWork;

private:
    class Leases;

    auto receive(Message message) -> void;
    static auto acquire(std::shared_ptr<OwnerConnection> self, std::uint64_t lease, Acquire request) -> boost::asio::awaitable<void>;
    static auto exchange(std::shared_ptr<OwnerConnection> self, std::uint64_t lease, Exchange request) -> boost::asio::awaitable<void>;
    auto release(std::uint64_t lease, Release request) -> void;
    static auto prove(std::shared_ptr<OwnerConnection> self, std::uint64_t number, Prove request) -> boost::asio::awaitable<void>;
    auto findOwned(GroupId group, UpstreamId upstream, Duration waitLimit) -> boost::asio::awaitable<std::optional<membership::UpstreamView>>;
    auto refuse(std::uint64_t lease, Refused refused) -> void;
    [[nodiscard]] auto mayLend() const -> bool;

    std::shared_ptr<FramedConnection> connection;
    std::shared_ptr<interactive::ConnectionPool> pool;
    std::weak_ptr<OwnedUpstreams> owned;
    std::shared_ptr<QuotaParts> quota;
    std::unique_ptr<Leases> leases;
};

} // namespace sapphirespool::forwarding
