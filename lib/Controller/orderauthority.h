// orderauthority.h: until when a leading control VM may give orders.
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

/// Ends by itself unless it is extended, so that nothing need be told when the lead is lost.
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

/// Part of another authority that can be taken back alone, once a later decision replaces the orders that go by it.
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

/// Orders of one leadership that may not have left yet.
class OpenOrders
{
public:
    /// \return the authority of one more order to a member of \p group; it ends with \p parent
    auto add(const GroupId &group, promotion::Order order, const platform::Authority &parent) -> platform::Authority;

    /// Takes back the orders of one kind to members of \p group.
    auto withdraw(const GroupId &group, promotion::Order order) -> void;

private:
    std::map<std::pair<GroupId, promotion::Order>, std::vector<std::shared_ptr<RevocableAuthority>>> orders;
};

} // namespace sapphirespool::controller
