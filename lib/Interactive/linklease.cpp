#include "sapphirespool/Interactive/linkpool.h"

#include <utility>

namespace sapphirespool::interactive
{

LinkLease::LinkLease(std::weak_ptr<LinkPool> pool, UpstreamId upstream, std::shared_ptr<UpstreamLink> link)
    : pool(std::move(pool))
    , upstreamId(std::move(upstream))
    , leased(std::move(link))
{
}

LinkLease::~LinkLease()
{
    this->closeIfLeased();
}

auto LinkLease::operator=(LinkLease &&other) noexcept -> LinkLease &
{
    if (this != &other) {
        this->closeIfLeased();
        this->pool = std::move(other.pool);
        this->upstreamId = std::move(other.upstreamId);
        this->leased = std::move(other.leased);
    }
    return *this;
}

auto LinkLease::link() const -> UpstreamLink &
{
    return *this->leased;
}

auto LinkLease::upstream() const -> const UpstreamId &
{
    return this->upstreamId;
}

auto LinkLease::giveBack() -> void
{
    if (const auto owner = this->pool.lock(); owner != nullptr && this->leased != nullptr) {
        owner->returned(this->upstreamId, std::exchange(this->leased, nullptr), true);
    }
}

auto LinkLease::closeIfLeased() -> void
{
    if (this->leased == nullptr) {
        return;
    }
    const auto link = std::exchange(this->leased, nullptr);
    if (const auto owner = this->pool.lock()) {
        owner->returned(this->upstreamId, link, false);
    } else {
        link->close();
    }
}

} // namespace sapphirespool::interactive
