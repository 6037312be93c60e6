#include "orderauthority.h"

#include <utility>

namespace sapphirespool::controller
{

ExpiringAuthority::ExpiringAuthority(std::function<TimePoint()> clock)
    : clock(std::move(clock))
{
}

auto ExpiringAuthority::setEnd(TimePoint newEnd) -> void
{
    this->end.store(newEnd);
}

auto ExpiringAuthority::holds() const -> bool
{
    return this->clock() < this->end.load();
}

RevocableAuthority::RevocableAuthority(platform::Authority parent)
    : parent(std::move(parent))
{
}

auto RevocableAuthority::revoke() -> void
{
    this->revoked.store(true);
}

auto RevocableAuthority::holds() const -> bool
{
    return !this->revoked.load() && this->parent->holds();
}

} // namespace sapphirespool::controller
