#include "framedconnection.h"

#include "sapphirespool/Http/liveness.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <utility>

namespace sapphirespool::forwarding
{

namespace
{

namespace asio = boost::asio;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto lengthBytes = std::size_t{4};
constexpr auto readSize = std::size_t{8 * 1024};

auto lengthOf(std::string_view bytes) -> std::size_t
{
    return boost::endian::load_little_u32(reinterpret_cast<const unsigned char *>(bytes.data()));
}

} // namespace

FramedConnection::FramedConnection(asio::ip::tcp::socket givenSocket)
    : socket(std::move(givenSocket))
{
    http::detectDeadPeers(this->socket);
}

auto FramedConnection::start(std::function<void(Message)> onReceived, std::function<void()> onClosed) -> void
{
    this->received = std::move(onReceived);
    this->closed = std::move(onClosed);
    asio::co_spawn(this->socket.get_executor(), readAll(this->shared_from_this()), asio::detached);
}

auto FramedConnection::send(const Message &message) -> bool
{
    if (!this->open) {
        return false;
    }
    const auto bytes = encode(message);
    auto length = std::array<unsigned char, lengthBytes>();
    boost::endian::store_little_u32(length.data(), static_cast<std::uint32_t>(bytes.size()));
    this->outgoing.append(reinterpret_cast<const char *>(length.data()), length.size());
    this->outgoing.append(bytes);
    if (this->outgoing.size() > longestBacklog) {
        this->close();
        return false;
    }
    if (this->writing.empty()) {
        this->writeMore();
    }
    return true;
}

auto FramedConnection::close() -> void
{
    if (!std::exchange(this->open, false)) {
        return;
    }
    auto ignored = boost::system::error_code();
    this->socket.close(ignored);
    this->received = nullptr;
    if (const auto tell = std::exchange(this->closed, nullptr)) {
        tell();
    }
}

auto FramedConnection::isOpen() const -> bool
{
    return this->open;
}

auto FramedConnection::executor() -> asio::any_io_executor
{
    return this->socket.get_executor();
}

auto FramedConnection::readAll(std::shared_ptr<FramedConnection> self) -> asio::awaitable<void>
{
    auto bytes = std::array<char, readSize>();
    while (self->open) {
        const auto [error, size] = co_await self->socket.async_read_some(asio::buffer(bytes), awaitTuple);
        if (error) {
            break;
        }
        self->incoming.append(bytes.data(), size);
        if (!self->takeMessages()) {
            break;
        }
    }
    self->close();
}

auto FramedConnection::takeMessages() -> bool
{
    auto begin = std::size_t{0};
    while (this->open && this->incoming.size() - begin >= lengthBytes) {
        const auto rest = std::string_view(this->incoming).substr(begin);
        const auto length = lengthOf(rest);
        if (length > longestMessage) {
            return false;
        }
        if (rest.size() < lengthBytes + length) {
            break;
        }
        auto message = decode(rest.substr(lengthBytes, length));
        if (!message) {
            return false;
        }
        begin += lengthBytes + length;
        this->received(*std::move(message));
    }
    this->incoming.erase(0, begin);
    return true;
}

auto FramedConnection::writeMore() -> void
{
    this->writing = std::exchange(this->outgoing, {});
    asio::async_write(this->socket, asio::buffer(this->writing), [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->writing.clear();
        if (error) {
            self->close();
        } else if (!self->outgoing.empty()) {
            self->writeMore();
        }
    });
}

} // namespace sapphirespool::forwarding
