#include "Promotion/selfreplicatinggroup.h"

#include <catch2/catch.hpp>

#include <set>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

/// \return the member that \p actions propose as primary; empty if they propose none
auto proposedIn(const Actions &actions) -> UpstreamId
{
    const auto *const choice = find<ProposePrimary>(actions);
    return choice == nullptr ? UpstreamId() : choice->command.primary;
}

auto isPromotion(const Action &action) -> bool
{
    return std::holds_alternative<SendPromote>(action);
}

/// A group that lost its primary a to a planned change or a crash, in term 2, of which b and c lack the last writes.
struct Election : Group
{
    explicit Election(std::uint32_t confirmations = 0)
        : Group(1)
    {
        this->record.confirmations = confirmations;
        this->setPrimary("a");
        this->advance(start);
        this->beginNextTerm(start + 10ms);
    }
};

} // namespace

// Failure: an election goes on for ever, and its log lines are those of any other.
TEST_CASE("an election that takes longer than a failover may is reported once")
{
    auto group = Election(1);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.report("b", 48, start + 20ms);
    CHECK(find<ReportOverdueElection>(group.advanceThrough(start + 20ms, start + electionLimit - 10ms)) == nullptr);
    const auto actions = group.advanceThrough(start + electionLimit, start + 4 * electionLimit);
    const auto isReport = [](const Action &action) {
        return std::holds_alternative<ReportOverdueElection>(action);
    };
    REQUIRE(std::count_if(actions.begin(), actions.end(), isReport) == 1);
    const auto &report = *find<ReportOverdueElection>(actions);
    CHECK(report.term == Term(2));
    CHECK(report.waited >= electionLimit);
    CHECK(report.reports == 1);
    CHECK(report.members == 3);
    // A group that gets a primary and loses it again begins a new election.
    group.setPrimary("b");
    group.advance(start + 5 * electionLimit);
    group.beginNextTerm(start + 5 * electionLimit + 20ms);
    CHECK(find<ReportOverdueElection>(group.advance(start + 6 * electionLimit)) == nullptr);
    CHECK(find<ReportOverdueElection>(group.advance(start + 7 * electionLimit)) != nullptr);
}

// Failure: the replicated state ignores a choice, and its proposer learns of it only by the retry after a second.
TEST_CASE("a choice that the replicated state ignored is made again from its present state")
{
    auto group = Election();
    group.promotion.note(unanswered("a"), start + 20ms);
    group.promotion.note(unanswered("c"), start + 20ms);
    group.report("b", 48, start + 20ms);
    REQUIRE(proposedIn(group.advance(start + 20ms)) == UpstreamId("b"));
    CHECK(proposedIn(group.advance(start + 40ms)) == UpstreamId());
    group.promotion.note(ProposalIgnored{GroupId("g"), Term(1)}, start + 40ms);
    CHECK(proposedIn(group.advance(start + 40ms)) == UpstreamId());
    group.promotion.note(ProposalIgnored{GroupId("g"), Term(2)}, start + 60ms);
    CHECK(proposedIn(group.advance(start + 60ms)) == UpstreamId("b"));
}

// Failure: a member that has left is proposed as primary again and again, the state ignores it, and the group never has a primary.
TEST_CASE("a member that has left since its report is not chosen")
{
    auto group = Election();
    group.promotion.note(announcementOf("b", platform::Role::Replica, true), start + 15ms);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.report("b", 50, start + 20ms);
    group.report("c", 49, start + 20ms);
    CHECK(proposedIn(group.advance(start + 20ms)) == UpstreamId());
    group.forget("b");
    const auto actions = group.advanceThrough(start + 40ms, start + 20ms + catchUpGrace + catchUpRetry);
    CHECK(proposedIn(actions) == UpstreamId("c"));
}

