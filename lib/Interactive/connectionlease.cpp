#include "sapphirespool/Interactive/connectionpool.h"

#include <utility>

namespace sapphirespool::interactive
{

ConnectionLease::ConnectionLease(std::weak_ptr<ConnectionPool> pool, UpstreamId upstream, std::shared_ptr<UpstreamConnection> connection)
    : pool(std::move(pool))
    , upstreamId(std::move(upstream))
    , leased(std::move(connection))
{
}

ConnectionLease::~ConnectionLease()
{
    this->closeIfLeased();
}

auto ConnectionLease::operator=(ConnectionLease &&other) noexcept -> ConnectionLease &
{
    if (this != &other) {
        this->closeIfLeased();
        this->pool = std::move(other.pool);
        this->upstreamId = std::move(other.upstreamId);
        this->leased = std::move(other.leased);
    }
    return *this;
}

auto ConnectionLease::connection() const -> UpstreamConnection &
{
    return *this->leased;
}

auto ConnectionLease::upstream() const -> const UpstreamId &
{
    return this->upstreamId;
}

auto ConnectionLease::release() -> void
{
    if (const auto owner = this->pool.lock(); owner != nullptr && this->leased != nullptr) {
        owner->returned(this->upstreamId, std::exchange(this->leased, nullptr), true);
    }
}

auto ConnectionLease::closeIfLeased() -> void
{
    if (this->leased == nullptr) {
        return;
    }
    const auto connection = std::exchange(this->leased, nullptr);
    if (const auto owner = this->pool.lock()) {
        owner->returned(this->upstreamId, connection, false);
    } else {
        connection->close();
    }
}

} // namespace sapphirespool::interactive
