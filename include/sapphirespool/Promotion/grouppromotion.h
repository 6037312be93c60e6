// grouppromotion.h: drives the members of one database group towards the primary that the replicated state names.
//
// The control leader compares the replicated state of the group with the reports of its members and sends the missing orders. Everything
// that must survive a change of the leader is in the replicated state. The state kept here is soft: a new leader derives the progress of
// a promotion from the replicated state and from new reports:
//
//     replicated state            reports of the members          next step
//     term t, no primary          fewer than a quorum fenced      fence the members
//     term t, no primary          a quorum fenced at t            propose the member with the highest log as primary
//     term t, primary p           p is not primary of t           promote p
//     term t, primary p           m does not follow in t          order m to follow p
//     term t, primary p           p silent, suspected, ...        propose term t + 1
//
// Members of a self-replicating group (see configuration::GroupConfiguration) replicate by rules of their own. They store no term of the
// replicated state, and their health reports contain neither a term nor a position. For them a quorum is any set of reports that shows one
// member to have each acknowledged write; see choice.h.
//
// spec/promotion.pml models these steps as transitions of the same names.
#pragma once

#include "sapphirespool/Promotion/choice.h"
#include "sapphirespool/Promotion/membertable.h"
#include "sapphirespool/Promotion/messages.h"
#include "sapphirespool/Promotion/promotionbackoff.h"
#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace sapphirespool::promotion
{

/// Promotion of one group on the control leader; a state machine without I/O.
class GroupPromotion
{
public:
    /// \param since when this VM became control leader
    /// \param contactTimeout time since the last health report of a member after which it counts as lost
    explicit GroupPromotion(TimePoint since, std::chrono::milliseconds contactTimeout = minimumContactTimeout);

    auto note(const Announced &event, TimePoint now) -> void;
    auto note(const Suspected &event, TimePoint now) -> void;
    auto note(const OrderAnswered &event, TimePoint now) -> void;
    auto note(const ProposalIgnored &event, TimePoint now) -> void;
    auto note(const PositionTold &event, TimePoint now) -> void;

    /// Sets whether this VM may order promotions of self-replicating groups. Members of other groups reject orders of an old term themselves.
    auto setDuty(bool held) -> void;

    /// \return the orders to send and the changes to propose next
    auto advance(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions;

    /// \return when advance() is due if no event arrives earlier
    [[nodiscard]] auto wakeAt() const -> TimePoint;

private:
    /// The report of a member that was fenced at the term.
    struct FencedReport
    {
        platform::PositionReport report;
        /// When the order was sent that it answers.
        TimePoint sent;
        TimePoint arrived;
        /// Whether the member receives no writes any more.
        bool paused = false;
    };

    /// Orders to a paused member to receive writes again.
    struct Resume
    {
        /// Orders that are neither answered nor failed.
        std::size_t open = 0;
        /// Until when one that got no answer may be carried out.
        TimePoint lateUntil = TimePoint::min();
        bool answered = false;
        /// When its progress was last proposed.
        std::optional<TimePoint> proposed;
    };

    /// The last order that was sent to a member.
    struct SentOrder
    {
        Order order;
        Term term;
        TimePoint sent;
    };

    // election.cpp
    auto elect(const state::GroupRecord &group, TimePoint now) -> Actions;
    auto runElection(const state::GroupRecord &group, TimePoint now) -> Actions;
    auto adopt(const state::GroupRecord &group, TimePoint now) -> Actions;
    /// \return whether a member without a health report so far may be the primary that served the group before this system was started
    auto awaitsFirstPrimary(const state::GroupRecord &group, TimePoint now) -> bool;
    auto fenceMembers(const state::GroupRecord &group, TimePoint now) -> Actions;
    /// \return the order that makes the report of \p member final, see isFinal()
    [[nodiscard]] auto fenceOrderFor(const state::GroupRecord &group, const UpstreamId &member, TimePoint now) const -> Order;
    /// \return whether \p report tells all writes that its member confirms in ended terms, as it receives none any more or their primary had
    /// stepped down before
    [[nodiscard]] auto isFinal(const UpstreamId &member, const FencedReport &report) const -> bool;
    /// Discards the reports of processes that have ended, so that their successors are fenced.
    auto discardFormerReports(const state::GroupRecord &group) -> void;
    /// \return whether an order to be fenced may bring a first report of \p member or, as its log still grows, a higher one
    [[nodiscard]] auto needsFence(const state::GroupRecord &group, const UpstreamId &member, TimePoint now) const -> bool;
    auto choose(const state::GroupRecord &group, TimePoint now) -> Actions;
    /// \return the members of a group with confirmed writes for which the choice waits; none if it may be made
    [[nodiscard]] auto awaitedMembers(const state::GroupRecord &group, std::span<const Candidate> reports) const -> std::vector<UpstreamId>;
    /// \return whether none of \p members can report any more
    [[nodiscard]] static auto haveLeft(const state::GroupRecord &group, std::span<const UpstreamId> members) -> bool;
    /// \return whether no member of the group can tell more than \p reports do
    [[nodiscard]] static auto haveAllReported(const state::GroupRecord &group, std::span<const Candidate> reports) -> bool;
    /// \return a report of the members for which the choice waits, if they are others than in the last report
    auto reportAwaited(const state::GroupRecord &group, std::vector<UpstreamId> members, TimePoint now) -> Actions;
    /// \return a report of the late orders for which the choice waits, if they are those to other members than in the last report
    auto reportLateOrders(const state::GroupRecord &group, TimePoint now) -> std::optional<ReportLateOrders>;
    [[nodiscard]] auto holdersOf(const state::GroupRecord &group) const -> WriteHolders;
    [[nodiscard]] auto candidates(const state::GroupRecord &group, TimePoint now) const -> std::vector<Candidate>;
    [[nodiscard]] auto standingOf(const state::GroupRecord &group, const UpstreamId &member, TimePoint now) const -> Standing;
    /// \return whether neither a health report nor a report of the position of \p member has arrived for a while
    [[nodiscard]] auto isOutOfContact(const UpstreamId &member, TimePoint now) const -> bool;
    [[nodiscard]] auto awaitsReports(const state::GroupRecord &group, const Choice &choice, TimePoint now) const -> bool;
    /// \return whether an eligible member other than \p choice may still report a log that is as high
    [[nodiscard]] auto mayOvertake(const state::GroupRecord &group, const Choice &choice, TimePoint now) const -> bool;
    /// \return whether a member reported a higher log than \p report
    [[nodiscard]] auto isBehind(const platform::PositionReport &report) const -> bool;
    /// \return a report of an election that takes too long; one for each election
    auto reportIfOverdue(const state::GroupRecord &group, TimePoint now) -> std::optional<ReportOverdueElection>;

    // resume.cpp
    /// Takes over the orders that a former leader may have sent.
    auto inheritResumes(const state::GroupRecord &group, TimePoint now) -> void;
    /// Forgets which members receive writes, at the end of a term.
    auto restartResumes() -> void;
    auto noteResume(const OrderAnswered &event) -> void;
    /// \return the orders by which paused members receive writes of the primary, and the proposals that note their progress
    auto resumeMembers(const state::GroupRecord &group, const membership::UpstreamView &primary, TimePoint now) -> Actions;
    auto resumeMember(const state::GroupRecord &group, const state::PausedMember &member, const membership::UpstreamView &primary, TimePoint now)
        -> std::optional<Action>;
    auto proposeResume(const state::GroupRecord &group, const UpstreamId &member, state::ResumePhase phase, TimePoint now) -> std::optional<Action>;
    /// \return whether an order to receive writes may still be carried out at \p member
    [[nodiscard]] auto mayResume(const UpstreamId &member, TimePoint now) const -> bool;
    /// \return the members that orders of this term, or of a former leader in it, may have paused
    [[nodiscard]] auto membersPaused(const state::GroupRecord &group) const -> std::vector<UpstreamId>;

    // grouppromotion.cpp
    auto enterTerm(const state::GroupRecord &group, Revision current, TimePoint now) -> void;
    auto maintainTerm(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions;
    auto orderMembers(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) -> Actions;
    auto endTerm(const state::GroupRecord &group, TermEnd reason, TimePoint now) -> Actions;
    /// \return the question for the primary's log position after a member has left, as that position covers all that the member confirmed
    auto askPosition(const state::GroupRecord &group, TimePoint now) -> std::optional<AskPosition>;
    /// Records \p order as sent unless it is a repetition within \p retry.
    /// \return whether the caller may send it
    auto tryOrder(const UpstreamId &member, Order order, Term term, TimePoint now, Duration retry = orderRetry) -> bool;
    auto tryPropose(TimePoint now) -> bool;

    // groupconditions.cpp
    [[nodiscard]] auto reasonToEnd(const state::GroupRecord &group, std::size_t proxyZones, TimePoint now) const -> std::optional<TermEnd>;
    [[nodiscard]] auto isSilent(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto isLeaving(const state::GroupRecord &group, const UpstreamId &member) const -> bool;
    [[nodiscard]] auto hasSuccessor(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto isSuspected(std::size_t proxyZones, TimePoint now) const -> bool;
    [[nodiscard]] auto isReleased(const state::GroupRecord &group, const ProxyStanding &proxies, TimePoint now) const -> bool;
    [[nodiscard]] auto isReadyForHandover(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto hasCaughtUp(const state::GroupRecord &group, const MemberState &primary, TimePoint now) const -> bool;
    /// \return whether the members that are live now could elect a primary
    [[nodiscard]] auto canElect(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto liveCount(const state::GroupRecord &group, TimePoint now) const -> std::size_t;
    [[nodiscard]] auto incarnationOf(const state::GroupRecord &group, const UpstreamId &member) const -> Incarnation;
    [[nodiscard]] auto isPrimary(const UpstreamId &member, Term term, Incarnation incarnation) const -> bool;
    /// \return whether the primary was chosen before this leader was elected and has sent it no health report yet
    [[nodiscard]] auto awaitsRole(const state::GroupRecord &group, TimePoint now) const -> bool;
    [[nodiscard]] auto isFollowing(const UpstreamId &member, Term term) const -> bool;

    TimePoint since;
    std::chrono::milliseconds contactTimeout;
    MemberTable members;
    PromotionBackoff backoff;
    /// Term of the fields below.
    Term term;
    bool hasPrimary = false;
    /// Whether the members do not tell their incarnation in answer to an order, so that an answer carries the one that the order was meant for.
    bool isSelfReplicating = false;
    bool holdsDuty = true;
    /// Whether enterTerm() was called before.
    bool entered = false;
    /// Whether this leader has proposed the primary that served the group before this system was started.
    bool adopted = false;
    /// Whether the primary had its role before this leader sent any order, so that the role in its health reports is that of the term.
    bool trustsRole = false;
    /// When this leader entered the term, and the revision of the replicated state at that time.
    TimePoint termSeen;
    Revision termRevision;
    /// Position reports of the members that were fenced at the term; some of these may have left the group since.
    std::map<UpstreamId, FencedReport> fenced;
    /// Members from which an order to be fenced at the term got no answer, or the answer of another process.
    std::set<UpstreamId> unreached;
    std::optional<TimePoint> quorumSince;
    /// When this leader first saw the group without a primary; absent while it has one.
    std::optional<TimePoint> electionSince;
    bool overdueReported = false;
    /// Members for which the choice waits, as reported last.
    std::vector<UpstreamId> awaited;
    /// Log position of a primary, asked for after \a coveredDepartures had left the group; a log that reaches it has all that they confirmed.
    std::optional<platform::PositionReport> departedUpTo;
    std::vector<UpstreamId> coveredDepartures;
    /// The departures for which the primary's position was asked last, and when.
    std::vector<UpstreamId> askedDepartures;
    std::optional<TimePoint> positionAsked;
    std::map<UpstreamId, SentOrder> orders;
    std::map<UpstreamId, Resume> resumes;
    /// Members that were ordered to pause in this term.
    std::set<UpstreamId> pauseOrdered;
    /// Whether a former leader may have ordered members to pause in this term.
    bool mayHavePaused = false;
    /// Members for whose late orders the choice waits, as reported last.
    std::vector<UpstreamId> awaitedOrders;
    std::optional<TimePoint> proposed;
    /// Time of the last credible suspicion of the primary from each zone.
    std::map<ZoneId, TimePoint> suspicions;
    /// Time of the last suspicion of the primary from any proxy.
    std::optional<TimePoint> lastSuspicion;
    /// The primary that this leader has seen serve in the last term that had one; empty if it has seen none. A member that was chosen and
    /// not promoted did not replace the primary before it.
    UpstreamId servedBy;
    /// Primary whose term this leader ended because it was silent or suspected.
    std::optional<UpstreamId> suspectedPrimary;
    /// When this leader began to wait for a health report of the primary that served the group before this system was started.
    std::optional<TimePoint> firstPrimaryAwaitedSince;
    std::optional<TimePoint> leavingSince;
    /// Orders to promote a member that are neither answered nor failed. Such an order may still be carried out.
    std::size_t openPromotions = 0;
    /// Whether the primary was leaving when it was chosen, as no other member could be.
    bool choseLeaving = false;
    bool inTransition = true;
    TimePoint wake;
};

} // namespace sapphirespool::promotion