// Failure: the report of a process that has ended is used, although the member may have confirmed more writes since its restart.
TEST_CASE("a member that has restarted since its report is asked again and chosen by its new report only")
{
    auto group = Election();
    group.promotion.note(unanswered("a"), start + 20ms);
    group.report("b", 50, start + 20ms);
    CHECK(proposedIn(group.advance(start + 20ms)) == UpstreamId());
    group.member("b").incarnation = Incarnation(2);
    group.promotion.note(announcementOf("b", platform::Role::Replica, false, 2), start + 30ms);
    const auto asked = group.advanceThrough(start + 30ms, start + 20ms + catchUpGrace);
    CHECK(proposedIn(asked) == UpstreamId());
    CHECK(find<SendFence>(asked) != nullptr);
    group.promotion.note(fenced("b", 52, 2), start + 2s);
    const auto chosen = group.advanceThrough(start + 2s, start + 2s + catchUpGrace);
    REQUIRE(proposedIn(chosen) == UpstreamId("b"));
    CHECK(find<ProposePrimary>(chosen)->command.incarnation == Incarnation(2));
}

// Failure: a member that crashed after its report is chosen, and the group waits until it counts as lost as a primary.
TEST_CASE("a member that has fallen silent since its report is not chosen")
{
    auto group = Election(1);
    group.report("b", 50, start + 20ms);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.promotion.note(unanswered("c"), start + 20ms);
    const auto silent = contactTimeoutFor(1'200ms);
    CHECK(proposedIn(group.advanceThrough(start + 20ms, start + 20ms + silent)) == UpstreamId());
    const auto later = start + 40ms + silent;
    group.promotion.note(announcementOf("c", platform::Role::Replica), later);
    group.report("c", 48, later);
    CHECK(proposedIn(group.advanceThrough(later, later + catchUpGrace + catchUpRetry)) != UpstreamId("b"));
}

// Failure: the only member with the last acknowledged writes is leaving: it is chosen and its term ended once a second, and nobody serves.
TEST_CASE("a leaving member that had to be chosen serves before its successor is sought")
{
    auto group = Election(1);
    const auto leaving = [&group](TimePoint now, platform::Role role) {
        group.promotion.note(announcementOf("b", role, true), now);
        group.promotion.note(announcementOf("c", platform::Role::Replica), now);
    };
    leaving(start + 15ms, platform::Role::Replica);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.report("b", 50, start + 20ms);
    group.report("c", 48, start + 20ms);
    const auto decided = start + 20ms + catchUpGrace + catchUpRetry;
    REQUIRE(proposedIn(group.advanceThrough(start + 20ms, decided)) == UpstreamId("b"));
    group.setPrimary("b");
    leaving(decided, platform::Role::Replica);
    const auto promoting = group.advanceThrough(decided, decided + 500ms);
    CHECK(find<SendPromote>(promoting) != nullptr);
    CHECK(find<ProposeTerm>(promoting) == nullptr);
    CHECK(std::count_if(promoting.begin(), promoting.end(), isPromotion) == 1);
    auto promoted = fenced("b", 50);
    promoted.order = Order::Promote;
    promoted.report->role = platform::Role::Primary;
    group.promotion.note(promoted, decided + 500ms);
    leaving(decided + 500ms, platform::Role::Primary);
    const auto handover = group.advanceThrough(decided + 500ms, decided + 500ms + initialBackoff);
    REQUIRE(find<ProposeTerm>(handover) != nullptr);
    CHECK(find<ProposeTerm>(handover)->reason == TermEnd::Leaving);
}

// Failure: no replica catches up with a leaving primary: it is chosen again and its term ended again without a pause, and nobody serves.
TEST_CASE("a handover that found no successor is repeated with a backoff, and the leaving primary serves meanwhile")
{
    auto group = Group(1);
    group.setPrimary("a");
    auto ends = 0;
    auto served = Duration();
    for (auto now = start; now < start + 7s; now += transitionInterval) {
        group.announce(now, true);
        for (const auto &action : group.advance(now)) {
            if (const auto *const fence = std::get_if<SendFence>(&action)) {
                auto answer = fenced(fence->member.value(), fence->member == UpstreamId("a") ? 50 : 48);
                answer.term = Term(fence->request.term);
                answer.report->term = fence->request.term;
                group.promotion.note(answer, now);
            } else if (const auto *const promote = std::get_if<SendPromote>(&action)) {
                auto answer = fenced("a", 50);
                answer.order = Order::Promote;
                answer.term = Term(promote->request.term);
                answer.report->term = promote->request.term;
                answer.report->role = platform::Role::Primary;
                group.promotion.note(answer, now);
            } else if (std::holds_alternative<ProposeTerm>(action)) {
                ++ends;
                group.record.view.term = group.record.view.term.next();
                group.record.view.primary.reset();
            } else if (const auto *const choice = std::get_if<ProposePrimary>(&action)) {
                CHECK(choice->command.primary == UpstreamId("a"));
                group.setPrimary("a");
            }
        }
        served += group.record.view.primary ? Duration(transitionInterval) : Duration(0);
    }
    CHECK(ends <= 3);
    CHECK(served >= 3s);
}

// Failure: the primary leaves before it is replaced; it sends no health reports, nobody suspects it, and its group waits for 12 s.
TEST_CASE("the term of a primary that has left its group ends at once")
{
    auto group = Group(1);
    group.setPrimary("a");
    REQUIRE(find<ProposeTerm>(group.advance(start)) == nullptr);
    group.forget("a");
    const auto ended = group.advance(start + 20ms);
    REQUIRE(find<ProposeTerm>(ended) != nullptr);
    CHECK(find<ProposeTerm>(ended)->reason == TermEnd::Gone);
}

// Failure: two of four members are taken for a quorum, and the writes that only the other two have are lost.
TEST_CASE("while a member is replaced, the reports of two of four members are not enough")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.setPrimary("a");
    group.add("d");
    group.advance(start);
    group.beginNextTerm(start + 10ms);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.promotion.note(unanswered("b"), start + 20ms);
    group.report("c", 48, start + 20ms);
    group.report("d", 48, start + 20ms);
    const auto waiting = group.advanceThrough(start + 20ms, start + 2s);
    CHECK(proposedIn(waiting) == UpstreamId());
    REQUIRE(find<ReportAwaitedMembers>(waiting) != nullptr);
    CHECK(find<ReportAwaitedMembers>(waiting)->members == std::vector{UpstreamId("b"), UpstreamId("a")});
    SECTION("the replica that confirmed the writes is back")
    {
        group.report("b", 50, start + 2s);
        CHECK(proposedIn(group.advanceThrough(start + 2s, start + 2s + catchUpGrace + catchUpRetry)) == UpstreamId("b"));
    }
    SECTION("the primary is back")
    {
        group.report("a", 50, start + 2s);
        CHECK(proposedIn(group.advanceThrough(start + 2s, start + 2s + catchUpGrace + catchUpRetry)) == UpstreamId("a"));
    }
}

