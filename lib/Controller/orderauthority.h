// orderauthority.h: expiry and revocation of the authority of orders.
#pragma once

#include "sapphirespool/Platform/groupoperator.h"
#include "sapphirespool/Promotion/messages.h"
#include "sapphirespool/Support/types.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace sapphirespool::controller
{

/// Expires unless it is extended, so that the loss of leadership requires no action.
class ExpiringAuthority : public platform::OrderAuthority
{
public:
    /// \param clock is called from any thread
    explicit ExpiringAuthority(std::function<TimePoint()> clock);

    auto setEnd(TimePoint end) -> void;
    [[nodiscard]] auto holds() const -> bool override;

private:
    std::function<TimePoint()> clock;
    std::atomic<TimePoint> end = TimePoint::min();
};

/// Holds as long as its parent unless it is revoked because a later decision replaces the order.
class RevocableAuthority : public platform::OrderAuthority
{
public:
    explicit RevocableAuthority(platform::Authority parent);

    auto revoke() -> void;
    [[nodiscard]] auto holds() const -> bool override;

private:
    platform::Authority parent;
    std::atomic<bool> revoked = false;
};

/// Authorities of the orders of one leadership that may not have been sent yet.
class OpenOrders
{
public:
    /// \return the authority of a new order to a member of \p group; it ends with \p parent
    auto add(const GroupId &group, promotion::Order order, const platform::Authority &parent) -> platform::Authority;

    /// Revokes the authorities of the orders of one kind to members of \p group.
    auto withdraw(const GroupId &group, promotion::Order order) -> void;

private:
    std::map<std::pair<GroupId, promotion::Order>, std::vector<std::shared_ptr<RevocableAuthority>>> orders;
};

} // namespace sapphirespool::controller
