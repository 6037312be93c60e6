#include "sapphirespool/Promotion/grouppromotion.h"

#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);
const auto released = ProxyStanding{3, Revision(7), Revision(7)};

auto announcementOf(std::string id, platform::Role role, bool leaving = false) -> Announced
{
    auto announcement = platform::Announcement();
    announcement.group = "g";
    announcement.id = std::move(id);
    announcement.incarnation = 1;
    announcement.role = role;
    announcement.leaving = leaving;
    return {announcement};
}

auto fenced(std::string_view id, std::uint64_t position) -> OrderAnswered
{
    auto report = platform::PositionReport();
    report.id = id;
    report.incarnation = 1;
    report.term = 2;
    report.role = platform::Role::Fenced;
    report.lastTerm = 1;
    report.position = position;
    return {Order::Fence, GroupId("g"), Term(2), UpstreamId(std::string(id)), report};
}

auto unanswered(std::string_view id) -> OrderAnswered
{
    return {Order::Fence, GroupId("g"), Term(2), UpstreamId(std::string(id)), std::nullopt};
}

template <typename Kind>
auto find(const Actions &actions) -> const Kind *
{
    for (const auto &action : actions) {
        if (const auto *const found = std::get_if<Kind>(&action)) {
            return found;
        }
    }
    return nullptr;
}

/// A self-replicating group of a, b and c, of which a says that it is primary.
struct Group
{
    explicit Group(std::uint64_t term)
    {
        this->record.view.id = GroupId("g");
        this->record.view.term = Term(term);
        this->record.selfReplicating = true;
        for (const auto *const id : {"a", "b", "c"}) {
            auto member = membership::UpstreamView();
            member.id = UpstreamId(id);
            member.incarnation = Incarnation(1);
            this->record.view.members.push_back(member);
        }
        this->announce(start);
    }

    auto announce(TimePoint now, bool primaryLeaves = false) -> void
    {
        this->promotion.note(announcementOf("a", platform::Role::Primary, primaryLeaves), now);
        this->promotion.note(announcementOf("b", platform::Role::Replica), now);
        this->promotion.note(announcementOf("c", platform::Role::Replica), now);
    }

    auto lead(std::string_view primary) -> void
    {
        this->record.view.primary = UpstreamId(std::string(primary));
        this->record.primaryIncarnation = Incarnation(1);
        this->record.view.history.push_back({this->record.view.term, LogPosition(0)});
    }

    auto advance(TimePoint now) -> Actions
    {
        return this->promotion.advance(this->record, released, now);
    }

