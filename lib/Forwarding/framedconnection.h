// framedconnection.h: bidirectional connection between two proxies that carries length-prefixed messages.
#pragma once

#include "codec.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sapphirespool::forwarding
{

/// Sends and receives messages, each prefixed with its length. Sends never block: data that the peer has not accepted yet is buffered, up
/// to a limit above which the peer is considered stuck and the connection is closed. Without the limit the buffer for a peer that has stopped
/// reading would grow until the process runs out of memory.
class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    /// Maximum size of a message: the protocol of callers limits a statement and its rows to 1 MiB each.
    static constexpr auto maxMessageBytes = std::size_t{4 * 1024 * 1024};
    /// Maximum number of bytes buffered for the peer: a few seconds on a slow network path.
    static constexpr auto maxBacklogBytes = std::size_t{8 * 1024 * 1024};

    explicit FramedConnection(boost::asio::ip::tcp::socket socket);

    /// Starts to read.
    /// \param received called with each message
    /// \param closed called once when the connection has ended
    auto start(std::function<void(Message)> received, std::function<void()> closed) -> void;

    /// \return whether the message was queued; false if the connection has ended
    auto send(const Message &message) -> bool;

    auto close() -> void;

    [[nodiscard]] auto isOpen() const -> bool;

    /// \return whether messages wait to be accepted by the peer
    [[nodiscard]] auto isWriting() const -> bool;
    [[nodiscard]] auto executor() -> boost::asio::any_io_executor;

private:
    static auto readLoop(std::shared_ptr<FramedConnection> self) -> boost::asio::awaitable<void>;
    auto dispatchMessages() -> bool;
    auto writePending() -> void;

    boost::asio::ip::tcp::socket socket;
    std::function<void(Message)> received;
    std::function<void()> closed;
    std::string incoming;
    std::string outgoing;
    std::string writing;
    bool open = true;
};

} // namespace sapphirespool::forwarding
