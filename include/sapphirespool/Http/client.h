// client.h: one HTTP/1.1 connection to a server, one exchange at a time.
#pragma once

#include "sapphirespool/Http/message.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <memory>

namespace sapphirespool::http
{

/// How far an exchange came.
struct ExchangeResult
{
    /// Empty if the whole answer arrived.
    boost::system::error_code error;
    /// Whether a byte of the request may have reached the server. False proves that the server did not see it.
    bool sent = false;
    Response response;
};

/// A connection; after an error it is closed and stays so.
class ClientConnection
{
public:
    ClientConnection() = default;
    ClientConnection(const ClientConnection &) = delete;
    auto operator=(const ClientConnection &) -> ClientConnection & = delete;
    virtual ~ClientConnection() = default;

    /// Connects before \p deadline.
    virtual auto connect(Endpoint endpoint, TimePoint deadline) -> boost::asio::awaitable<boost::system::error_code> = 0;

    /// Sends \p request and reads the answer before \p deadline.
    virtual auto exchange(Request request, TimePoint deadline) -> boost::asio::awaitable<ExchangeResult> = 0;

    virtual auto close() -> void = 0;

    [[nodiscard]] virtual auto isOpen() const -> bool = 0;
};

/// \return an unconnected connection on \p executor
[[nodiscard]] auto makeClientConnection(boost::asio::any_io_executor executor) -> std::shared_ptr<ClientConnection>;

} // namespace sapphirespool::http
