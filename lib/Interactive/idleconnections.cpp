#include "idleconnections.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespool::interactive
{

auto IdleConnections::take(const ConnectionRequest &request) -> std::shared_ptr<MeteredConnection>
{
    this->closeUnusable();
    const auto mayUse = [&request](const std::shared_ptr<MeteredConnection> &connection) {
        return request.anyCustomer || connection->customer == request.customer;
    };
    auto found = std::find_if(this->connections.rbegin(), this->connections.rend(), [&](const std::shared_ptr<MeteredConnection> &connection) {
        return mayUse(connection) && connection->state.values == request.values;
    });
    if (found == this->connections.rend()) {
        found = std::find_if(this->connections.rbegin(), this->connections.rend(), mayUse);
    }
    if (found == this->connections.rend()) {
        return nullptr;
    }
    auto connection = std::move(*found);
    this->connections.erase(std::next(found).base());
    return connection;
}

auto IdleConnections::put(std::shared_ptr<MeteredConnection> connection) -> void
{
    this->connections.push_back(std::move(connection));
}

auto IdleConnections::evict() -> bool
{
    if (this->connections.empty()) {
        return false;
    }
    this->connections.front()->close();
    this->connections.erase(this->connections.begin());
    return true;
}

auto IdleConnections::closeAll() -> void
{
    for (const auto &connection : std::exchange(this->connections, {})) {
        connection->close();
    }
}

auto IdleConnections::size() const -> std::size_t
{
    return this->connections.size();
}

auto IdleConnections::empty() const -> bool
{
    return this->connections.empty();
}

auto IdleConnections::closeUnusable() -> void
{
    std::erase_if(this->connections, [](const std::shared_ptr<MeteredConnection> &connection) {
        if (connection->isUsable()) {
            return false;
        }
        connection->close();
        return true;
    });
}

} // namespace sapphirespool::interactive
