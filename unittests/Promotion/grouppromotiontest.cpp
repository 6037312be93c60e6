#include "sapphirespool/Promotion/grouppromotion.h"

#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

/// Three zones, and no proxy that still uses a view of an ended term.
const auto released = ProxyStanding{3, Revision(7), Revision(7)};

/// A group in \p term with members a, b and c, without a primary.
auto fencingGroup(std::uint64_t term) -> state::GroupRecord
{
    auto group = state::GroupRecord();
    group.view.id = GroupId("orders-1");
    group.view.term = Term(term);
    for (const auto *id : {"a", "b", "c"}) {
        auto member = membership::UpstreamView();
        member.id = UpstreamId(id);
        member.incarnation = Incarnation(1);
        group.view.members.push_back(member);
    }
    return group;
}

auto answerOf(std::string_view id, std::uint64_t term, platform::Role role, std::uint64_t position) -> OrderAnswered
{
    auto report = platform::PositionReport();
    report.id = id;
    report.incarnation = 1;
    report.term = term;
    report.role = role;
    report.lastTerm = 1;
    report.position = position;
    return {Order::Fence, GroupId("orders-1"), Term(term), UpstreamId(std::string(id)), report};
}

template <typename Kind>
auto count(const Actions &actions) -> std::size_t
{
    auto found = std::size_t{0};
    for (const auto &action : actions) {
        found += std::holds_alternative<Kind>(action) ? 1 : 0;
    }
    return found;
}

/// A promotion that has sent the orders to be fenced at term 2.
struct Fencing
{
    state::GroupRecord group = fencingGroup(2);
    GroupPromotion promotion{start};
    Actions first = this->promotion.advance(this->group, released, start);

    auto answer(const OrderAnswered &event, Duration after = 1ms) -> Actions
    {
        this->promotion.note(event, start + after);
        return this->promotion.advance(this->group, released, start + after);
    }
};

} // namespace

// Failure: one lost order, or one slow member, delays the promotion.
TEST_CASE("fences are sent to all members at once and repeated to those that have not answered")
{
    auto fencing = Fencing();
    CHECK(count<SendFence>(fencing.first) == 3);
    CHECK(fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10)).empty());
    CHECK(fencing.promotion.advance(fencing.group, released, start + orderRetry - 1ms).empty());
    CHECK(count<SendFence>(fencing.promotion.advance(fencing.group, released, start + orderRetry)) == 2);
}

// Failure: the promotion waits for a lost member, or replicas keep entries above the log of the new primary.
TEST_CASE("a fenced majority is enough, and the proposal contains the end of the log that is kept")
{
    auto fencing = Fencing();
    fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10));
    const auto actions = fencing.answer(answerOf("b", 2, platform::Role::Fenced, 12));
    REQUIRE(count<ProposePrimary>(actions) == 1);
    const auto &choice = std::get<ProposePrimary>(actions.front()).command;
    CHECK(choice.primary == UpstreamId("b"));
    CHECK(choice.keptUpTo == LogPosition(12));
    CHECK(count<SendPromote>(actions) == 0);
}

// Failure: a repeated answer of one member counts as a quorum.
TEST_CASE("two answers of one member are not a majority")
{
    auto fencing = Fencing();
    fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10));
    CHECK(fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10)).empty());
}

// Failure: a report from before the member's last confirmed writes lowers its position in the choice, and these writes are lost.
TEST_CASE("a late answer to the fence of an earlier term does not count")
{
    auto fencing = Fencing();
    fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10));
    CHECK(count<ProposePrimary>(fencing.answer(answerOf("b", 1, platform::Role::Fenced, 5))) == 0);
    auto unraised = answerOf("b", 1, platform::Role::Fenced, 5);
    unraised.term = Term(2);
    CHECK(count<ProposePrimary>(fencing.answer(unraised)) == 0);
    auto follower = answerOf("b", 2, platform::Role::Replica, 5);
    CHECK(count<ProposePrimary>(fencing.answer(follower)) == 0);
}

// Failure: a former control leader and members that already follow a new primary exchange fences and answers without a pause.
TEST_CASE("an answer that is no progress does not trigger the next order at once")
{
    auto fencing = Fencing();
    for (auto answer = 1; answer < 10; ++answer) {
        CHECK(fencing.answer(answerOf("a", 2, platform::Role::Replica, 10), answer * 1ms).empty());
    }
    CHECK(count<SendFence>(fencing.promotion.advance(fencing.group, released, start + orderRetry)) == 3);
}

