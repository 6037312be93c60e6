#include "sapphirespool/Interactive/linkpool.h"

#include <utility>

namespace sapphirespool::interactive
{

LinkLease::LinkLease(std::weak_ptr<LinkPool> pool, UpstreamId upstream, std::shared_ptr<UpstreamLink> link)
    : pool(std::move(pool))
    , upstreamId(std::move(upstream))
    , held(std::move(link))
{
}

LinkLease::~LinkLease()
{
    this->drop();
}

auto LinkLease::operator=(LinkLease &&other) noexcept -> LinkLease &
{
    if (this != &other) {
        this->drop();
        this->pool = std::move(other.pool);
        this->upstreamId = std::move(other.upstreamId);
        this->held = std::move(other.held);
    }
    return *this;
}

auto LinkLease::link() const -> UpstreamLink &
{
    return *this->held;
}

auto LinkLease::upstream() const -> const UpstreamId &
{
    return this->upstreamId;
}

auto LinkLease::giveBack() -> void
{
    if (const auto owner = this->pool.lock(); owner != nullptr && this->held != nullptr) {
        owner->returned(this->upstreamId, std::exchange(this->held, nullptr), true);
    }
}

auto LinkLease::drop() -> void
{
    if (this->held == nullptr) {
        return;
    }
    const auto link = std::exchange(this->held, nullptr);
    if (const auto owner = this->pool.lock()) {
        owner->returned(this->upstreamId, link, false);
    } else {
        link->close();
    }
}

} // namespace sapphirespool::interactive
