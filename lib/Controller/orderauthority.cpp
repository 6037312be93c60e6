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

auto OpenOrders::add(const GroupId &group, promotion::Order order, const platform::Authority &parent) -> platform::Authority
{
    auto &open = this->orders[{group, order}];
    // Authorities without another owner belong to orders that have been answered.
    std::erase_if(open, [](const auto &authority) {
        return authority.use_count() == 1;
    });
    return open.emplace_back(std::make_shared<RevocableAuthority>(parent));
}

auto OpenOrders::withdraw(const GroupId &group, promotion::Order order) -> void
{
    const auto open = this->orders.extract({group, order});
    if (!open) {
        return;
    }
    for (const auto &authority : open.mapped()) {
        authority->revoke();
    }
}

} // namespace sapphirespool::controller
