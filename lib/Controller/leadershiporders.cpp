#include "leadership.h"

#include "sapphirespool/Support/log.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::controller
{

namespace
{

/// Bits of the term in a token, below the leadership number. They suffice for five promotions of a group a day for more than a century.
constexpr auto termBits = 20U;

/// \return the fencing token of an order to promote
///
/// An order whose answer was lost may be carried out seconds later, after orders of the next control leader. The receiver drops orders
/// with a lower token than the highest it has received. Therefore the tokens of a later leader must be higher, even for the same term, and
/// two leaders must never use the same token.
auto fencingToken(std::uint64_t leadership, std::uint64_t term) -> std::uint64_t
{
    return (leadership << termBits) | (term & ((std::uint64_t{1} << termBits) - 1));
}

/// \return the names of \p members, separated by commas
auto listOf(const std::vector<UpstreamId> &members) -> std::string
{
    auto names = std::string();
    for (const auto &member : members) {
        names += names.empty() ? "" : ",";
        names += member == UpstreamId() ? "unknown" : member.value();
    }
    return names;
}

} // namespace

auto noteGrant(const ControllerParts &parts, PromotionDuty &duty) -> void
{
    const auto &grant = parts.state.promotionDuty();
    if (duty.note(grant, parts.clock())) {
        support::log(support::Event::DutyGranted, {{"holder", grant.holder.value()}, {"leadership", grant.leadership}, {"grant", grant.number}});
    }
}

auto Leadership::carryOut(const promotion::Actions &actions) -> void
{
    for (const auto &action : actions) {
        std::visit(
            [this](const auto &kind) {
                this->carryOut(kind);
            },
            action);
    }
}

auto Leadership::carryOut(const promotion::SendFence &action) -> void
{
    const auto member = this->addressOf(action.group, action.member, action.endpoint);
    auto authority = this->openOrders.add(action.group, action.order, this->leadershipAuthority);
    auto done = this->answerTo(action.order, action.group, action.request.term, action.member);
    if (action.order == promotion::Order::Pause) {
        this->parts.groupOperator->pause(member, action.request, std::move(authority), std::move(done));
    } else {
        this->parts.groupOperator->fence(member, action.request, std::move(authority), std::move(done));
    }
}

auto Leadership::carryOut(const promotion::SendPromote &action) -> void
{
    auto request = action.request;
    request.orderedBy = this->parts.vm;
    request.fencingToken = fencingToken(this->number, action.request.term);
    support::log(support::Event::PromotionOrdered,
                 {{"group", action.group.value()},
                  {"term", action.request.term},
                  {"upstream", action.member.value()},
                  {"leadership", this->number},
                  {"lead_ms", this->parts.clock() - this->since},
                  {"token", request.fencingToken}});
    // A member that receives an order to be fenced after this order may be the new primary.
    this->openOrders.withdraw(action.group, promotion::Order::Fence);
    this->openOrders.withdraw(action.group, promotion::Order::Pause);
    const auto underDuty = this->isUnderDuty(action.group);
    if (underDuty) {
        this->requestDuty(action.group);
    }
    this->parts.groupOperator->promote(
        this->addressOf(action.group, action.member, action.endpoint),
        request,
        this->openOrders.add(action.group, promotion::Order::Promote, underDuty ? this->dutyAuthority : this->leadershipAuthority),
        this->answerTo(promotion::Order::Promote, action.group, action.request.term, action.member));
}

auto Leadership::carryOut(const promotion::SendFollow &action) -> void
{
    this->parts.groupOperator->follow(this->addressOf(action.group, action.member, action.endpoint),
                                      action.request,
                                      this->openOrders.add(action.group, promotion::Order::Follow, this->leadershipAuthority),
                                      this->answerTo(promotion::Order::Follow, action.group, action.request.term, action.member));
}

auto Leadership::carryOut(const promotion::ProposeTerm &action) -> void
{
    support::log(support::Event::TermEnded,
                 {{"group", action.command.group.value()}, {"term", action.command.next.value()}, {"reason", promotion::name(action.reason)}});
    this->openOrders.withdraw(action.command.group, promotion::Order::Promote);
    this->openOrders.withdraw(action.command.group, promotion::Order::Follow);
    this->propose(action.command, action.command.group);
}

auto Leadership::carryOut(const promotion::ProposePrimary &action) -> void
{
    support::log(support::Event::PrimaryChosen,
                 {{"group", action.command.group.value()},
                  {"term", action.command.term.value()},
                  {"upstream", action.command.primary.value()},
                  {"position", action.command.keptUpTo.value()}});
    this->propose(action.command, action.command.group);
    // The grant is proposed together with the choice, so that it delays no promotion.
    if (this->isUnderDuty(action.command.group)) {
        this->requestDuty(action.command.group);
    }
}

auto Leadership::carryOut(const promotion::AwaitDuty &action) -> void
{
    this->requestDuty(action.group);
}

auto Leadership::carryOut(const promotion::ReportOverdueElection &action) -> void
{
    support::log(support::Event::ElectionOverdue,
                 {{"group", action.group.value()},
                  {"term", action.term.value()},
                  {"waited_ms", action.waited},
                  {"reports", action.reports},
                  {"members", action.members}});
}

auto Leadership::carryOut(const promotion::AskPosition &action) -> void
{
    const auto done = [weak = this->weak_from_this(), post = this->parts.post, group = action.group, member = action.member](auto report) {
        post([weak, answer = promotion::PositionTold{group, member, std::move(report)}] {
            if (const auto self = weak.lock()) {
                self->handle(answer);
            }
        });
    };
    this->parts.groupOperator->position(this->addressOf(action.group, action.member, action.endpoint), done);
}

auto Leadership::carryOut(const promotion::ReportAwaitedMembers &action) -> void
{
    support::log(support::Event::ReportsAwaited, {{"group", action.group.value()}, {"term", action.term.value()}, {"upstreams", listOf(action.members)}});
}

auto Leadership::carryOut(const promotion::ReportLateOrders &action) -> void
{
    support::log(support::Event::LateOrdersAwaited,
                 {{"group", action.group.value()},
                  {"term", action.term.value()},
                  {"order", "follow"},
                  {"upstreams", listOf(action.members)},
                  {"remaining_ms", action.remaining}});
}

auto Leadership::carryOut(const promotion::ProposeResume &action) -> void
{
    this->propose(action.command, action.command.group);
}

auto Leadership::carryOut(const promotion::ReportLostMembers &action) -> void
{
    support::log(support::Event::WritesMayBeLost, {{"group", action.group.value()}, {"term", action.term.value()}, {"upstreams", listOf(action.members)}});
}

auto Leadership::isUnderDuty(const GroupId &group) const -> bool
{
    const auto *const record = this->parts.state.findGroup(group);
    return record != nullptr && record->selfReplicating;
}

auto Leadership::updateDuty(TimePoint now) -> void
{
    noteGrant(this->parts, this->duty);
    this->promoter.setDuty(this->duty.isHeld(this->number, now));
    const auto leaseEnd = this->parts.log.leaderLeaseEnd();
    this->leadershipAuthority->setEnd(leaseEnd);
    this->dutyAuthority->setEnd(std::min(leaseEnd, this->duty.heldUntil(this->number)));
}

auto Leadership::revoke() -> void
{
    this->leadershipAuthority->setEnd(TimePoint::min());
    this->dutyAuthority->setEnd(TimePoint::min());
}

auto Leadership::requestDuty(const GroupId &group) -> void
{
    const auto now = this->parts.clock();
    if (!this->duty.isWanted(this->number, now)) {
        return;
    }
    const auto &present = this->duty.grant();
    const auto timeSinceContact = this->parts.log.timeSinceContact(present.holder);
    if (this->duty.mayTake(timeSinceContact, now)) {
        this->duty.proposed(now);
        this->propose(state::GrantDuty{this->parts.vm, this->number, present.number}, group);
    } else if (std::exchange(this->awaitedGrant, present.number) != present.number) {
        support::log(support::Event::DutyAwaited,
                     {{"group", group.value()},
                      {"holder", present.holder.value()},
                      {"leadership", present.leadership},
                      {"grant_age_ms", this->duty.age(now)},
                      {"holder_silent_ms", timeSinceContact}});
    }
}

auto Leadership::addressOf(const GroupId &group, const UpstreamId &member, const Endpoint &endpoint) const -> platform::MemberAddress
{
    const auto *const record = this->parts.state.findGroup(group);
    const auto *const known = record == nullptr ? nullptr : record->view.findMember(member);
    return {group, member, endpoint, known == nullptr ? Incarnation() : known->incarnation};
}

auto Leadership::answerTo(promotion::Order order, const GroupId &group, std::uint64_t term, const UpstreamId &member) -> platform::ReportCallback
{
    const auto sent = this->parts.clock();
    return [weak = this->weak_from_this(), post = this->parts.post, order, group, term, member, sent](std::optional<platform::PositionReport> report) {
        const auto answer = promotion::OrderAnswered{order, group, Term(term), member, std::move(report), sent};
        post([weak, answer] {
            if (const auto self = weak.lock()) {
                self->handle(answer);
            }
        });
    };
}

} // namespace sapphirespool::controller
