#include "sapphirespool/Promotion/grouppromotion.h"

#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

/// Three zones, and no proxy that serves under an ended term.
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

/// A promotion that has sent the fences of term 2.
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

TEST_CASE("fences go to all members at once and are repeated where no answer came")
{
    auto fencing = Fencing();
    CHECK(count<SendFence>(fencing.first) == 3);
    CHECK(fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10)).empty());
    CHECK(fencing.promotion.advance(fencing.group, released, start + orderRetry - 1ms).empty());
    CHECK(count<SendFence>(fencing.promotion.advance(fencing.group, released, start + orderRetry)) == 2);
}

TEST_CASE("a fenced majority is enough, and the choice names where the log is cut")
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

TEST_CASE("one member that answers twice is no majority")
{
    auto fencing = Fencing();
    fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10));
    CHECK(fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10)).empty());
}

TEST_CASE("a late answer of an earlier fence does not count")
{
    // The fence of term 1 was answered late; since then the member wrote and confirmed more. By the old report the choice would pass
    // over its log, and the writes that it confirmed would be lost.
    auto fencing = Fencing();
    fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10));
    CHECK(count<ProposePrimary>(fencing.answer(answerOf("b", 1, platform::Role::Fenced, 5))) == 0);
    auto unraised = answerOf("b", 1, platform::Role::Fenced, 5);
    unraised.term = Term(2);
    CHECK(count<ProposePrimary>(fencing.answer(unraised)) == 0);
    auto follower = answerOf("b", 2, platform::Role::Replica, 5);
    CHECK(count<ProposePrimary>(fencing.answer(follower)) == 0);
}

TEST_CASE("an answer that does not help does not bring the next order at once")
{
    // A former control leader does not know that a primary was chosen. Each member answers its fence as a follower; were the next
    // fence sent at once, leader and members would exchange them as fast as they can.
    auto fencing = Fencing();
    for (auto answer = 1; answer < 10; ++answer) {
        CHECK(fencing.answer(answerOf("a", 2, platform::Role::Replica, 10), answer * 1ms).empty());
    }
    CHECK(count<SendFence>(fencing.promotion.advance(fencing.group, released, start + orderRetry)) == 3);
}

TEST_CASE("an answer of another process at the member's address does not count")
{
    auto fencing = Fencing();
    fencing.answer(answerOf("a", 2, platform::Role::Fenced, 10));
    auto stranger = answerOf("b", 2, platform::Role::Fenced, 99);
    stranger.report->id = "x";
    CHECK(count<ProposePrimary>(fencing.answer(stranger)) == 0);
}

TEST_CASE("a member that has seen a higher term makes control go above it")
{
    auto fencing = Fencing();
    auto ahead = answerOf("a", 9, platform::Role::Fenced, 10);
    ahead.term = Term(2);
    const auto actions = fencing.answer(ahead);
    REQUIRE(count<ProposeTerm>(actions) == 1);
    CHECK(std::get<ProposeTerm>(actions.front()).command.next == Term(10));
}

TEST_CASE("only the committed primary is promoted, and the others follow once it is")
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

TEST_CASE("nobody is promoted while a proxy may still serve under the ended term")
{
    // A proxy is cut off from control together with the old primary and still reads from it under its lease. Its caller has just
    // written to the new primary by another proxy and would not find its own write. The promotion waits until the proxy has confirmed
    // the end of the term, or until its lease is over.
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

TEST_CASE("suspicions of an ended term say nothing of the new primary")
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
