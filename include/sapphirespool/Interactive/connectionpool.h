// connectionpool.h: this proxy's pool of upstream connections, shared by its sessions.
#pragma once

#include "sapphirespool/Interactive/positionproofs.h"
#include "sapphirespool/Interactive/upstreamconnection.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <variant>

namespace sapphirespool::interactive
{

class ConnectionPool;

/// Exclusive use of a connection. Its destructor closes the connection, so that a session that ends in the middle of an operation leaves no
/// open transaction to the next session; release() is only for connections that are known to be clean.
class ConnectionLease
{
public:
    ConnectionLease(std::weak_ptr<ConnectionPool> pool, UpstreamId upstream, std::shared_ptr<UpstreamConnection> connection);
    ~ConnectionLease();
    ConnectionLease(const ConnectionLease &) = delete;
    auto operator=(const ConnectionLease &) -> ConnectionLease & = delete;
    ConnectionLease(ConnectionLease &&) noexcept = default;
    auto operator=(ConnectionLease &&other) noexcept -> ConnectionLease &;

    [[nodiscard]] auto connection() const -> UpstreamConnection &;
    [[nodiscard]] auto upstream() const -> const UpstreamId &;

    /// Returns the connection, which must be outside of a transaction, to the pool for other sessions.
    auto release() -> void;

private:
    auto closeIfLeased() -> void;

    std::weak_ptr<ConnectionPool> pool;
    UpstreamId upstreamId;
    std::shared_ptr<UpstreamConnection> leased;
};

/// A statement's request for a connection, with the values that determine its position in the queue.
struct ConnectionRequest
{
    /// Customer whose connection is needed; empty for callers without a customer. An upstream learns the customer when a connection begins.
    CustomerId customer;
    /// Whether any customer's connection will do, for commands of the proxy itself.
    bool anyCustomer = false;
    /// A connection that already has these values is preferred.
    SessionValues values;
    /// Longest wait until a connection becomes available.
    Duration waitLimit{};
    /// Time limit for opening a connection.
    Duration connectLimit{};
    /// Time within which the caller wants the answer.
    Duration objective = std::chrono::hours(1);
    /// Priority from the service's configuration; 0 is served first.
    std::uint32_t priority = 0;
    /// Whether the first command on the connection takes one of the upstream's slots.
    bool takesSlot = true;
};

/// The share of an upstream that one proxy may use at a time.
struct ConnectionLimits
{
    std::size_t connections = 0;
    /// Statements that the upstream runs or queues at a time. Only a few more than its slots, because the upstream runs the statements that it queues in its
    /// own order, not by the callers' priorities and deadlines.
    std::size_t statements = 0;
    /// Connections that stay open while they are idle.
    std::size_t idle = std::numeric_limits<std::size_t>::max();
};

/// A lease, or the reason for its refusal; in that case no command was run.
using LeaseResult = std::variant<ConnectionLease, FailureReply>;

/// Numbers of connections to one upstream by state, and of waiting requests.
struct ConnectionCounts
{
    std::size_t idle = 0;
    /// In use or being opened.
    std::size_t busy = 0;
    std::size_t waiting = 0;
    /// Busy connections that take none of the upstream's slots, for example because they are idle in transaction.
    std::size_t withoutSlot = 0;
};

/// Pools connections by upstream, up to the limit of each upstream. All calls run on the executor.
///
/// Sessions lease a connection for a statement or a transaction. Without the pool each session would need a connection of its own, and the
/// sessions would exceed the connection limits of the upstreams.
class ConnectionPool
{
public:
    ConnectionPool() = default;
    ConnectionPool(const ConnectionPool &) = delete;
    auto operator=(const ConnectionPool &) -> ConnectionPool & = delete;
    virtual ~ConnectionPool() = default;

    /// Leases a connection as soon as the upstream has a free slot: an idle one, or a new one if the limit allows. Otherwise the request waits
    /// in the upstream's queue (decisions::StatementQueue).
    virtual auto acquire(GroupId group, membership::UpstreamView upstream, ConnectionRequest claim) -> boost::asio::awaitable<LeaseResult> = 0;

    /// Probes whether \p upstream accepts a connection from this proxy. The connection does not count for the pool's limits.
    /// \param thorough whether the upstream must also send its greeting, which costs it some work
    /// \return the reason if it does not within \p limit; nothing if it does
    virtual auto probe(GroupId group, membership::UpstreamView upstream, Duration limit, bool thorough) -> boost::asio::awaitable<std::optional<FailureReply>>
        = 0;

    /// Gets a proof of the end of the group's log from \p upstream if it is the primary. The pool begins a read-write transaction and rolls it
    /// back, which only a primary accepts and which takes none of its slots.
    /// \param maxAge maximum age of an existing proof that is returned instead
    /// \return nothing if the upstream is not the primary, or does not answer within \p limit
    virtual auto prove(GroupId group, membership::UpstreamView upstream, Duration maxAge, Duration limit)
        -> boost::asio::awaitable<std::optional<PositionProof>>
        = 0;

    /// \param limits this proxy's share of \p upstream; if they allow no connection, the pool erases its entry once that is unused
    virtual auto setLimits(const UpstreamId &upstream, const ConnectionLimits &limits) -> void = 0;

    /// Closes the idle connections to \p upstream now, and the busy ones when they are returned.
    virtual auto retire(const UpstreamId &upstream) -> void = 0;

    [[nodiscard]] virtual auto counts(const UpstreamId &upstream) const -> ConnectionCounts = 0;
    [[nodiscard]] virtual auto counts() const -> ConnectionCounts = 0;

private:
    friend class ConnectionLease;
    /// Takes back a leased connection.
    /// \param clean whether the connection may be leased again; otherwise it is closed
    virtual auto returned(const UpstreamId &upstream, std::shared_ptr<UpstreamConnection> connection, bool clean) -> void = 0;
};

[[nodiscard]] auto makeConnectionPool(std::shared_ptr<UpstreamConnector> connector, boost::asio::any_io_executor executor) -> std::shared_ptr<ConnectionPool>;

} // namespace sapphirespool::interactive
