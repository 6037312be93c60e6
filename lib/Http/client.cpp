#include "sapphirespool/Http/client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cassert>
#include <utility>

namespace sapphirespool::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Largest answer that is read from a server, 64 MiB: above any answer the proxies allow their callers.
constexpr auto largestAnswer = std::uint64_t{64} * 1024 * 1024;

class TcpClientConnection : public ClientConnection, public std::enable_shared_from_this<TcpClientConnection>
{
public:
    explicit TcpClientConnection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    auto connect(Endpoint endpoint, TimePoint deadline) -> asio::awaitable<boost::system::error_code> override
    {
        const auto self = this->shared_from_this();
        auto unreadable = boost::system::error_code();
        const auto address = tcp::endpoint(asio::ip::make_address(endpoint.address, unreadable), endpoint.port);
        if (unreadable) {
            co_return unreadable;
        }
        this->stream.expires_at(deadline);
        const auto [error] = co_await this->stream.async_connect(address, awaitTuple);
        if (error) {
            this->close();
            co_return error;
        }
        auto ignored = boost::system::error_code();
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
        this->open = true;
        co_return error;
    }

    auto exchange(Request request, TimePoint deadline) -> asio::awaitable<ExchangeResult> override
    {
        const auto self = this->shared_from_this();
        assert(!this->busy && "one exchange at a time");
        auto result = ExchangeResult();
        if (!this->isOpen() || this->serverSpokeFirst()) {
            this->close();
            result.error = asio::error::not_connected;
            co_return result;
        }
        this->busy = true;
        this->stream.expires_at(deadline);
        request.prepare_payload();
        result.sent = true;
        co_await this->sendAndReceive(request, result);
        this->busy = false;
        if (result.error || !result.response.keep_alive()) {
            this->close();
        }
        co_return result;
    }

    auto close() -> void override
    {
        this->open = false;
        this->stream.close();
    }

    [[nodiscard]] auto isOpen() const -> bool override
    {
        return this->open;
    }

private:
    auto sendAndReceive(Request &request, ExchangeResult &result) -> asio::awaitable<void>
    {
        const auto [writeError, written] = co_await beast::http::async_write(this->stream, request, awaitTuple);
        if (writeError) {
            result.error = writeError;
            co_return;
        }
        auto parser = beast::http::response_parser<beast::http::string_body>();
        parser.body_limit(largestAnswer);
        const auto [readError, read] = co_await beast::http::async_read(this->stream, this->buffer, parser, awaitTuple);
        if (readError) {
            result.error = readError;
            co_return;
        }
        result.response = parser.release();
    }

    // A server that closed an idle connection, or sent a late answer on it, makes the socket readable before anything is
    // asked. Sending then would lose a request that is in truth not run, or read the late answer as its own. Looking first
    // closes the connection with no byte sent.
    auto serverSpokeFirst() -> bool
    {
        if (this->buffer.size() > 0) {
            return true;
        }
        auto error = boost::system::error_code();
        auto &socket = this->stream.socket();
        socket.non_blocking(true, error);
        auto byte = char{};
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error != asio::error::would_block;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool open = false;
    bool busy = false;
};

} // namespace

auto makeClientConnection(boost::asio::any_io_executor executor) -> std::shared_ptr<ClientConnection>
{
    return std::make_shared<TcpClientConnection>(std::move(executor));
}

} // namespace sapphirespool::http
