#include "sapphirespool/Upstreams/confirmations.h"

#include <catch2/catch.hpp>

namespace sapphirespool::upstreams
{

namespace
{

auto group(std::uint64_t term, std::size_t members = 3) -> membership::GroupView
{
    auto view = membership::GroupView();
    view.id = GroupId("g");
    view.term = Term(term);
    view.primary = UpstreamId("m0");
    for (auto index = std::size_t{0}; index < members; ++index) {
        auto member = membership::UpstreamView();
        member.id = UpstreamId("m" + std::to_string(index));
        member.incarnation = Incarnation(10 + index);
        view.members.push_back(member);
    }
    return view;
}

auto report(std::uint64_t index, std::uint64_t term, std::uint64_t lastTerm, std::uint64_t position) -> platform::PositionReport
{
    auto made = platform::PositionReport();
    made.id = "m" + std::to_string(index);
    made.incarnation = 10 + index;
    made.term = term;
    made.lastTerm = lastTerm;
    made.position = position;
    return made;
}

struct ConfirmationsFixture
{
    Confirmations confirmations;

    explicit ConfirmationsFixture(const membership::GroupView &view = group(2))
    {
        this->confirmations.viewChanged(view);
    }

    auto take(const platform::PositionReport &given) -> bool
    {
        return this->confirmations.reported(UpstreamId(given.id), given);
    }

    auto result(std::uint64_t position, std::uint64_t term = 2) -> std::optional<Confirmation>
    {
        return this->confirmations.result(Term(term), LogPosition(position));
    }
};

} // namespace

TEST_CASE("one of two replicas confirms")
{
    auto fixture = ConfirmationsFixture();
    CHECK(fixture.take(report(1, 2, 2, 4)));
    CHECK(fixture.result(5) == std::nullopt);
    CHECK(fixture.take(report(2, 2, 2, 5)));
    CHECK(fixture.result(5) == Confirmation::Confirmed);
    CHECK(fixture.result(6) == std::nullopt);
}

TEST_CASE("a group of five needs two replicas")
{
    // A majority of five is three. With one replica only, a fenced majority could miss both holders of the write.
    auto fixture = ConfirmationsFixture(group(2, 5));
    fixture.take(report(1, 2, 2, 5));
    CHECK(fixture.result(5) == std::nullopt);
    fixture.take(report(4, 2, 2, 5));
    CHECK(fixture.result(5) == Confirmation::Confirmed);
}

TEST_CASE("the primary does not confirm its own write, and a single member confirms nothing")
{
    auto fixture = ConfirmationsFixture(group(2, 1));
    auto own = report(0, 2, 2, 9);
    own.role = platform::Role::Primary;
    CHECK(fixture.take(own));
    CHECK(fixture.result(5) == std::nullopt);
}

TEST_CASE("a position of another term confirms nothing")
{
    // A member that was fenced, or just told to follow, reports the new term while its log still ends in entries of the old one
    // above the write's position. It is about to drop them; the write is on the primary alone.
    auto fixture = ConfirmationsFixture();
    fixture.take(report(1, 2, 1, 9));
    CHECK(fixture.result(5) == std::nullopt);
    fixture.take(report(1, 1, 1, 9));
    CHECK(fixture.result(5) == std::nullopt);
    auto fenced = report(1, 2, 2, 9);
    fenced.role = platform::Role::Fenced;
    fixture.take(fenced);
    CHECK(fixture.result(5) == std::nullopt);
}

TEST_CASE("a report of another process proves nothing")
{
    // A VM lost its disk and came back at the same address with the same name. Its earlier process held the write; this one
    // does not, and a report that was under way must not speak for it.
    auto fixture = ConfirmationsFixture();
    auto other = report(1, 2, 2, 9);
    other.incarnation = 99;
    CHECK_FALSE(fixture.take(other));
    CHECK(fixture.result(5) == std::nullopt);
    CHECK_FALSE(fixture.confirmations.reported(UpstreamId("m2"), report(1, 2, 2, 9)));
    SECTION("and what the earlier process reported is forgotten with it")
    {
        fixture.take(report(1, 2, 2, 9));
        auto restarted = group(2);
        restarted.members[1].incarnation = Incarnation(99);
        fixture.confirmations.viewChanged(restarted);
        CHECK(fixture.result(5) == std::nullopt);
    }
}

TEST_CASE("a later term ends the wait")
{
    auto fixture = ConfirmationsFixture();
    SECTION("by the view")
    {
        fixture.take(report(1, 2, 2, 9));
        fixture.confirmations.viewChanged(group(3));
        CHECK(fixture.result(5) == Confirmation::TermEnded);
    }
    SECTION("by all replicas, and not by one of them")
    {
        fixture.take(report(1, 3, 2, 4));
        CHECK(fixture.result(5) == std::nullopt);
        fixture.take(report(2, 3, 2, 4));
        CHECK(fixture.result(5) == Confirmation::TermEnded);
    }
}

TEST_CASE("a poll asks for more than what a follower holds, and for anything of a fenced member")
{
    auto fixture = ConfirmationsFixture();
    CHECK(fixture.confirmations.known(UpstreamId("m1")) == LogPosition(0));
    fixture.take(report(1, 2, 2, 9));
    CHECK(fixture.confirmations.known(UpstreamId("m1")) == LogPosition(9));
    auto fenced = report(1, 2, 1, 12);
    fenced.role = platform::Role::Fenced;
    fixture.take(fenced);
    CHECK(fixture.confirmations.known(UpstreamId("m1")) == LogPosition(0));
}

} // namespace sapphirespool::upstreams
