// groupoperator.h: what the control group tells the members of a database group.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/types.h"

#include <functional>
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

/// Calls members by their address. Each call may be repeated without harm.
class GroupOperator
{
public:
    GroupOperator() = default;
    GroupOperator(const GroupOperator &) = delete;
    auto operator=(const GroupOperator &) -> GroupOperator & = delete;
    virtual ~GroupOperator() = default;

    virtual auto fence(const MemberAddress &member, FenceRequest request, ReportCallback done) -> void = 0;
    virtual auto promote(const MemberAddress &member, PromoteRequest request, ReportCallback done) -> void = 0;
    virtual auto follow(const MemberAddress &member, FollowRequest request, ReportCallback done) -> void = 0;

    /// Looks whether the member takes connections; it does no work for that.
    virtual auto look(const MemberAddress &member, std::function<void(bool reached)> done) -> void = 0;
};

} // namespace sapphirespool::platform
