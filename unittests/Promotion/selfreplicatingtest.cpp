#include "Promotion/selfreplicatinggroup.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

} // namespace

// Failure: the first start of the system fences the primary of a group that already serves, and interrupts its callers.
TEST_CASE("a group that already serves keeps its primary")
{
    auto group = Group(0);
    const auto begun = group.advance(start);
    REQUIRE(find<ProposeTerm>(begun) != nullptr);
    CHECK(find<SendFence>(begun) == nullptr);
    group.record.view.term = Term(1);
    const auto adopted = group.advance(start + 1ms);
    REQUIRE(find<ProposePrimary>(adopted) != nullptr);
    CHECK(find<ProposePrimary>(adopted)->command.primary == UpstreamId("a"));
    CHECK(find<SendFence>(adopted) == nullptr);
}

// Failure: at the first start a replica is promoted in place of a primary that serves.
TEST_CASE("a primary whose first health report arrives after those of its replicas is neither fenced nor replaced")
{
    for (const auto term : {std::uint64_t{0}, std::uint64_t{1}}) {
        auto group = Group(term);
        group.record.size = 3;
        group.promotion = GroupPromotion(start, contactTimeoutFor(1'200ms));
        group.promotion.note(announcementOf("b", platform::Role::Replica), start);
        group.promotion.note(announcementOf("c", platform::Role::Replica), start);
        for (auto passed = 0ms; passed < 1'200ms; passed += 20ms) {
            CHECK(group.advance(start + passed).empty());
        }
        group.announce(start + 1'200ms);
        auto actions = group.advance(start + 1'200ms);
        if (group.record.view.term == Term(0)) {
            REQUIRE(find<ProposeTerm>(actions) != nullptr);
            group.record.view.term = Term(1);
            actions = group.advance(start + 1'201ms);
        }
        REQUIRE(find<ProposePrimary>(actions) != nullptr);
        CHECK(find<ProposePrimary>(actions)->command.primary == UpstreamId("a"));
        CHECK(find<SendFence>(actions) == nullptr);
    }
}

// Failure: a group whose former primary is lost before the first start never gets a primary.
TEST_CASE("a new group without a health report of a primary gets a primary after a limited time")
{
    const auto elects = [](const Actions &actions) {
        return find<SendFence>(actions) != nullptr;
    };
    auto group = Group(1);
    group.record.size = 3;
    group.promotion = GroupPromotion(start, contactTimeoutFor(1'200ms));
    auto began = std::optional<TimePoint>();
    for (auto passed = 0ms; passed <= 5s && !began; passed += 100ms) {
        group.promotion.note(announcementOf("b", platform::Role::Replica), start + passed);
        group.promotion.note(announcementOf("c", platform::Role::Replica), start + passed);
        if (elects(group.advance(start + passed))) {
            began = start + passed;
        }
    }
    REQUIRE(began);
    CHECK(*began <= start + contactTimeoutFor(1'200ms));

    // All members have sent health reports, and none of them is primary.
    auto without = Group(1);
    without.record.size = 3;
    without.promotion = GroupPromotion(start, contactTimeoutFor(1'200ms));
    for (const auto *const id : {"a", "b", "c"}) {
        without.promotion.note(announcementOf(id, platform::Role::Replica), start);
    }
    CHECK(elects(without.advance(start)));
}

// Failure: of two members that report the role of primary the wrong one is kept, and the writes of the other are lost.
TEST_CASE("no primary is adopted if two members report the role of primary")
{
    auto group = Group(1);
    group.promotion.note(announcementOf("b", platform::Role::Primary), start);
    CHECK(find<ProposePrimary>(group.advance(start + 1ms)) == nullptr);
}

// Failure: a replica is promoted before it has received the last acknowledged writes, or the leaving primary gets requests after its end.
TEST_CASE("a leaving primary is replaced at once by a replica that has received all acknowledged writes")
{
    auto group = Group(1);
    group.setPrimary("a");
    group.announce(start + 100ms, true);
    const auto ended = group.advance(start + 100ms);
    REQUIRE(find<ProposeTerm>(ended) != nullptr);
    CHECK(find<ProposeTerm>(ended)->reason == TermEnd::Leaving);
    group.record.view.term = Term(2);
    group.record.view.primary.reset();
    group.advance(start + 110ms);
    group.promotion.note(fenced("a", 50), start + 120ms);
    group.promotion.note(fenced("b", 48), start + 120ms);
    group.promotion.note(fenced("c", 49), start + 120ms);
    CHECK(find<ProposePrimary>(group.advance(start + 120ms)) == nullptr);
    const auto asked = group.advance(start + 110ms + catchUpRetry + 10ms);
    CHECK(find<SendFence>(asked) != nullptr);
    group.promotion.note(fenced("b", 50), start + 170ms);
    const auto chosen = group.advance(start + 170ms);
    REQUIRE(find<ProposePrimary>(chosen) != nullptr);
    CHECK(find<ProposePrimary>(chosen)->command.primary == UpstreamId("b"));
}

// Failure: after the loss of the primary and a replica the group never serves again, although no quorum is required for its writes.
TEST_CASE("the only replica left is promoted if writes are acknowledged without a replica's confirmation")
{
    auto group = Group(1);
    group.setPrimary("a");
    group.advance(start);
    group.record.view.term = Term(2);
    group.record.view.primary.reset();
    group.advance(start + 10ms);
    group.promotion.note(unanswered("a"), start + 20ms);
    group.promotion.note(fenced("b", 48), start + 20ms);
    CHECK(find<ProposePrimary>(group.advance(start + 20ms)) == nullptr);
    group.promotion.note(unanswered("c"), start + 30ms);
    const auto chosen = group.advance(start + 30ms);
    REQUIRE(find<ProposePrimary>(chosen) != nullptr);
    CHECK(find<ProposePrimary>(chosen)->command.primary == UpstreamId("b"));
}

// Failure: the order to a primary without power stays unanswered, and the choice is delayed by reportGrace while no caller can write.
TEST_CASE("the choice is not delayed for the suspected member")
{
    auto group = Group(1);
    group.setPrimary("a");
    group.advance(start);
    for (const auto *const zone : {"z1", "z2"}) {
        group.promotion.note(Suspected{ZoneId(zone), {GroupId("g"), Term(1), UpstreamId("a")}}, start + 1ms);
    }
    REQUIRE(find<ProposeTerm>(group.advance(start + 1ms)) != nullptr);
    group.record.view.term = Term(2);
    group.record.view.primary.reset();
    group.advance(start + 10ms);
    group.promotion.note(fenced("b", 48), start + 20ms);
    group.promotion.note(fenced("c", 49), start + 20ms);
    const auto chosen = group.advance(start + 20ms);
    REQUIRE(find<ProposePrimary>(chosen) != nullptr);
    CHECK(find<ProposePrimary>(chosen)->command.primary == UpstreamId("c"));
}

// Failure: writes stop for 3 s longer until the lease of a partitioned proxy expires, although the former primary refuses its requests.
TEST_CASE("the promotion of a self-replicating group is not delayed for a proxy that is partitioned from control")
{
    const auto behind = ProxyStanding{3, Revision(7), Revision(6)};
    auto group = Group(1);
    group.setPrimary("a");
    group.promotion.advance(group.record, behind, start);
    group.record.view.term = Term(2);
    group.setPrimary("b");
    const auto promoting = group.promotion.advance(group.record, behind, start + 1ms);
    REQUIRE(find<SendPromote>(promoting) != nullptr);
    CHECK(find<SendPromote>(promoting)->member == UpstreamId("b"));
}

// Failure: two VMs with saturated network links suspect a healthy primary, and its writes are refused for a second.
TEST_CASE("suspicions of VMs with a network fault of their own end no term")
{
    auto group = Group(1);
    group.setPrimary("a");
    group.advance(start);
    for (const auto *const zone : {"z1", "z2"}) {
        group.promotion.note(Suspected{ZoneId(zone), {GroupId("g"), Term(1), UpstreamId("a")}, false}, start + 1ms);
    }
    CHECK(find<ProposeTerm>(group.advance(start + 1ms)) == nullptr);
}

// Failure: a replica is promoted that lacks the last acknowledged write, which only the unanswered replica has.
TEST_CASE("if a replica confirms each write, one report is not enough")
{
    auto group = Group(2);
    group.record.confirmations = 1;
    group.record.view.history.push_back({Term(1), LogPosition(0)});
    group.advance(start);
    group.report("b", 48, start + 10ms);
    group.promotion.note(unanswered("a"), start + 10ms);
    group.promotion.note(unanswered("c"), start + 10ms);
    CHECK(find<ProposePrimary>(group.advance(start + 2s)) == nullptr);
    group.report("c", 49, start + 2s);
    const auto chosen = group.advance(start + 2s);
    REQUIRE(find<ProposePrimary>(chosen) != nullptr);
    CHECK(find<ProposePrimary>(chosen)->command.primary == UpstreamId("c"));
}

// Failure: a primary that is partitioned from control only is replaced, which interrupts callers that it still serves.
TEST_CASE("a silent primary is kept for longer while no proxy suspects it")
{
    auto group = Group(1);
    group.setPrimary("a");
    const auto silent = contactTimeoutFor(1'200ms);
    for (const auto *const id : {"b", "c"}) {
        group.promotion.note(announcementOf(id, platform::Role::Replica), start + silent);
    }
    CHECK(find<ProposeTerm>(group.advance(start + silent)) == nullptr);
    group.promotion.note(Suspected{ZoneId("z"), {GroupId("g"), Term(1), UpstreamId("a")}}, start + silent);
    const auto ended = group.advance(start + silent);
    REQUIRE(find<ProposeTerm>(ended) != nullptr);
    CHECK(find<ProposeTerm>(ended)->reason == TermEnd::Silent);
}

// Failure: a primary that steps down by a late order leaves its group without a primary forever.
TEST_CASE("a promoted member that reports another role twice is promoted again")
{
    auto group = Group(4);
    group.setPrimary("b");
    REQUIRE(find<SendPromote>(group.advance(start)) != nullptr);
    auto report = platform::PositionReport();
    report.id = "b";
    report.incarnation = 1;
    report.term = 4;
    report.role = platform::Role::Primary;
    group.promotion.note(OrderAnswered{Order::Promote, GroupId("g"), Term(4), UpstreamId("b"), report}, start + 300ms);
    group.promotion.note(announcementOf("b", platform::Role::Replica), start + 310ms);
    CHECK(find<SendPromote>(group.advance(start + 310ms)) == nullptr);
    SECTION("the first health report was sent before the promotion")
    {
        group.promotion.note(announcementOf("b", platform::Role::Primary), start + 320ms);
        group.promotion.note(announcementOf("b", platform::Role::Replica), start + 330ms);
        CHECK(find<SendPromote>(group.advance(start + 330ms)) == nullptr);
    }
    SECTION("the member has stepped down")
    {
        group.promotion.note(announcementOf("b", platform::Role::Replica), start + 1'500ms);
        CHECK(find<SendPromote>(group.advance(start + 1'500ms)) != nullptr);
    }
}

// Failure: a control VM without the promotion duty orders promotions, or stays idle after it is granted the duty.
TEST_CASE("a promotion is ordered only under the promotion duty")
{
    auto group = Group(4);
    group.setPrimary("b");
    group.promotion.setDuty(false);
    const auto waiting = group.advance(start + 1ms);
    CHECK(find<SendPromote>(waiting) == nullptr);
    REQUIRE(find<AwaitDuty>(waiting) != nullptr);
    CHECK(find<AwaitDuty>(waiting)->group == GroupId("g"));
    group.promotion.setDuty(true);
    CHECK(find<SendPromote>(group.advance(start + 2ms)) != nullptr);
}

// Failure: the promotion of members that reject orders of an old term themselves is delayed until the duty is granted.
TEST_CASE("a promotion of members that store their term needs no duty")
{
    auto group = Group(4);
    group.record.selfReplicating = false;
    group.setPrimary("b");
    group.promotion.setDuty(false);
    CHECK(find<SendPromote>(group.advance(start + 1ms)) != nullptr);
}

// Failure: a new control leader repeats a promotion that was carried out, or does not complete one that was not.
TEST_CASE("a new control leader trusts the role in the health reports of the primary in the replicated state")
{
    auto group = Group(4);
    group.setPrimary("a");
    auto fresh = GroupPromotion(start, contactTimeoutFor(1'200ms));
    REQUIRE(find<SendPromote>(fresh.advance(group.record, released, start)) == nullptr);
    SECTION("it is primary")
    {
        fresh.note(announcementOf("a", platform::Role::Primary), start + 100ms);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 100ms)) == nullptr);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 5s)) == nullptr);
        fresh.note(announcementOf("a", platform::Role::Replica), start + 6s);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 6s)) != nullptr);
    }
    SECTION("it is not primary yet")
    {
        fresh.note(announcementOf("a", platform::Role::Replica), start + 100ms);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 100ms)) != nullptr);
    }
    SECTION("its health reports do not arrive")
    {
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + contactTimeoutFor(1'200ms) - 1ms)) == nullptr);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + contactTimeoutFor(1'200ms))) != nullptr);
    }
}

// Failure: the promotion of a primary that the new control leader itself has chosen is delayed until the next health report.
TEST_CASE("a new control leader promotes a primary of its own choice at once")
{
    auto group = Group(4);
    auto fresh = GroupPromotion(start, contactTimeoutFor(1'200ms));
    REQUIRE(find<SendFence>(fresh.advance(group.record, released, start)) != nullptr);
    group.setPrimary("b");
    CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 20ms)) != nullptr);
}

// Failure: a primary that already serves is sent an order to become primary, which may interrupt its callers.
TEST_CASE("an adopted primary is sent no order to become primary")
{
    auto group = Group(0);
    REQUIRE(find<ProposeTerm>(group.advance(start)) != nullptr);
    group.record.view.term = Term(1);
    REQUIRE(find<ProposePrimary>(group.advance(start + 1ms)) != nullptr);
    group.setPrimary("a");
    CHECK(find<SendPromote>(group.advance(start + 2ms)) == nullptr);
    group.announce(start + 1s);
    CHECK(find<SendPromote>(group.advance(start + 1s)) == nullptr);
}

} // namespace sapphirespool::promotion
