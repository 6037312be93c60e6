// groupoperator.h: what the control group tells the members of a database group.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/types.h"

#include <functional>
#include <memory>
#include <optional>

namespace sapphirespool::platform
{

/// Answer of a member, or nothing if none came in time; then the call may or may not have taken effect, and is repeated.
using ReportCallback = std::function<void(std::optional<PositionReport>)>;

/// A member and where it is called. The names let a member that took over another one's address refuse what was meant for that one.
struct MemberAddress
{
    GroupId group;
    UpstreamId id;
    Endpoint endpoint;
    /// Process that is meant; for reports of members that do not tell it themselves.
    Incarnation incarnation;
};

/// The right to give an order. It is asked from any thread, when the order is about to leave the process: it may have ended while the
/// order waited for its connection.
class OrderAuthority
{
public:
    OrderAuthority() = default;
    OrderAuthority(const OrderAuthority &) = delete;
    auto operator=(const OrderAuthority &) -> OrderAuthority & = delete;
    virtual ~OrderAuthority() = default;

    [[nodiscard]] virtual auto holds() const -> bool = 0;
};

using Authority = std::shared_ptr<const OrderAuthority>;

/// \return an authority that never ends, for programs beside which nobody else gives orders
[[nodiscard]] auto makeUnlimitedAuthority() -> Authority;

/// Calls members by their address. Each call may be repeated without harm. An order whose authority has ended is not sent and gets no report.
class GroupOperator
{
public:
    GroupOperator() = default;
    GroupOperator(const GroupOperator &) = delete;
    auto operator=(const GroupOperator &) -> GroupOperator & = delete;
    virtual ~GroupOperator() = default;

    virtual auto fence(const MemberAddress &member, FenceRequest request, Authority authority, ReportCallback done) -> void = 0;
    /// As fence(), and a replica that replicates by rules of its platform stops receiving writes until it is promoted or follows again.
    virtual auto pause(const MemberAddress &member, FenceRequest request, Authority authority, ReportCallback done) -> void = 0;
    virtual auto promote(const MemberAddress &member, PromoteRequest request, Authority authority, ReportCallback done) -> void = 0;
    virtual auto follow(const MemberAddress &member, FollowRequest request, Authority authority, ReportCallback done) -> void = 0;

    /// Asks the member for the end of its log; this changes nothing at the member.
    virtual auto position(const MemberAddress &member, ReportCallback done) -> void = 0;

    /// Looks whether the member takes connections; it does no work for that.
    virtual auto look(const MemberAddress &member, std::function<void(bool reached)> done) -> void = 0;
};

} // namespace sapphirespool::platform