// Failure: a member that joined after the term had ended confirmed writes of the primary, which did not know that it was replaced.
TEST_CASE("a member that joins during the election has to report as well")
{
    auto group = Election(1);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.report("b", 48, start + 20ms);
    group.add("d");
    group.report("c", 48, start + 30ms);
    CHECK(proposedIn(group.advanceThrough(start + 30ms, start + 1s)) == UpstreamId());
    group.report("d", 48, start + 1s);
    CHECK(proposedIn(group.advanceThrough(start + 1s, start + 2s)) != UpstreamId());
}

// Failure: the only replica that confirmed a write leaves, the primary crashes, and a replica without the write is promoted.
TEST_CASE("a replica that has left counts until a primary's later position covers its writes")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.setPrimary("a");
    group.advance(start);
    group.forget("c");
    group.record.departed = {UpstreamId("c")};
    const auto asked = group.advance(start + 20ms);
    REQUIRE(find<AskPosition>(asked) != nullptr);
    CHECK(find<AskPosition>(asked)->member == UpstreamId("a"));
    CHECK(find<AskPosition>(group.advance(start + 40ms)) == nullptr);
    CHECK(find<AskPosition>(group.advance(start + 20ms + orderRetry)) != nullptr);
    const auto elect = [&group](std::uint64_t position) {
        group.beginNextTerm(start + 1s);
        group.promotion.note(unanswered("a"), start + 1s);
        group.report("b", position, start + 1s);
        return proposedIn(group.advanceThrough(start + 1s, start + 1s + catchUpGrace + catchUpRetry));
    };
    SECTION("the primary crashes before it tells its position")
    {
        CHECK(elect(60) == UpstreamId());
    }
    SECTION("the replica that is left lags behind that position")
    {
        group.promotion.note(PositionTold{GroupId("g"), UpstreamId("a"), fenced("a", 50).report}, start + 30ms);
        CHECK(elect(49) == UpstreamId());
    }
    SECTION("the replica that is left has caught up")
    {
        group.promotion.note(PositionTold{GroupId("g"), UpstreamId("a"), fenced("a", 50).report}, start + 30ms);
        CHECK(find<AskPosition>(group.advance(start + 40ms)) == nullptr);
        CHECK(elect(50) == UpstreamId("b"));
    }
    SECTION("another replica has left since")
    {
        group.promotion.note(PositionTold{GroupId("g"), UpstreamId("a"), fenced("a", 50).report}, start + 30ms);
        group.record.departed = {UpstreamId("c"), UpstreamId("d")};
        CHECK(elect(50) == UpstreamId());
    }
}

