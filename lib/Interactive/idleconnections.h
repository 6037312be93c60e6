// idleconnections.h: the idle connections to one upstream.
#pragma once

#include "meteredconnection.h"

#include "sapphirespool/Interactive/connectionpool.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace sapphirespool::interactive
{

/// Idle connections, most recently used last.
///
/// Load pattern: an upstream learns the customer when a connection begins, and there are more customers than connections. An idle
/// connection serves only the customer that it was opened for. Without eviction, customers that call rarely would keep all connections
/// idle while the others wait. Evicting the least recently used one leaves the connections to the customers that call most, and they pay
/// for few handshakes.
class IdleConnections
{
public:
    /// \return an idle connection that \p request may use, if possible one that has its values; null if there is none
    [[nodiscard]] auto take(const ConnectionRequest &request) -> std::shared_ptr<MeteredConnection>;

    auto put(std::shared_ptr<MeteredConnection> connection) -> void;

    /// Closes the least recently used connection.
    /// \return false if there was none
    auto evict() -> bool;

    auto closeAll() -> void;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto empty() const -> bool;

private:
    /// Closes connections that the upstream has closed, or on which it sent something unsolicited.
    auto closeUnusable() -> void;

    std::vector<std::shared_ptr<MeteredConnection>> connections;
};

} // namespace sapphirespool::interactive
