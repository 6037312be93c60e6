// liveness.h: finds out that the peer of a connection is gone.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace sapphirespool::http
{

/// Has the kernel end the connection when its peer does not answer any more, and send small messages at once.
///
/// A peer that lost its power or its way sends nothing, not even a reset: whoever reads from it would wait for ever, and an idle
/// connection would look usable. Bytes without an acknowledgement end it after some seconds, probes do so while it is idle.
/// An option that the system does not know is left out; the time limits of each exchange still hold then.
auto detectDeadPeers(boost::asio::ip::tcp::socket &socket) -> void;

/// A living peer takes a connection within the way there and back, whatever its load: its kernel does that.
constexpr auto reachLimit = std::chrono::milliseconds(200);

/// \return whether \p endpoint takes a connection within \p limit; the connection is closed at once
///
/// It is tried twice, for half of the limit each: one packet that was lost on the way is no sign of a dead peer.
[[nodiscard]] auto takesConnections(boost::asio::any_io_executor executor, Endpoint endpoint, Duration limit) -> boost::asio::awaitable<bool>;

} // namespace sapphirespool::http
