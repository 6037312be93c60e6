// server.h: accepts HTTP/1.1 connections and hands their requests to a handler.
#pragma once

#include "sapphirespool/Http/message.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace sapphirespool::http
{

/// Closes the connection of a handler; no further byte is sent on it. To be called on the connection's executor.
using CloseConnection = std::function<void()>;

/// Answers requests. A handler may be called for many connections at a time.
class Handler
{
public:
    Handler() = default;
    Handler(const Handler &) = delete;
    auto operator=(const Handler &) -> Handler & = delete;
    virtual ~Handler() = default;

    /// \return the answer to \p request
    virtual auto handle(Request request) -> boost::asio::awaitable<Response> = 0;

    /// \return the answer to bytes that are no request, or too many of them
    virtual auto reject(Status status, std::string_view detail) -> Response = 0;

    /// Called once for each connection, for handlers that keep state by connection.
    /// \return a handler for this connection alone, which is destroyed when the connection ends; null to use this one
    virtual auto forConnection(CloseConnection close) -> std::shared_ptr<Handler>;
};

/// Bounds on what one connection may cost.
struct ServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024 * 1024;
    /// Time for one whole request to arrive once its first byte has.
    std::chrono::milliseconds receiveTimeout{10'000};
    /// Time that a connection may stay without a request.
    std::chrono::milliseconds idleTimeout{300'000};
    std::size_t connections = 20'000;
};

/// What the server's connections are doing.
struct ServerCounts
{
    std::size_t connections = 0;
    /// Requests that were read and not yet answered.
    std::size_t running = 0;
};

/// Listens at one endpoint.
class Server
{
public:
    Server() = default;
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;
    virtual ~Server() = default;

    /// Starts to accept.
    /// \throws boost::system::system_error if the endpoint cannot be had
    /// \return the endpoint with the port that was bound
    virtual auto listen(const Endpoint &endpoint) -> Endpoint = 0;

    /// Accepts no further connections, answers what was read with `Connection: close` and closes idle connections.
    virtual auto drain() -> void = 0;

    /// Closes all connections, running requests included.
    virtual auto close() -> void = 0;

    [[nodiscard]] virtual auto counts() const -> ServerCounts = 0;
};

/// Hands out the executor on which the next connection is to live.
using ExecutorSource = std::function<boost::asio::any_io_executor()>;

/// \param acceptor executor of the listening socket
/// \param sessions asked for an executor for each connection
[[nodiscard]] auto makeServer(const boost::asio::any_io_executor &acceptor, ExecutorSource sessions, ServerLimits limits, std::shared_ptr<Handler> handler)
    -> std::shared_ptr<Server>;

} // namespace sapphirespool::http