// Failure: a group waits for ever for the reports of members that are lost for good.
TEST_CASE("the members that are left elect a primary once all that may hold further writes have left")
{
    auto group = Election(1);
    group.report("b", 48, start + 20ms);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.promotion.note(unanswered("c"), start + 20ms);
    group.forget("c");
    group.record.departed = {UpstreamId("c")};
    CHECK(proposedIn(group.advanceThrough(start + 20ms, start + 1s)) == UpstreamId());
    group.forget("a");
    const auto chosen = group.advanceThrough(start + 1s, start + 1s + catchUpGrace + catchUpRetry);
    CHECK(proposedIn(chosen) == UpstreamId("b"));
    REQUIRE(find<ReportLostMembers>(chosen) != nullptr);
    CHECK(find<ReportLostMembers>(chosen)->members == std::vector{UpstreamId("c"), UpstreamId("a")});
}

// Failure: the only replica of a group of two is not promoted although it confirmed each write, as the configured size is three.
TEST_CASE("a group with fewer members than its size elects the replica that confirmed each write")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.record.size = 3;
    group.forget("c");
    group.setPrimary("a");
    group.advance(start);
    const auto silent = start + contactTimeoutFor(1'200ms);
    group.promotion.note(announcementOf("b", platform::Role::Replica), silent);
    group.promotion.note(Suspected{ZoneId("z1"), {GroupId("g"), Term(1), UpstreamId("a")}}, silent);
    REQUIRE(find<ProposeTerm>(group.advance(silent)) != nullptr);
    group.beginNextTerm(silent + 10ms);
    group.promotion.note(unanswered("a"), silent + 20ms);
    group.report("b", 50, silent + 20ms);
    CHECK(proposedIn(group.advance(silent + 20ms)) == UpstreamId("b"));
}

// Failure: a planned change stops because a replica is down, although the leaving primary tells each acknowledged write.
TEST_CASE("a planned change goes on with one replica down, and no term ends if the lost members may hold writes")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.add("d");
    group.setPrimary("a");
    group.advance(start);
    const auto later = start + contactTimeoutFor(1'200ms);
    group.promotion.note(announcementOf("b", platform::Role::Replica), later);
    group.promotion.note(announcementOf("d", platform::Role::Replica), later);
    SECTION("the primary is leaving")
    {
        group.promotion.note(announcementOf("a", platform::Role::Primary, true), later);
        const auto ended = group.advance(later);
        REQUIRE(find<ProposeTerm>(ended) != nullptr);
        CHECK(find<ProposeTerm>(ended)->reason == TermEnd::Leaving);
    }
    SECTION("the primary is silent too")
    {
        group.promotion.note(Suspected{ZoneId("z1"), {GroupId("g"), Term(1), UpstreamId("a")}}, later);
        CHECK(find<ProposeTerm>(group.advance(later)) == nullptr);
    }
}