    state::GroupRecord record;
    GroupPromotion promotion{start, silenceAfter(1'200ms)};
};

} // namespace

TEST_CASE("a group that serves already keeps the primary that it has")
{
    // The system starts before databases that are in use. Fenced for a first term, they would stop serving for nothing.
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

TEST_CASE("a primary that announces itself after its replicas is neither fenced nor replaced")
{
    // Failure: at the first start a replica is promoted in the place of a primary that serves.
    for (const auto term : {std::uint64_t{0}, std::uint64_t{1}}) {
        auto group = Group(term);
        group.record.size = 3;
        group.promotion = GroupPromotion(start, silenceAfter(1'200ms));
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

TEST_CASE("a new group whose primary never announces itself gets one all the same")
{
    const auto elects = [](const Actions &actions) {
        return find<SendFence>(actions) != nullptr;
    };
    auto group = Group(1);
    group.record.size = 3;
    group.promotion = GroupPromotion(start, silenceAfter(1'200ms));
    auto began = std::optional<TimePoint>();
    for (auto passed = 0ms; passed <= 5s && !began; passed += 100ms) {
        group.promotion.note(announcementOf("b", platform::Role::Replica), start + passed);
        group.promotion.note(announcementOf("c", platform::Role::Replica), start + passed);
        if (elects(group.advance(start + passed))) {
            began = start + passed;
        }
    }
    REQUIRE(began);
    CHECK(*began <= start + silenceAfter(1'200ms));

    // All members have announced themselves, and none of them is primary.
    auto without = Group(1);
    without.record.size = 3;
    without.promotion = GroupPromotion(start, silenceAfter(1'200ms));
    for (const auto *const id : {"a", "b", "c"}) {
        without.promotion.note(announcementOf(id, platform::Role::Replica), start);
    }
    CHECK(elects(without.advance(start)));
}

TEST_CASE("two members that both call themselves primary are not guessed between")
{
    auto group = Group(1);
    group.promotion.note(announcementOf("b", platform::Role::Primary), start);
    CHECK(find<ProposePrimary>(group.advance(start + 1ms)) == nullptr);
}

TEST_CASE("a leaving primary is replaced at once, by a member that has what it acknowledged")
{
    // A database says that it leaves while callers write. Its last acknowledged writes are on their way to the replicas. Promoted at
    // once, a replica would lack them; kept until the end, the leaving one would get new work after it has gone.
    auto group = Group(1);
    group.lead("a");
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

TEST_CASE("one replica that is left takes over where no replica confirms writes")
{
    // The primary and a replica are lost together. Nobody promises that the other replica has the last writes, and nobody else can serve.
    auto group = Group(1);
    group.lead("a");
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

TEST_CASE("the choice does not wait for the member that is suspected")
{
    // The primary's VM has lost its power; its order stays without an answer. Each moment in which the choice waits for it is one in
    // which no caller of the group can write.
    auto group = Group(1);
    group.lead("a");
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

TEST_CASE("the promotion of a self-replicating group waits for no proxy that is cut off from control")
{
    // The caller sees: no writes for three seconds more, because proxies that cannot be reached might go by the ended term.
    // What such a proxy sends to the former primary is refused there, so that nobody needs to wait for its lease.
    const auto behind = ProxyStanding{3, Revision(7), Revision(6)};
    auto group = Group(1);
    group.lead("a");
    group.promotion.advance(group.record, behind, start);
    group.record.view.term = Term(2);
    group.lead("b");
    const auto promoting = group.promotion.advance(group.record, behind, start + 1ms);
    REQUIRE(find<SendPromote>(promoting) != nullptr);
    CHECK(find<SendPromote>(promoting)->member == UpstreamId("b"));
}

TEST_CASE("suspicions of VMs that have lost their own way end no term")
{
    // The caller sees: writes refused for a second, although the primary is well. Two VMs whose links are full suspect it, as they suspect
    // the primaries of most other groups.
    auto group = Group(1);
    group.lead("a");
    group.advance(start);
    for (const auto *const zone : {"z1", "z2"}) {
        group.promotion.note(Suspected{ZoneId(zone), {GroupId("g"), Term(1), UpstreamId("a")}, false}, start + 1ms);
    }
    CHECK(find<ProposeTerm>(group.advance(start + 1ms)) == nullptr);
}

TEST_CASE("where a replica confirms each write, one report is not enough")
{
    // The write that was acknowledged last is on the lost primary and on one replica, which may be the one that has not answered.
    auto group = Group(2);
    group.record.confirmations = 1;
    group.record.view.history.push_back({Term(1), LogPosition(0)});
    group.advance(start);
    group.promotion.note(fenced("b", 48), start + 10ms);
    group.promotion.note(unanswered("a"), start + 10ms);
    group.promotion.note(unanswered("c"), start + 10ms);
    CHECK(find<ProposePrimary>(group.advance(start + 2s)) == nullptr);
    group.promotion.note(fenced("c", 49), start + 2s);
    const auto chosen = group.advance(start + 2s);
    REQUIRE(find<ProposePrimary>(chosen) != nullptr);
    CHECK(find<ProposePrimary>(chosen)->command.primary == UpstreamId("c"));
}

TEST_CASE("a primary whose announcements stay away is kept while its proxies are served")
{
    // Databases are cut off from control alone. Their callers notice nothing, and a promotion would only stop them.
    auto group = Group(1);
    group.lead("a");
    const auto silent = silenceAfter(1'200ms);
    for (const auto *const id : {"b", "c"}) {
        group.promotion.note(announcementOf(id, platform::Role::Replica), start + silent);
    }
    CHECK(find<ProposeTerm>(group.advance(start + silent)) == nullptr);
    group.promotion.note(Suspected{ZoneId("z"), {GroupId("g"), Term(1), UpstreamId("a")}}, start + silent);
    const auto ended = group.advance(start + silent);
    REQUIRE(find<ProposeTerm>(ended) != nullptr);
    CHECK(find<ProposeTerm>(ended)->reason == TermEnd::Silent);
}

// A primary that an order told to step down after its promotion must not leave the group without one.
TEST_CASE("a promoted member that twice says that it is not primary is promoted again")
{
    auto group = Group(4);
    group.lead("b");
    REQUIRE(find<SendPromote>(group.advance(start)) != nullptr);
    auto report = platform::PositionReport();
    report.id = "b";
    report.incarnation = 1;
    report.term = 4;
    report.role = platform::Role::Primary;
    group.promotion.note(OrderAnswered{Order::Promote, GroupId("g"), Term(4), UpstreamId("b"), report}, start + 300ms);
    group.promotion.note(announcementOf("b", platform::Role::Replica), start + 310ms);
    CHECK(find<SendPromote>(group.advance(start + 310ms)) == nullptr);
    SECTION("the first word was under way when it was promoted")
    {
        group.promotion.note(announcementOf("b", platform::Role::Primary), start + 320ms);
        group.promotion.note(announcementOf("b", platform::Role::Replica), start + 330ms);
        CHECK(find<SendPromote>(group.advance(start + 330ms)) == nullptr);
    }
    SECTION("it has stepped down")
    {
        group.promotion.note(announcementOf("b", platform::Role::Replica), start + 1'500ms);
        CHECK(find<SendPromote>(group.advance(start + 1'500ms)) != nullptr);
    }
}

// A control VM without the promotion duty must order nothing, and go on as soon as it has it.
TEST_CASE("a promotion waits for the duty to order it")
{
    auto group = Group(4);
    group.lead("b");
    group.promotion.setDuty(false);
    const auto waiting = group.advance(start + 1ms);
    CHECK(find<SendPromote>(waiting) == nullptr);
    REQUIRE(find<AwaitDuty>(waiting) != nullptr);
    CHECK(find<AwaitDuty>(waiting)->group == GroupId("g"));
    group.promotion.setDuty(true);
    CHECK(find<SendPromote>(group.advance(start + 2ms)) != nullptr);
}

// Members that judge an order by its term must not wait for a duty that their promotion does not need.
TEST_CASE("a promotion of members that tell their term needs no duty")
{
    auto group = Group(4);
    group.record.selfReplicating = false;
    group.lead("b");
    group.promotion.setDuty(false);
    CHECK(find<SendPromote>(group.advance(start + 1ms)) != nullptr);
}

// A new control leader must order what is missing of a promotion, and nothing of one that was carried out.
TEST_CASE("a new control leader trusts the role that the primary it finds announces")
{
    auto group = Group(4);
    group.lead("a");
    auto fresh = GroupPromotion(start, silenceAfter(1'200ms));
    REQUIRE(find<SendPromote>(fresh.advance(group.record, released, start)) == nullptr);
    SECTION("it leads")
    {
        fresh.note(announcementOf("a", platform::Role::Primary), start + 100ms);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 100ms)) == nullptr);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 5s)) == nullptr);
        fresh.note(announcementOf("a", platform::Role::Replica), start + 6s);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 6s)) != nullptr);
    }
    SECTION("it does not lead yet")
    {
        fresh.note(announcementOf("a", platform::Role::Replica), start + 100ms);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 100ms)) != nullptr);
    }
    SECTION("its announcements do not arrive")
    {
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + silenceAfter(1'200ms) - 1ms)) == nullptr);
        CHECK(find<SendPromote>(fresh.advance(group.record, released, start + silenceAfter(1'200ms))) != nullptr);
    }
}

// A primary that the new control leader has chosen itself must not wait for its next announcement.
TEST_CASE("a new control leader promotes at once whom it has chosen itself")
{
    auto group = Group(4);
    auto fresh = GroupPromotion(start, silenceAfter(1'200ms));
    REQUIRE(find<SendFence>(fresh.advance(group.record, released, start)) != nullptr);
    group.lead("b");
    CHECK(find<SendPromote>(fresh.advance(group.record, released, start + 20ms)) != nullptr);
}

// A group that serves already needs no order for the primary that it came with.
TEST_CASE("an adopted primary is not ordered to be primary")
{
    auto group = Group(0);
    REQUIRE(find<ProposeTerm>(group.advance(start)) != nullptr);
    group.record.view.term = Term(1);
    REQUIRE(find<ProposePrimary>(group.advance(start + 1ms)) != nullptr);
    group.lead("a");
    CHECK(find<SendPromote>(group.advance(start + 2ms)) == nullptr);
    group.announce(start + 1s);
    CHECK(find<SendPromote>(group.advance(start + 1s)) == nullptr);
}

} // namespace sapphirespool::promotion
