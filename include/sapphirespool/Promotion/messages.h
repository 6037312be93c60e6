// messages.h: events and actions of the promotion state machine.
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

/// A health report that a member sent to a proxy and the proxy relayed.
struct Announced
{
    platform::Announcement announcement;
};

/// A proxy in a zone reported that a primary does not serve.
struct Suspected
{
    ZoneId zone;
    membership::Suspicion suspicion;
    /// Whether the suspicion counts towards the zones that end a term. Otherwise it only shortens the time after which a silent primary is
    /// replaced.
    bool credible = true;
};

/// State of all proxies, as far as promotion depends on it.
struct ProxyStanding
{
    /// Zones with live proxies.
    std::size_t zones = 0;
    /// Current revision of the replicated state.
    Revision current;
    /// Oldest revision that a proxy with a live lease may still use; the current one if no proxy has a live lease.
    Revision oldestServed;
};

/// Kind of an order to a member.
enum class Order {
    Fence,
    /// As Fence, and a replica of a self-replicating group stops receiving writes.
    Pause,
    Promote,
    Follow,
};

/// A member answered an order, or the order timed out.
struct OrderAnswered
{
    Order order;
    GroupId group;
    Term term;
    UpstreamId member;
    std::optional<platform::PositionReport> report;
    /// When the order was given.
    TimePoint sent{};
};

/// The replicated state of a group changed.
struct GroupChanged
{
    GroupId group;
};

/// The replicated state ignored a proposal that ends a term of the group or names its primary.
struct ProposalIgnored
{
    GroupId group;
    /// Term in which the group was for the proposer.
    Term term;
};

/// A member reported its log position, or did not in time. It was not fenced for that.
struct PositionTold
{
    GroupId group;
    UpstreamId member;
    std::optional<platform::PositionReport> report;
};

using Event = std::variant<Announced, Suspected, OrderAnswered, GroupChanged, ProposalIgnored, PositionTold>;

/// Order a member to refuse terms below that of the request.
struct SendFence
{
    GroupId group;
    UpstreamId member;
    Endpoint endpoint;
    platform::FenceRequest request;
    /// Order::Fence or Order::Pause.
    Order order = Order::Fence;
};

/// Order the chosen member to become primary.
struct SendPromote
{
    GroupId group;
    UpstreamId member;
    Endpoint endpoint;
    platform::PromoteRequest request;
};

/// Order a member to follow the primary.
struct SendFollow
{
    GroupId group;
    UpstreamId member;
    Endpoint endpoint;
    platform::FollowRequest request;
};

/// Reason for which a term is ended.
enum class TermEnd {
    /// The group has had no primary yet.
    First,
    /// The last health report of the primary is too old.
    Silent,
    /// Proxies of several zones suspect the primary.
    Suspected,
    /// The primary runs as another process than the one that was chosen.
    Restarted,
    /// A member has reported a higher term than that of the replicated state.
    Overtaken,
    /// The primary is shutting down, and another member can take over.
    Leaving,
    /// The primary has left its group.
    Gone,
};

/// \return the name of \p reason in log events
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

/// Propose the progress of the orders by which a paused member receives writes again.
struct ProposeResume
{
    state::NoteResume command;
};

/// A promotion is due, but this VM does not hold the promotion duty.
struct AwaitDuty
{
    GroupId group;
};

/// The group has been without a primary for longer than a promotion may take.
struct ReportOverdueElection
{
    GroupId group;
    Term term;
    /// Time since the group lost its primary or, if that was earlier, since this VM became control leader.
    Duration waited{};
    /// Members whose report of their log position has arrived, and all members.
    std::size_t reports = 0;
    std::size_t members = 0;
};

/// Ask a member for its log position.
struct AskPosition
{
    GroupId group;
    UpstreamId member;
    Endpoint endpoint;
};

/// No primary can be chosen until some of these members report their log.
struct ReportAwaitedMembers
{
    GroupId group;
    Term term;
    /// Members that may hold an acknowledged write which no usable member has; an empty id stands for one that is not known.
    std::vector<UpstreamId> members;
};

/// No primary can be chosen until an order to receive writes can no longer be carried out at some of these members, or one of them has all
/// that the others reported.
struct ReportLateOrders
{
    GroupId group;
    Term term;
    std::vector<UpstreamId> members;
    /// Time until the last of these orders is over.
    Duration remaining{};
};

/// A primary is chosen although a write may have been acknowledged that it lacks: all members that may hold it have left the group.
struct ReportLostMembers
{
    GroupId group;
    Term term;
    std::vector<UpstreamId> members;
};

using Action = std::variant<SendFence,
                            SendPromote,
                            SendFollow,
                            ProposeTerm,
                            ProposePrimary,
                            AwaitDuty,
                            ReportOverdueElection,
                            AskPosition,
                            ReportAwaitedMembers,
                            ReportLateOrders,
                            ProposeResume,
                            ReportLostMembers>;
using Actions = std::vector<Action>;

} // namespace sapphirespool::promotion
