#include "sapphirespool/Http/liveness.h"

#include <boost/asio/detail/socket_option.hpp>

#include <netinet/tcp.h>

namespace sapphirespool::http
{

namespace
{

namespace asio = boost::asio;

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Time for which bytes may stay unacknowledged: three retransmissions on a way of some milliseconds.
constexpr auto userTimeoutMs = 3'000;
/// An idle connection is probed after this time, then each second; three probes without an answer end it.
constexpr auto idleSeconds = 4;
constexpr auto probeSeconds = 1;
constexpr auto probes = 3;

} // namespace

auto detectDeadPeers(asio::ip::tcp::socket &socket) -> void
{
    auto ignored = boost::system::error_code();
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(userTimeoutMs), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(idleSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(probeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(probes), ignored);
}

} // namespace sapphirespool::http
