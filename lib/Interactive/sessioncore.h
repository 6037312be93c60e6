// sessioncore.h: what the sessions of one proxy share.
#pragma once

#include "primarysearch.h"
#include "primarywatch.h"
#include "singleflight.h"

#include "sapphirespool/Interactive/positionproofs.h"
#include "sapphirespool/Interactive/session.h"
#include "sapphirespool/Interactive/upstreamload.h"

#include "sapphirespool/Support/logbudget.h"
#include "sapphirespool/Support/signal.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespool::interactive
{

/// A member of a group, as the view shows it at a moment.
struct Member
{
    GroupId group;
    Term term;
    membership::UpstreamView upstream;
    bool isPrimary = false;
};

/// The view in the form in which sessions ask for it, what is known of the groups' logs, and how the upstreams did lately.
class SessionCore : public std::enable_shared_from_this<SessionCore>
{
public:
    explicit SessionCore(SessionServiceParts parts);

    auto viewChanged() -> void;

    /// \return the service that callers know as \p database; null if there is none
    [[nodiscard]] auto findService(std::string_view database) const -> const membership::ServiceView *;

    /// \return whether control has given a view and vouches for it still
    [[nodiscard]] auto hasCurrentView() const -> bool;

    /// \return revision of the view that sessions go by
    [[nodiscard]] auto revision() const -> Revision;

    [[nodiscard]] auto primaryOf(const GroupId &group) const -> std::optional<Member>;

    /// \return the members that may serve a read now, the primary among them
    [[nodiscard]] auto readersOf(const GroupId &group) const -> std::vector<Member>;

    /// \return whether control has answered lately
    [[nodiscard]] auto hearsControl() const -> bool;

    /// Waits until control has given this proxy a view, for firstViewPatience at most.
    ///
    /// Load pattern: after a loss of power all callers come at once, and proxies have no view for some hundred milliseconds. Who is sent away
    /// uses up an attempt, and comes back later than the view; who waits here is served with it.
    auto awaitFirstView() -> boost::asio::awaitable<void>;

    /// Waits until the group has a primary other than \p refuted, which turned out not to be one, for \p patience at most.
    ///
    /// A promotion is over within a second or so, and no other proxy can serve a write before it is. A caller who is sent away uses up
    /// its attempts in that time; one that waits here is served by the first link to the new primary. Where control is not heard no view
    /// can name it: the members are asked, and what they say is final.
    auto awaitPrimary(GroupId group, std::optional<Member> refuted, Duration patience) -> boost::asio::awaitable<std::optional<Member>>;

    /// Waits until a new view comes, for \p patience at most; not at all where control is not heard, since none will come.
    auto awaitViewChange(Duration patience) -> boost::asio::awaitable<void>;

    /// Tells control that a primary cannot be reached.
    auto suspect(const Member &member) -> void;

    /// Looks whether \p member takes a connection, and suspects it if it does not and is a primary.
    auto look(const Member &member, bool thorough = true) -> void;

    /// Runs commands on a link to \p member, and watches for its silence.
    auto exchange(const Member &member, UpstreamLink &link, std::span<const Command> commands, Duration limit) -> boost::asio::awaitable<ExchangeResult>;

    auto proofsOf(const GroupId &group) -> PositionProofs &;

    /// Sees to it that there is a proof for reads of \p group that may miss what is younger than \p readAge, if the primary gives one.
    ///
    /// Load pattern: many proxies before one group, each with a read or two of it in the accepted age; or all of them just started.
    /// Without it a proxy learns of the log only by reads at the primary, so that most reads that replicas could serve go there: with 89
    /// proxies before 8 groups 56 of 100 statements, and after a restart of all of them nearly all, until the primaries' queues were full.
    auto refreshProof(GroupId group, Duration readAge) -> boost::asio::awaitable<void>;

    /// Has a proof that will soon be too old for \p readAge replaced meanwhile.
    auto refreshAgeingProof(const GroupId &group, Duration readAge) -> void;

    SessionServiceParts parts;
    UpstreamLoad load;
    bool refusesNewWork = false;
    bool abortsTransactions = false;
    SessionCounts counts;
    /// Failures come in crowds, of which the first lines tell the cause.
    support::LogBudget failureLines{20.0};
    /// Statements that are served are sampled.
    support::LogBudget sampleLines{2.0};

private:
    [[nodiscard]] auto findGroup(const GroupId &group) const -> const membership::GroupView *;
    /// Asks the members of \p group other than \p refuted whether they are primary; callers that come meanwhile wait for the same search.
    static auto searchPrimary(std::shared_ptr<SessionCore> self, GroupId group, std::optional<UpstreamId> refuted) -> boost::asio::awaitable<void>;
    static auto connectTo(std::shared_ptr<SessionCore> self, Member member, bool thorough) -> boost::asio::awaitable<void>;
    auto watchOn() -> void;
    [[nodiscard]] auto findMember(const UpstreamId &upstream) const -> std::optional<Member>;
    auto retireLinks(const membership::ClusterView &former) -> void;

    std::shared_ptr<const membership::ClusterView> view;
    std::unordered_map<std::string_view, const membership::ServiceView *> services;
    [[nodiscard]] auto isAgeing(const GroupId &group, Duration readAge) const -> bool;
    static auto keepFresh(std::shared_ptr<SessionCore> self, GroupId group, Duration readAge) -> boost::asio::awaitable<void>;

    std::map<GroupId, PositionProofs> proofs;
    SingleFlight<GroupId> proving;
    /// Until when no proof is asked of a group whose primary gave none.
    std::map<GroupId, TimePoint> provingRests;
    std::map<UpstreamId, TimePoint> suspected;
    PrimarySearch search;
    SingleFlight<GroupId> searching;
    PrimaryWatch watch;
    boost::asio::steady_timer watchTimer;
    bool watching = false;
    /// When each member was last looked at.
    std::map<UpstreamId, TimePoint> looked;
    /// Members that are being looked at.
    std::set<UpstreamId> lookedAt;
    support::Signal viewSignal;
};

} // namespace sapphirespool::interactive
