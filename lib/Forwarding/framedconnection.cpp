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
constexpr auto lengthPrefixBytes = std::size_t{4};
constexpr auto readBufferBytes = std::size_t{8 * 1024};

auto decodeLength(std::string_view bytes) -> std::size_t
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
    asio::co_spawn(this->socket.get_executor(), readLoop(this->shared_from_this()), asio::detached);
}

auto FramedConnection::send(const Message &message) -> bool
{
    if (!this->open) {
        return false;
    }
    const auto bytes = encode(message);
    auto length = std::array<unsigned char, lengthPrefixBytes>();
    boost::endian::store_little_u32(length.data(), static_cast<std::uint32_t>(bytes.size()));
    this->outgoing.append(reinterpret_cast<const char *>(length.data()), length.size());
    this->outgoing.append(bytes);
    if (this->outgoing.size() > maxBacklogBytes) {
        this->close();
        return false;
    }
    if (this->writing.empty()) {
        this->writePending();
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
    if (const auto notifyClosed = std::exchange(this->closed, nullptr)) {
        notifyClosed();
    }
}

auto FramedConnection::isOpen() const -> bool
{
    return this->open;
}

auto FramedConnection::isWriting() const -> bool
{
    return this->open && !(this->writing.empty() && this->outgoing.empty());
}

auto FramedConnection::executor() -> asio::any_io_executor
{
    return this->socket.get_executor();
}

auto FramedConnection::readLoop(std::shared_ptr<FramedConnection> self) -> asio::awaitable<void>
{
    auto bytes = std::array<char, readBufferBytes>();
    while (self->open) {
        const auto [error, size] = co_await self->socket.async_read_some(asio::buffer(bytes), awaitTuple);
        if (error) {
            break;
        }
        self->incoming.append(bytes.data(), size);
        if (!self->dispatchMessages()) {
            break;
        }
    }
    self->close();
}

auto FramedConnection::dispatchMessages() -> bool
{
    auto begin = std::size_t{0};
    while (this->open && this->incoming.size() - begin >= lengthPrefixBytes) {
        const auto remaining = std::string_view(this->incoming).substr(begin);
        const auto length = decodeLength(remaining);
        if (length > maxMessageBytes) {
            return false;
        }
        if (remaining.size() < lengthPrefixBytes + length) {
            break;
        }
        auto message = decode(remaining.substr(lengthPrefixBytes, length));
        if (!message) {
            return false;
        }
        begin += lengthPrefixBytes + length;
        this->received(*std::move(message));
    }
    this->incoming.erase(0, begin);
    return true;
}

auto FramedConnection::writePending() -> void
{
    this->writing = std::exchange(this->outgoing, {});
    asio::async_write(this->socket, asio::buffer(this->writing), [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->writing.clear();
        if (error) {
            self->close();
        } else if (!self->outgoing.empty()) {
            self->writePending();
        }
    });
}

} // namespace sapphirespool::forwarding
