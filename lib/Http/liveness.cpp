#include "sapphirespool/Http/liveness.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/tcp.h>

#include <memory>

namespace sapphirespool::http
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

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

auto takesConnections(asio::any_io_executor executor, Endpoint endpoint, Duration limit) -> asio::awaitable<bool>
{
    auto error = boost::system::error_code();
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return false;
    }
    constexpr auto tries = 2;
    for (auto attempt = 0; attempt < tries; ++attempt) {
        const auto socket = std::make_shared<tcp::socket>(executor);
        auto timer = asio::steady_timer(executor, limit / tries);
        timer.async_wait([socket](const boost::system::error_code &waitError) {
            if (!waitError) {
                auto ignored = boost::system::error_code();
                socket->close(ignored);
            }
        });
        const auto [connectError] = co_await socket->async_connect(tcp::endpoint(address, endpoint.port), asio::as_tuple(asio::use_awaitable));
        timer.cancel();
        if (!connectError && socket->is_open()) {
            co_return true;
        }
    }
    co_return false;
}

} // namespace sapphirespool::http
