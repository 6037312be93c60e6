#include "sapphirespool/Http/server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>

namespace sapphirespool::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto httpVersion = 11U;

/// State that a server shares with its connections, which may outlive it.
struct Shared
{
    ServerLimits limits;
    std::shared_ptr<Handler> handler;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> running = 0;
    std::atomic<bool> draining = false;
};

/// One caller's connection; each pending operation holds it.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, std::shared_ptr<Shared> shared)
        : stream(std::move(socket))
        , watchdog(this->stream.get_executor())
        , shared(std::move(shared))
    {
        ++this->shared->connections;
    }

    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    ~Connection()
    {
        --this->shared->connections;
    }

    auto start() -> void
    {
        auto close = [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->shut();
            }
        };
        auto own = this->shared->handler->forConnection(std::move(close));
        this->handler = own != nullptr ? std::move(own) : this->shared->handler;
        asio::co_spawn(this->stream.get_executor(), serve(this->shared_from_this()), asio::detached);
    }

    /// Closes the connection if it waits for a request. May be called from any thread.
    auto closeIfIdle() -> void
    {
        asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
            // A request that has arrived and was not yet read would be cut by a stop that promises to cut none.
            if (self->idle && !self->hasBytes()) {
                self->shut();
            }
        });
    }

    /// Closes the connection whatever it does. May be called from any thread.
    auto close() -> void
    {
        asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
            self->shut();
        });
    }

private:
    using Parser = beast::http::request_parser<beast::http::string_body>;

    static auto serve(std::shared_ptr<Connection> self) -> asio::awaitable<void>
    {
        auto keepAlive = true;
        while (keepAlive) {
            keepAlive = co_await self->serveOne();
        }
        self->shut();
    }

    auto serveOne() -> asio::awaitable<bool>
    {
        if (!co_await this->awaitFirstByte()) {
            co_return false;
        }
        auto parser = Parser();
        parser.header_limit(this->shared->limits.headerBytes);
        parser.body_limit(this->shared->limits.bodyBytes);
        this->limitTime(this->shared->limits.receiveTimeout);
        const auto [error, size] = co_await beast::http::async_read(this->stream, this->buffer, parser, awaitTuple);
        this->unlimitTime();
        if (error) {
            co_await this->rejectBytes(error);
            co_return false;
        }
        co_return co_await this->answer(parser.release());
    }

    auto awaitFirstByte() -> asio::awaitable<bool>
    {
        if (this->buffer.size() > 0) {
            co_return true;
        }
        if (this->shared->draining && !this->hasBytes()) {
            co_return false;
        }
        // The buffer of an idle connection is given back: thousands of callers stay connected and say nothing.
        this->buffer.shrink_to_fit();
        this->idle = true;
        this->limitTime(this->shared->limits.idleTimeout);
        const auto [error] = co_await this->stream.socket().async_wait(tcp::socket::wait_read, awaitTuple);
        this->unlimitTime();
        this->idle = false;
        co_return !error;
    }

    [[nodiscard]] auto hasBytes() -> bool
    {
        auto error = beast::error_code();
        return this->stream.socket().available(error) > 0 && !error;
    }

    /// Cancels what the socket waits for after \p time, and leaves it open, so that the peer can be told why.
    auto limitTime(std::chrono::milliseconds time) -> void
    {
        this->timedOut = false;
        this->watchdog.expires_after(time);
        const auto round = ++this->watchdogRound;
        this->watchdog.async_wait([weak = this->weak_from_this(), round](const beast::error_code &error) {
            const auto self = weak.lock();
            // The time may have run out in the same moment as the wait ended; the next wait must not be cancelled for it.
            if (error || self == nullptr || round != self->watchdogRound) {
                return;
            }
            self->timedOut = true;
            self->stream.cancel();
        });
    }

    auto unlimitTime() -> void
    {
        ++this->watchdogRound;
        this->watchdog.cancel();
    }

    auto answer(Request request) -> asio::awaitable<bool>
    {
        ++this->shared->running;
        this->stream.expires_never();
        const auto version = request.version();
        const auto wantsKeepAlive = request.keep_alive();
        auto response = co_await this->handler->handle(std::move(request));
        const auto handlerKeepsAlive = response.keep_alive();
        response.version(version);
        response.keep_alive(wantsKeepAlive && handlerKeepsAlive && !this->shared->draining);
        const auto written = co_await this->write(std::move(response));
        --this->shared->running;
        co_return written;
    }

    auto write(Response response) -> asio::awaitable<bool>
    {
        if (!response.has_content_length()) {
            response.prepare_payload();
        }
        const auto keepAlive = response.keep_alive();
        this->stream.expires_after(this->shared->limits.receiveTimeout);
        const auto [error, size] = co_await beast::http::async_write(this->stream, response, awaitTuple);
        co_return !error && keepAlive;
    }

    auto rejectBytes(beast::error_code error) -> asio::awaitable<void>
    {
        const auto status = rejectionStatus(error);
        if (!status) {
            co_return;
        }
        const auto detail = this->timedOut ? std::string("the request did not arrive in time") : error.message();
        auto response = this->handler->reject(*status, detail);
        response.version(httpVersion);
        response.keep_alive(false);
        const auto written = co_await this->write(std::move(response));
        co_await this->discardRest(written);
    }

    /// A socket that is closed with unread bytes is reset, and the reset can overtake the answer on its way: the caller of a request
    /// that is too large would see a broken connection and no reason. Reading on for a moment lets the answer arrive first.
    auto discardRest(bool written) -> asio::awaitable<void>
    {
        constexpr auto longestDiscard = std::chrono::milliseconds(1000);
        constexpr auto largestDiscard = std::size_t{4} * 1024 * 1024;
        if (!written && this->timedOut) {
            co_return;
        }
        auto ignored = beast::error_code();
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        auto scratch = std::vector<char>(std::size_t{16} * 1024);
        this->limitTime(longestDiscard);
        for (auto discarded = std::size_t{0}; discarded < largestDiscard;) {
            const auto [error, size] = co_await this->stream.socket().async_read_some(asio::buffer(scratch), awaitTuple);
            if (error) {
                break;
            }
            discarded += size;
        }
        this->unlimitTime();
    }

    /// \return the status for a failed read, or nothing where nobody is left to read an answer
    [[nodiscard]] auto rejectionStatus(beast::error_code error) const -> std::optional<Status>
    {
        if (this->timedOut) {
            return Status::request_timeout;
        }
        if (error == beast::http::error::header_limit) {
            return Status::request_header_fields_too_large;
        }
        if (error == beast::http::error::body_limit) {
            return Status::payload_too_large;
        }
        if (error == beast::http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::operation_aborted) {
            return std::nullopt;
        }
        return Status::bad_request;
    }

    auto shut() -> void
    {
        this->unlimitTime();
        auto ignored = beast::error_code();
        this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        this->stream.close();
    }

    beast::tcp_stream stream;
    asio::steady_timer watchdog;
    std::uint64_t watchdogRound = 0;
    std::shared_ptr<Shared> shared;
    std::shared_ptr<Handler> handler;
    beast::flat_buffer buffer;
    bool idle = false;
    bool timedOut = false;
};

