// connection.h: a connection to one member of a database group.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace sapphirespool::upstreams
{

/// An exchange that brought no whole answer. The connection is closed.
struct ExchangeFailure
{
    /// False proves that no byte of the request reached the upstream.
    bool sent = false;
    std::string detail;
};

using ExchangeOutcome = std::variant<platform::ExecuteReply, ExchangeFailure>;

/// A connection to an upstream, owned by one session at a time.
class Connection
{
public:
    Connection() = default;
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;
    virtual ~Connection() = default;

    /// Runs \p request, whose number is set here, and waits for its own answer until \p deadline.
    virtual auto execute(platform::ExecuteRequest request, TimePoint deadline) -> boost::asio::awaitable<ExchangeOutcome> = 0;

    /// \return whether the connection may be given to the next session: open, no transaction, nothing outstanding
    [[nodiscard]] virtual auto isClean() const -> bool = 0;

    virtual auto close() -> void = 0;
};

/// Opens connections; the seam at which tests put their own upstreams.
class Connector
{
public:
    Connector() = default;
    Connector(const Connector &) = delete;
    auto operator=(const Connector &) -> Connector & = delete;
    virtual ~Connector() = default;

    /// \return the connection, or null if none could be had before \p deadline
    virtual auto connect(Endpoint endpoint, TimePoint deadline) -> boost::asio::awaitable<std::shared_ptr<Connection>> = 0;
};

/// \return a connector that speaks HTTP/1.1 and JSON as docs/PLATFORM.md describes
[[nodiscard]] auto makeHttpConnector(boost::asio::any_io_executor executor) -> std::shared_ptr<Connector>;

} // namespace sapphirespool::upstreams
