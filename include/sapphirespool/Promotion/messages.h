// messages.h: what promotion hears and what it wants done.
#pragma once

#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/State/commands.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace sapphirespool::promotion
{

/// A member announced itself to a proxy, which passed it on.
struct Announced
{
    platform::Announcement announcement;
};

/// A proxy of a zone got no service from a primary.
struct Suspected
{
    ZoneId zone;
    membership::Suspicion suspicion;
    /// Whether it may end the term together with those of another zone; else it only shortens the silence that is waited for.
    bool weighs = true;
};

/// What is known of the proxies while a group is looked at.
struct ProxyStanding
{
    /// Zones with live proxies.
    std::size_t zones = 0;
    /// Revision of the replicated state now.
    Revision current;
    /// Oldest revision under which a proxy with a live lease may still serve; current if there is no such proxy.
    Revision oldestServed;
};

/// What a member is told to do.
enum class Order {
    Fence,
    Promote,
    Follow,
};

/// A member answered an order, or did not in time.
struct OrderAnswered
{
    Order order;
    GroupId group;
    Term term;
    UpstreamId member;
    std::optional<platform::PositionReport> report;
};

/// The replicated state of a group changed.
struct GroupChanged
{
    GroupId group;
};

using Event = std::variant<Announced, Suspected, OrderAnswered, GroupChanged>;

/// Tell a member to refuse terms below that of the request.
struct SendFence
{
    GroupId group;
    UpstreamId member;
    Endpoint endpoint;
    platform::FenceRequest request;
};

/// Tell the chosen member to be primary.
struct SendPromote
{
    GroupId group;
    UpstreamId member;
    Endpoint endpoint;
    platform::PromoteRequest request;
};

/// Tell a member to follow the primary.
struct SendFollow
{
    GroupId group;
    UpstreamId member;
    Endpoint endpoint;
    platform::FollowRequest request;
};

/// Why a term is ended.
enum class TermEnd {
    /// The group has had no primary yet.
    First,
    /// No announcement of the primary arrived for long.
    Silent,
    /// Proxies of several zones get no service from it.
    Suspected,
    /// Its process is another one than the one that was chosen.
    Restarted,
    /// A member has seen a higher term than the replicated state knows.
    Overtaken,
    /// It is to stop; others have all that it holds.
    Leaving,
};

/// \return a word for logs
[[nodiscard]] auto name(TermEnd reason) -> std::string_view;

/// Propose the end of a term.
struct ProposeTerm
{
    state::BeginTerm command;
    TermEnd reason;
};

/// Propose the primary of a term.
struct ProposePrimary
{
    state::ChoosePrimary command;
};

/// A promotion is due, and this VM does not hold the duty to order it.
struct AwaitDuty
{
    GroupId group;
};

using Action = std::variant<SendFence, SendPromote, SendFollow, ProposeTerm, ProposePrimary, AwaitDuty>;
using Actions = std::vector<Action>;

} // namespace sapphirespool::promotion
