// framedconnection.h: a connection between two proxies that carries whole messages both ways.
#pragma once

#include "codec.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sapphirespool::forwarding
{

/// Each message goes out behind its length. Sends never wait: what the peer has not taken yet is kept, up to a limit beyond which the
/// peer counts as stuck and the connection is closed.
class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    /// Longest message: a statement and its rows have at most 1 MiB each on the wire of callers.
    static constexpr auto longestMessage = std::size_t{4 * 1024 * 1024};
    /// Bytes that may wait for the peer: some seconds of a slow link.
    static constexpr auto longestBacklog = std::size_t{8 * 1024 * 1024};

    explicit FramedConnection(boost::asio::ip::tcp::socket socket);

    /// Starts to read.
    /// \param received gets each message
    /// \param closed called once when the connection has ended
    auto start(std::function<void(Message)> received, std::function<void()> closed) -> void;

    /// \return whether the message was taken; not if the connection has ended
    auto send(const Message &message) -> bool;

    auto close() -> void;

    [[nodiscard]] auto isOpen() const -> bool;
    [[nodiscard]] auto executor() -> boost::asio::any_io_executor;

private:
    static auto readAll(std::shared_ptr<FramedConnection> self) -> boost::asio::awaitable<void>;
    auto takeMessages() -> bool;
    auto writeMore() -> void;

    boost::asio::ip::tcp::socket socket;
    std::function<void(Message)> received;
    std::function<void()> closed;
    std::string incoming;
    std::string outgoing;
    std::string writing;
    bool open = true;
};

} // namespace sapphirespool::forwarding
