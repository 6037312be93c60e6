// grouppromotion.h: keeps one database group under a primary that the replicated state names.
//
// A control leader compares what the replicated state wants of the group with what its members say, and orders what is missing.
// Everything that must outlast the leader is in the replicated state; what is kept here can be lost at any time, and the next
// leader finds out by itself where the promotion stands:
//
//     state says                  members say                     next step
//     term t, no primary          fewer than a quorum fenced      fence them
//     term t, no primary          a quorum fenced at t            propose the highest of them as primary
//     term t, primary p           p is not primary of t           promote p
//     term t, primary p           m does not follow in t          tell m to follow p
//     term t, primary p           p silent, suspected, ...        propose term t + 1
//
// The spec's transitions of the same names stand in spec/promotion.pml.
#pragma once

#include "sapphirespool/Promotion/choice.h"
#include "sapphirespool/Promotion/membertable.h"
#include "sapphirespool/Promotion/messages.h"
#include "sapphirespool/Promotion/pause.h"
#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace sapphirespool::promotion
{

/// Promotion of one group on the control leader; pure.
class GroupPromotion
{
public:
    /// \param since when this VM became control leader
    /// \param silence time without an announcement after which a member counts as lost
    explicit GroupPromotion(TimePoint since, std::chrono::milliseconds silence = silenceLimit);

    auto note(const Announced &event, TimePoint now) -> void;
    auto note(const Suspected &event, TimePoint now) -> void;
    auto note(const OrderAnswered &event, TimePoint now) -> void;

    /// Says whether this VM may order promotions of self-replicating groups. Other members judge an order by its term.
    auto setDuty(bool held) -> void;

    /// \return the next steps
    auto advance(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions;

    /// \return when advance() is due even if no event comes
    [[nodiscard]] auto wakeAt() const -> TimePoint;

private:
    /// The last order that a member was sent.
    struct SentOrder
    {
        Order order;
        Term term;
        TimePoint sent;
    };

    // grouppromotion.cpp
    auto enterTerm(const state::GroupRecord &group, Revision current, TimePoint now) -> void;
    auto elect(const state::GroupRecord &group, TimePoint now) -> Actions;
    auto adopt(const state::GroupRecord &group, TimePoint now) -> Actions;
    /// \return whether a member that has not announced itself yet may be the primary that the group has had before this system
    auto awaitsFirstPrimary(const state::GroupRecord &group, TimePoint now) -> bool;
    auto fenceMembers(const state::GroupRecord &group, TimePoint now) -> Actions;
    auto choose(const state::GroupRecord &group, TimePoint now) -> Actions;
    auto lead(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions;
    auto orderMembers(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions;
    auto endTerm(const state::GroupRecord &group, TermEnd reason, TimePoint now) -> Actions;
    [[nodiscard]] auto mayImprove(const state::GroupRecord &group, const Choice &choice, TimePoint now) const -> bool;
    /// Has the members asked again that lack what another one reported.
    auto askLaggingAgain(const state::GroupRecord &group) -> void;
    /// \param retry time after which the same order may be sent again
    /// \return whether \p order may be sent to \p member now; notes that it is
    auto tryOpen(const UpstreamId &member, Order order, Term term, TimePoint now, Duration retry = orderRetry) -> bool;
    auto tryPropose(TimePoint now) -> bool;

    // groupstanding.cpp
    [[nodiscard]] auto reasonToEnd(const state::GroupRecord &group, std::size_t proxyZones, TimePoint now) const -> std::optional<TermEnd>;
    [[nodiscard]] auto isSilent(const state::GroupRecord &group, TimePoint now) const -> bool;
    /// \return whether a member that is not to be primary reported more than \p choice has
    [[nodiscard]] auto isBehind(const platform::PositionReport &choice) const -> bool;
    [[nodiscard]] auto isLeaving(const state::GroupRecord &group, const UpstreamId &member) const -> bool;
    [[nodiscard]] auto hasSuccessor(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto isSuspected(std::size_t proxyZones, TimePoint now) const -> bool;
    [[nodiscard]] auto isReleased(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) const -> bool;
    [[nodiscard]] auto isReadyForHandover(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto hasCaughtUp(const state::GroupRecord &group, const MemberState &primary, TimePoint now) const -> bool;
    [[nodiscard]] auto liveCount(const state::GroupRecord &group, TimePoint now) const -> std::size_t;
    [[nodiscard]] auto incarnationOf(const state::GroupRecord &group, const UpstreamId &member) const -> Incarnation;
    [[nodiscard]] auto isFenced(const UpstreamId &member) const -> bool;
    [[nodiscard]] auto isPrimary(const UpstreamId &member, Term term, Incarnation incarnation) const -> bool;
    /// \return whether the primary that this leader found has yet to announce its role
    [[nodiscard]] auto awaitsRole(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto isFollowing(const UpstreamId &member, Term term) const -> bool;
    [[nodiscard]] auto membersToAvoid(const state::GroupRecord &group) const -> std::set<UpstreamId>;

    TimePoint since;
    std::chrono::milliseconds silence;
    MemberTable members;
    PromotionPause pause;
    /// Term that the fields below belong to.
    Term term;
    bool hasPrimary = false;
    bool holdsDuty = true;
    /// Whether any term was entered.
    bool entered = false;
    /// Whether this leader proposes the primary that the group came with.
    bool adopted = false;
    /// Whether the primary was in its role before this leader gave any order, so that the role it announces is that of the term.
    bool trustsRole = false;
    /// When this leader first saw the term, and the revision of the replicated state then.
    TimePoint termSeen;
    Revision termRevision;
    /// Reports of the members that were fenced at the term.
    std::map<UpstreamId, platform::PositionReport> fenced;
    /// Members that could not be fenced at the term when they were last told to.
    std::set<UpstreamId> unreached;
    std::optional<TimePoint> quorumSince;
    std::map<UpstreamId, SentOrder> orders;
    std::optional<TimePoint> proposed;
    /// Zones that suspect the primary, and when they last said so.
    std::map<ZoneId, TimePoint> suspicions;
    /// When any proxy last suspected the primary.
    std::optional<TimePoint> suspected;
    /// Primary whose term was ended here because it did not serve.
    std::optional<UpstreamId> suspect;
    /// When a quorum had announced itself to this leader, for a group without a first primary.
    std::optional<TimePoint> firstQuorumAt;
    std::optional<TimePoint> leavingSince;
    bool inMotion = true;
    TimePoint wake;
};

} // namespace sapphirespool::promotion