class TcpServer : public Server, public std::enable_shared_from_this<TcpServer>
{
public:
    TcpServer(const asio::any_io_executor &executor, ExecutorSource sessions, ServerLimits limits, std::shared_ptr<Handler> handler)
        : acceptor(executor)
        , sessions(std::move(sessions))
        , shared(std::make_shared<Shared>())
    {
        this->shared->limits = limits;
        this->shared->handler = std::move(handler);
    }

    auto listen(const Endpoint &endpoint) -> Endpoint override
    {
        const auto address = tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port);
        this->acceptor.open(address.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(address);
        this->acceptor.listen();
        const auto port = this->acceptor.local_endpoint().port();
        asio::co_spawn(this->acceptor.get_executor(), accept(this->shared_from_this()), asio::detached);
        return Endpoint{endpoint.address, port};
    }

    auto drain() -> void override
    {
        this->shared->draining = true;
        this->stopAccepting();
        this->forEachConnection([](Connection &connection) {
            connection.closeIfIdle();
        });
    }

    auto close() -> void override
    {
        this->shared->draining = true;
        this->stopAccepting();
        this->forEachConnection([](Connection &connection) {
            connection.close();
        });
    }

    [[nodiscard]] auto counts() const -> ServerCounts override
    {
        return ServerCounts{this->shared->connections, this->shared->running};
    }

private:
    static auto accept(std::shared_ptr<TcpServer> self) -> asio::awaitable<void>
    {
        while (self->acceptor.is_open()) {
            const auto executor = self->sessions();
            auto socket = tcp::socket(executor);
            const auto [error] = co_await self->acceptor.async_accept(socket, awaitTuple);
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error) {
                co_await self->pauseAfterFailedAccept();
                continue;
            }
            if (self->shared->connections >= self->shared->limits.connections) {
                continue;
            }
            self->admit(std::move(socket));
        }
    }

    /// Without a pause a process that is out of descriptors would spin on accept and starve its running requests.
    auto pauseAfterFailedAccept() -> asio::awaitable<void>
    {
        constexpr auto pause = std::chrono::milliseconds(50);
        auto timer = asio::steady_timer(this->acceptor.get_executor(), pause);
        co_await timer.async_wait(awaitTuple);
    }

    auto admit(tcp::socket socket) -> void
    {
        auto ignored = boost::system::error_code();
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<Connection>(std::move(socket), this->shared);
        {
            const auto guard = std::lock_guard(this->mutex);
            this->forgetClosed();
            this->open.push_back(connection);
        }
        connection->start();
    }

    /// Sweeps when the list has doubled since the last sweep, so that the cost per connection stays constant.
    auto forgetClosed() -> void
    {
        if (this->open.size() < this->sweepAt) {
            return;
        }
        std::erase_if(this->open, [](const std::weak_ptr<Connection> &connection) {
            return connection.expired();
        });
        constexpr auto smallestSweep = std::size_t{64};
        this->sweepAt = std::max(smallestSweep, this->open.size() * 2);
    }

    auto stopAccepting() -> void
    {
        // At once where it can be, so that a server that is closed and opened again finds its port free.
        asio::dispatch(this->acceptor.get_executor(), [self = this->shared_from_this()] {
            auto ignored = boost::system::error_code();
            self->acceptor.close(ignored);
        });
    }

    template <typename Action>
    auto forEachConnection(Action action) -> void
    {
        const auto guard = std::lock_guard(this->mutex);
        for (const auto &weak : this->open) {
            if (const auto connection = weak.lock()) {
                action(*connection);
            }
        }
    }

    tcp::acceptor acceptor;
    ExecutorSource sessions;
    std::shared_ptr<Shared> shared;
    std::mutex mutex;
    std::vector<std::weak_ptr<Connection>> open;
    std::size_t sweepAt = 0;
};

} // namespace

auto Handler::forConnection(CloseConnection) -> std::shared_ptr<Handler>
{
    return nullptr;
}

auto makeServer(const boost::asio::any_io_executor &acceptor, ExecutorSource sessions, ServerLimits limits, std::shared_ptr<Handler> handler)
    -> std::shared_ptr<Server>
{
    return std::make_shared<TcpServer>(acceptor, std::move(sessions), limits, std::move(handler));
}

} // namespace sapphirespool::http