// Failure: the log of another member at the same address is taken for that of the fenced one.
TEST_CASE("an answer from another member at the address does not count")
{
    auto fencing = Fencing();
    fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10));
    auto stranger = answerOf("b", 2, platform::Role::Fenced, 99);
    stranger.report->id = "x";
    CHECK(count<ProposePrimary>(fencing.answer(stranger)) == 0);
}

// Failure: a member with a higher term refuses each order of the group forever.
TEST_CASE("a member with a higher term makes control propose a term above it")
{
    auto fencing = Fencing();
    auto ahead = answerOf("a", 9, platform::Role::Fenced, 10);
    ahead.term = Term(2);
    const auto actions = fencing.answer(ahead);
    REQUIRE(count<ProposeTerm>(actions) == 1);
    CHECK(std::get<ProposeTerm>(actions.front()).command.next == Term(10));
}

// Failure: a member is promoted that the replicated state does not name, so two members may be primary in one term.
TEST_CASE("only the committed primary is promoted, and the others follow after its promotion")
{
    auto fencing = Fencing();
    auto &group = fencing.group;
    group.view.primary = UpstreamId("b");
    group.primaryIncarnation = Incarnation(1);
    group.view.history.push_back({Term(2), LogPosition(12)});
    const auto promoting = fencing.promotion.advance(group, released, start + 2ms);
    CHECK(count<SendPromote>(promoting) == 1);
    CHECK(count<SendFollow>(promoting) == 0);
    auto promoted = answerOf("b", 2, platform::Role::Primary, 12);
    promoted.order = Order::Promote;
    const auto following = fencing.answer(promoted, 4ms);
    REQUIRE(count<SendFollow>(following) == 2);
    CHECK(std::get<SendFollow>(following.front()).request.keptUpTo == 12);
}

// Failure: a session that wrote to the new primary reads stale data from the old one through a partitioned proxy with a live lease.
TEST_CASE("no member is promoted while a proxy may still use a view of the ended term")
{
    // The promotion is delayed until the proxy confirms the end of the term or its lease expires.
    const auto behind = ProxyStanding{3, Revision(7), Revision(6)};
    auto fencing = Fencing();
    auto &group = fencing.group;
    group.view.primary = UpstreamId("b");
    group.primaryIncarnation = Incarnation(1);
    group.view.history = {{Term(1), LogPosition(0)}, {Term(2), LogPosition(12)}};
    CHECK(fencing.promotion.advance(group, behind, start + 2ms).empty());
    CHECK(fencing.promotion.advance(group, behind, start + leaseLength - 1ms).empty());
    auto confirmed = fencing.promotion;
    CHECK(count<SendPromote>(confirmed.advance(group, released, start + 3ms)) == 1);
    CHECK(count<SendPromote>(fencing.promotion.advance(group, behind, start + leaseLength)) == 1);
}

// Failure: delayed suspicions of the former primary end the term of the new one.
TEST_CASE("suspicions of an ended term do not count against the new primary")
{
    auto fencing = Fencing();
    auto &group = fencing.group;
    group.view.primary = UpstreamId("b");
    group.primaryIncarnation = Incarnation(1);
    group.view.history.push_back({Term(2), LogPosition(12)});
    for (const auto *id : {"a", "b", "c"}) {
        auto announcement = platform::Announcement();
        announcement.id = id;
        announcement.incarnation = 1;
        announcement.term = 2;
        announcement.role = id == std::string("b") ? platform::Role::Primary : platform::Role::Replica;
        fencing.promotion.note(Announced{announcement}, start);
    }
    fencing.promotion.advance(group, released, start + 1ms);
    for (const auto *zone : {"hobart", "devonport"}) {
        fencing.promotion.note(Suspected{ZoneId(zone), {GroupId("orders-1"), Term(1), UpstreamId("a")}}, start + 2ms);
    }
    CHECK(fencing.promotion.advance(group, released, start + 3ms).empty());
    for (const auto *zone : {"hobart", "devonport"}) {
        fencing.promotion.note(Suspected{ZoneId(zone), {GroupId("orders-1"), Term(2), UpstreamId("b")}}, start + 4ms);
    }
    CHECK(count<ProposeTerm>(fencing.promotion.advance(group, released, start + 5ms)) == 1);
}

} // namespace sapphirespool::promotion
