#include "sapphirespool/Standin/membercore.h"

#include <catch2/catch.hpp>

namespace sapphirespool::standin
{

namespace
{

using namespace std::chrono_literals;
using platform::Role;

const auto start = TimePoint(1h);

/// A member and the store that outlives it.
struct CoreFixture
{
    std::shared_ptr<MemberStore> store = makeMemoryStore();
    MemberCore core = MemberCore(UpstreamId("m"), Incarnation(1), this->store);

    auto write(std::string sql) -> LogPosition
    {
        return this->core.append({LoggedStatement{std::move(sql), {}, 1}}, start);
    }

    auto lead(std::uint64_t term) -> void
    {
        REQUIRE(this->core.promote({term}, start));
    }

    auto followMember(std::uint64_t term, std::uint64_t keptUpTo) -> void
    {
        REQUIRE(this->core.follow({term, "p", "127.0.0.1", 1, keptUpTo}, start));
    }

    /// Pulls from \p primary until there is no more to get.
    auto pull(const MemberCore &primary, TimePoint now = start) -> void
    {
        for (auto round = 0; round < 32; ++round) {
            const auto request = this->core.nextRequest();
            REQUIRE(request);
            this->core.accept(*request, primary.logAfter(*request), now, now);
        }
    }
};

} // namespace

TEST_CASE("a fenced member refuses writes and replication of the old term")
{
    // A primary that nobody can reach still believes in its term. Once a majority was fenced for the next term, its writes must
    // find nobody to confirm them; else a caller gets an acknowledgement for a write that the promotion has already dropped.
    auto primary = CoreFixture();
    primary.lead(1);
    auto replica = CoreFixture();
    replica.followMember(1, 0);
    primary.write("a");
    const auto asked = replica.core.nextRequest();
    const auto late = primary.core.logAfter(*asked);
    CHECK(replica.core.fence({2}, start).position == 0);
    replica.core.accept(*asked, late, start, start);
    CHECK(replica.core.position() == LogPosition(0));
    CHECK_FALSE(replica.core.nextRequest());
    CHECK_FALSE(replica.core.follow({1, "p", "127.0.0.1", 1, 0}, start));
    CHECK_FALSE(replica.core.promote({1}, start));
    CHECK(primary.core.fence({2}, start).role == Role::Fenced);
    CHECK_FALSE(primary.core.mayWrite(Term(1)));
    CHECK(primary.core.logAfter(*asked).status == LogStatus::WrongTerm);
}

TEST_CASE("a fence survives a restart")
{
    // The member answers the fence and restarts before the promotion. If it came back as the primary of the old term, a proxy
    // with an old view would have a write acknowledged that the new primary never sees.
    auto member = CoreFixture();
    member.lead(1);
    member.write("a");
    member.core.fence({2}, start);
    const auto restarted = MemberCore(UpstreamId("m"), Incarnation(2), member.store);
    CHECK(restarted.state().role == Role::Fenced);
    CHECK(restarted.state().term == 2);
    CHECK(restarted.position() == LogPosition(1));
    CHECK_FALSE(restarted.mayWrite(Term(1)));
    CHECK(restarted.report(start).incarnation == 2);
}

TEST_CASE("a fence of a lower or equal term changes nothing")
{
    auto member = CoreFixture();
    member.lead(3);
    CHECK(member.core.fence({2}, start).term == 3);
    CHECK(member.core.fence({3}, start).role == Role::Primary);
    CHECK(member.core.mayWrite(Term(3)));
}

TEST_CASE("a repeated promotion names the same end of the earlier terms")
{
    // The control leader that ordered the promotion loses the answer, and the next one repeats it after the first new writes.
    // With another end, sessions would take positions of the old term for valid that the new term had replaced.
    auto member = CoreFixture();
    member.lead(1);
    member.write("a");
    const auto first = member.core.promote({2}, start);
    member.write("b");
    const auto second = member.core.promote({2}, start);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->position == 1);
    CHECK(second->position == 1);
    CHECK(second->lastTerm == 1);
    CHECK(member.core.report(start).position == 2);
}

TEST_CASE("a member does not lead a term in which it follows, nor follow one in which it leads")
{
    auto member = CoreFixture();
    member.followMember(2, 0);
    CHECK_FALSE(member.core.promote({2}, start));
    member.lead(3);
    CHECK_FALSE(member.core.follow({3, "p", "127.0.0.1", 1, 0}, start));
    CHECK(member.core.mayWrite(Term(3)));
}