// Failure: a primary that control cannot reach acknowledges writes with replicas that have reported already, and these writes are lost.
TEST_CASE("replicas of a primary that does not step down are paused, and only reports of paused ones count")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.setPrimary("a");
    group.advance(start);
    const auto orderTo = [](const Actions &actions, std::string_view id) {
        auto order = std::optional<Order>();
        for (const auto &action : actions) {
            if (const auto *const fence = std::get_if<SendFence>(&action); fence != nullptr && fence->member.value() == id) {
                order = fence->order;
            }
        }
        return order;
    };
    const auto first = group.beginNextTerm(start + 10ms);
    CHECK(orderTo(first, "a") == Order::Fence);
    CHECK(orderTo(first, "b") == Order::Fence);
    for (const auto *const id : {"b", "c"}) {
        group.promotion.note(fenced(id, 48), start + 20ms);
    }
    SECTION("the primary cannot be told to step down")
    {
        group.promotion.note(unanswered("a"), start + 20ms);
        const auto next = group.advance(start + 20ms);
        CHECK(orderTo(next, "b") == Order::Pause);
        CHECK(proposedIn(group.advanceThrough(start + 40ms, start + 2s)) == UpstreamId());
        group.report("b", 49, start + 2s);
        group.report("c", 50, start + 2s);
        CHECK(proposedIn(group.advance(start + 2s)) == UpstreamId("c"));
    }
    SECTION("the primary steps down after the replicas have reported")
    {
        group.announce(start + 25ms, true);
        auto steppedDown = fenced("a", 50);
        steppedDown.sent = start + 10ms;
        group.promotion.note(steppedDown, start + 30ms);
        const auto next = group.advance(start + 10ms + catchUpRetry);
        CHECK(proposedIn(next) == UpstreamId());
        CHECK(orderTo(next, "b") == Order::Fence);
        for (const auto *const id : {"b", "c"}) {
            auto answer = fenced(id, 50);
            answer.sent = start + 50ms;
            group.promotion.note(answer, start + 60ms);
        }
        CHECK(proposedIn(group.advance(start + 60ms)) == UpstreamId("b"));
    }
}

// Failure: a group with paused replicas has a primary again, and no write is confirmed any more.
TEST_CASE("the replicas of a new primary are told to receive again")
{
    auto group = Group(4);
    group.record.confirmations = 1;
    group.setPrimary("b");
    group.record.paused = {{UpstreamId("a"), true}, {UpstreamId("c"), true}};
    auto promoted = fenced("b", 50);
    promoted.order = Order::Promote;
    promoted.term = Term(4);
    promoted.report->term = 4;
    promoted.report->role = platform::Role::Primary;
    group.advance(start);
    group.promotion.note(promoted, start + 300ms);
    const auto actions = group.advance(start + 300ms);
    auto told = std::vector<UpstreamId>();
    for (const auto &action : actions) {
        if (const auto *const follow = std::get_if<SendFollow>(&action)) {
            told.push_back(follow->member);
        }
    }
    CHECK(told == std::vector{UpstreamId("a"), UpstreamId("c")});
    auto following = promoted;
    following.order = Order::Follow;
    following.member = UpstreamId("c");
    following.report->id = "c";
    following.report->role = platform::Role::Replica;
    group.promotion.note(following, start + 310ms);
    auto failed = OrderAnswered{Order::Follow, GroupId("g"), Term(4), UpstreamId("a"), std::nullopt, start + 300ms};
    group.promotion.note(failed, start + 320ms);
    const auto repeated = group.advanceThrough(start + 320ms, start + 320ms + orderRetry);
    REQUIRE(find<SendFollow>(repeated) != nullptr);
    CHECK(find<SendFollow>(repeated)->member == UpstreamId("a"));
}