TEST_CASE("a follower drops what an earlier term wrote above the kept position")
{
    // The old primary wrote 2 and 3, which nobody confirmed; the promotion kept up to 1. Its own 2 and 3 must go, or a read at
    // it would show a booking that no caller was told of, in place of the one that the new primary has at 2.
    auto old = CoreFixture();
    old.lead(1);
    old.write("kept");
    auto next = CoreFixture();
    next.followMember(1, 0);
    next.pull(old.core);
    old.write("dropped");
    old.write("dropped too");
    next.lead(2);
    next.write("new");
    old.followMember(2, 1);
    CHECK(old.core.position() == LogPosition(1));
    CHECK(old.core.cuts() == 1);
    CHECK_FALSE(old.core.mayRead(Term(0)));
    old.pull(next.core);
    CHECK(old.core.mayRead(Term(0)));
    CHECK(old.core.position() == LogPosition(2));
    CHECK(old.core.visibleAfter(LogPosition(1)).front().statements.front().sql == "new");
    SECTION("and a repeated order drops nothing of the new term")
    {
        old.followMember(2, 1);
        CHECK(old.core.position() == LogPosition(2));
        CHECK(old.core.cuts() == 1);
    }
    SECTION("and the cut survives a restart")
    {
        const auto restarted = MemberCore(UpstreamId("m"), Incarnation(2), old.store);
        CHECK(restarted.report(start).lastTerm == 2);
        CHECK(restarted.position() == LogPosition(2));
    }
}

TEST_CASE("a member that missed a promotion loses what the promotion dropped, though it lies below the kept position")
{
    // It wrote 2 and 3 in term 1 and was away while term 2 began at 1 and grew to 3. The order to follow in term 3 keeps up
    // to 3, so only the comparison of the terms with the primary's log finds the void entries.
    auto away = CoreFixture();
    away.lead(1);
    away.write("kept");
    auto next = CoreFixture();
    next.followMember(1, 0);
    next.pull(away.core);
    away.write("dropped");
    away.write("dropped too");
    next.lead(2);
    next.write("second");
    next.write("third");
    next.lead(3);
    next.write("fourth");
    away.followMember(3, 3);
    CHECK(away.core.position() == LogPosition(3));
    CHECK(away.core.report(start).applied == 0);
    away.pull(next.core);
    CHECK(away.core.position() == LogPosition(4));
    CHECK(away.core.visibleAfter(LogPosition(1)).front().statements.front().sql == "second");
    CHECK(away.core.visibleAfter(LogPosition(0)).front().statements.front().sql == "kept");
}

TEST_CASE("an answer to an earlier request is not taken twice")
{
    auto primary = CoreFixture();
    primary.lead(1);
    auto replica = CoreFixture();
    replica.followMember(1, 0);
    primary.write("a");
    const auto asked = replica.core.nextRequest();
    const auto answer = primary.core.logAfter(*asked);
    replica.core.accept(*asked, answer, start, start);
    replica.core.accept(*asked, answer, start, start);
    CHECK(replica.core.position() == LogPosition(1));
}

TEST_CASE("a replica's reads stay behind by its lag, and its age says so")
{
    auto primary = CoreFixture();
    primary.lead(1);
    auto replica = CoreFixture();
    replica.core.setLag(500ms);
    replica.followMember(1, 0);
    CHECK(replica.core.report(start).ageMs > 3'600'000);
    replica.pull(primary.core, start);
    CHECK(replica.core.report(start).ageMs == 0);
    primary.write("a");
    replica.pull(primary.core, start + 100ms);
    CHECK(replica.core.report(start + 100ms).position == 1);
    CHECK(replica.core.report(start + 100ms).applied == 0);
    CHECK(replica.core.report(start + 100ms).ageMs == 100);
    replica.core.advance(start + 600ms);
    CHECK(replica.core.report(start + 600ms).applied == 1);
    CHECK(replica.core.report(start + 600ms).ageMs == 500);
}

TEST_CASE("a promoted replica shows all that it holds")
{
    // Its lag has not passed when the primary dies. Reads of the new term must see every acknowledged write at once.
    auto primary = CoreFixture();
    primary.lead(1);
    auto replica = CoreFixture();
    replica.core.setLag(10s);
    replica.followMember(1, 0);
    primary.write("a");
    replica.pull(primary.core);
    CHECK(replica.core.appliedPosition() == LogPosition(0));
    replica.lead(2);
    CHECK(replica.core.appliedPosition() == LogPosition(1));
    CHECK(replica.core.age(start + 1h) == 0ms);
}

} // namespace sapphirespool::standin