// Failure: an order that nobody needs is carried out late, and undoes the pause of an election.
TEST_CASE("members that were never paused are sent no order to receive writes")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.setPrimary("a");
    const auto actions = group.advanceThrough(start, start + 2s);
    CHECK(find<SendFollow>(actions) == nullptr);
    CHECK(find<ProposeResume>(actions) == nullptr);
}

// Failure: a new control leader does not know which orders of the former one may still be carried out.
TEST_CASE("an order to receive writes is recorded before it is sent, and until it can no longer be carried out")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.setPrimary("a");
    group.record.paused = {{UpstreamId("b"), false}};
    const auto noted = group.advance(start);
    REQUIRE(find<ProposeResume>(noted) != nullptr);
    CHECK(find<ProposeResume>(noted)->command.phase == state::ResumePhase::Begun);
    CHECK(find<SendFollow>(noted) == nullptr);
    group.record.paused.front().mayResume = true;
    CHECK(find<SendFollow>(group.advance(start + 20ms)) != nullptr);
    auto answer = fenced("b", 50);
    answer.order = Order::Follow;
    answer.term = Term(1);
    answer.report->term = 1;
    answer.report->role = platform::Role::Replica;
    answer.sent = start + 20ms;
    auto now = start + 30ms;
    auto over = now;
    SECTION("answered at once")
    {
        group.promotion.note(answer, now);
    }
    SECTION("answered when it was repeated")
    {
        auto failed = answer;
        failed.report.reset();
        now = start + 520ms;
        group.promotion.note(failed, now);
        CHECK(find<SendFollow>(group.advance(now)) != nullptr);
        answer.sent = now;
        group.promotion.note(answer, now);
        over = start + 20ms + lateOrderLimit;
        CHECK(find<ProposeResume>(group.advanceThrough(now, over - 1ms)) == nullptr);
    }
    const auto ended = group.advance(std::max(now, over));
    REQUIRE(find<ProposeResume>(ended) != nullptr);
    CHECK(find<ProposeResume>(ended)->command.phase == state::ResumePhase::Done);
}

// Failure: a paused replica receives again by an order of an earlier election, and confirms writes which the chosen one lacks.
TEST_CASE("a pause does not count while an earlier order to receive writes may be carried out")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.setPrimary("a");
    // The leader that sent the first order has lost the leadership since; this one gets no answer either.
    group.record.paused = {{UpstreamId("b"), true}};
    CHECK(find<SendFollow>(group.advance(start)) != nullptr);
    group.promotion.note(OrderAnswered{Order::Follow, GroupId("g"), Term(1), UpstreamId("b"), std::nullopt, start}, start + 5ms);
    const auto begin = start + 10ms;
    group.beginNextTerm(begin);
    group.promotion.note(unanswered("a"), begin);
    const auto ordersTo = [](const Actions &actions, std::string_view id) {
        auto orders = std::set<Order>();
        for (const auto &action : actions) {
            if (const auto *const fence = std::get_if<SendFence>(&action); fence != nullptr && fence->member.value() == id) {
                orders.insert(fence->order);
            }
        }
        return orders;
    };
    const auto reportOfB = [&group](std::uint64_t position, Order order, TimePoint sent) {
        auto answer = fenced("b", position);
        answer.order = order;
        answer.sent = sent;
        group.promotion.note(answer, sent + 1ms);
    };
    group.report("c", 50, begin + 20ms);
    reportOfB(49, Order::Fence, begin + 20ms);
    const auto waiting = group.advanceThrough(begin + 40ms, begin + 1s);
    CHECK(ordersTo(waiting, "b") == std::set{Order::Fence});
    CHECK(proposedIn(waiting) == UpstreamId());
    const auto *const late = find<ReportLateOrders>(waiting);
    REQUIRE(late != nullptr);
    CHECK(late->members == std::vector{UpstreamId("b")});
    CHECK(late->remaining > lateOrderLimit - 2s);
    SECTION("it has all that the others reported")
    {
        reportOfB(50, Order::Fence, begin + 1s);
        CHECK(proposedIn(group.advance(begin + 1s + 20ms)) == UpstreamId("b"));
    }
    SECTION("the former primary steps down")
    {
        auto steppedDown = fenced("a", 50);
        steppedDown.sent = begin + 1s;
        group.promotion.note(steppedDown, begin + 1s);
        CHECK(proposedIn(group.advance(begin + 1s + 20ms)) != UpstreamId());
    }
    SECTION("the order can no longer be carried out")
    {
        const auto over = start + lateOrderLimit;
        group.announce(over);
        CHECK(ordersTo(group.advance(over), "b") == std::set{Order::Pause});
        reportOfB(49, Order::Pause, over);
        group.report("c", 50, over + 10ms);
        CHECK(proposedIn(group.advance(over + 20ms)) == UpstreamId("c"));
    }
}

// Failure: a replica that an election paused receives no writes for as long as the next primary serves.
TEST_CASE("a choice names the members that the election may have paused")
{
    auto group = Group(1);
    group.record.confirmations = 1;
    group.setPrimary("a");
    const auto takesOver = GENERATE(false, true);
    if (!takesOver) {
        group.advance(start);
    }
    group.beginNextTerm(start + 10ms);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.advance(start + 20ms);
    group.report("b", 50, start + 300ms);
    group.report("c", 50, start + 300ms);
    const auto actions = group.advanceThrough(start + 300ms, start + 2s);
    const auto *const choice = find<ProposePrimary>(actions);
    REQUIRE(choice != nullptr);
    // A leader that took over during the election does not know whom the former one paused.
    const auto paused
        = takesOver ? std::vector<UpstreamId>{UpstreamId("a"), UpstreamId("b"), UpstreamId("c")} : std::vector<UpstreamId>{UpstreamId("b"), UpstreamId("c")};
    CHECK(choice->command.paused == paused);
}

// Failure: members that have left are awaited for ever, although each member that is there has told its log.
TEST_CASE("a group of which all members have reported waits for nobody else")
{
    auto group = Election(1);
    group.forget("c");
    group.record.departed = {UpstreamId("c")};
    group.report("b", 48, start + 20ms);
    group.promotion.note(unanswered("a"), start + 20ms);
    CHECK(proposedIn(group.advanceThrough(start + 20ms, start + 1s)) == UpstreamId());
    group.report("a", 50, start + 1s);
    CHECK(proposedIn(group.advanceThrough(start + 1s, start + 1s + catchUpGrace + catchUpRetry)) == UpstreamId("a"));
}

// Failure: an answer to an order that was meant for a former process makes that process the present one, and the promotion is repeated for ever.
TEST_CASE("the answer to an order that was meant for a former process does not bring that process back")
{
    auto group = Group(1);
    group.setPrimary("a");
    group.advance(start);
    group.promotion.note(announcementOf("b", platform::Role::Replica, false, 3), start + 10ms);
    group.member("b").incarnation = Incarnation(2);
    group.beginNextTerm(start + 20ms);
    group.promotion.note(fenced("b", 50, 2), start + 30ms);
    group.member("b").incarnation = Incarnation(3);
    group.promotion.note(unanswered("a"), start + 40ms);
    group.promotion.note(unanswered("c"), start + 40ms);
    CHECK(proposedIn(group.advance(start + 40ms)) == UpstreamId());
    group.promotion.note(announcementOf("b", platform::Role::Replica, false, 3), start + 50ms);
    group.promotion.note(fenced("b", 50, 3), start + 300ms);
    const auto chosen = group.advance(start + 300ms);
    REQUIRE(proposedIn(chosen) == UpstreamId("b"));
    CHECK(find<ProposePrimary>(chosen)->command.incarnation == Incarnation(3));
}

} // namespace sapphirespool::promotion
