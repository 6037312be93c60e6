#include "fixture.h"

#include <catch2/catch.hpp>

namespace sapphirespool::decisions
{

TEST_CASE("writes go to the primary and wait for its slots")
{
    auto fixture = Fixture();
    CHECK(startedOn(fixture.write()) == "p");
    CHECK(startedOn(fixture.write()) == "p");
    CHECK(fixture.write().empty());
    fixture.now += milliseconds(5);
    const auto actions = fixture.finish(1);
    REQUIRE(startedOn(actions) == "p");
    CHECK(std::get<Start>(actions.front()).id == WorkId(3));
}

TEST_CASE("a read that accepts stale data goes to a replica that is fresh enough")
{
    auto fixture = Fixture();
    fixture.report("r1", 10);
    fixture.report("r2", 20);
    CHECK(startedOn(fixture.tolerant(milliseconds(500), NeededPosition{Term(1), LogPosition(15)})) == "r2");
    CHECK(startedOn(fixture.tolerant(milliseconds(0))) == "p");
    fixture.now += milliseconds(501);
    CHECK(startedOn(fixture.tolerant(milliseconds(500))) == "p");
}

TEST_CASE("a read does not wait for a position past the end of an older term")
{
    // The session observed position 30 of term 1. The promotion to term 2 kept entries up to 25; 26 to 30 were never
    // acknowledged. A replica at (2, 27) holds all valid entries, although 27 is below 30.
    auto fixture = Fixture();
    fixture.cluster.groups.front().term = Term(2);
    fixture.cluster.groups.front().history = {{Term(1), LogPosition(0)}, {Term(2), LogPosition(25)}};
    fixture.publish();
    fixture.report("r1", 27, 2);
    CHECK(startedOn(fixture.tolerant(milliseconds(500), NeededPosition{Term(1), LogPosition(30)})) == "r1");
}

TEST_CASE("a replica of an older term does not serve a session that has observed a newer term")
{
    // The replica still follows the old primary and reports a high position of term 1, entries that the promotion discarded.
    // A session that wrote at (2, 26) would not see its write there.
    auto fixture = Fixture();
    fixture.cluster.groups.front().term = Term(2);
    fixture.cluster.groups.front().history = {{Term(1), LogPosition(0)}, {Term(2), LogPosition(25)}};
    fixture.publish();
    fixture.report("r1", 90, 1);
    CHECK(startedOn(fixture.tolerant(milliseconds(500), NeededPosition{Term(2), LogPosition(26)})) == "p");
}

TEST_CASE("a replica that holds entries discarded by a promotion serves no reads")
{
    // The replica was partitioned together with the old primary and holds entries 26 and 27 of term 1, which were never
    // acknowledged. The caller would read a row there that no other member has, and miss it in the next read.
    auto fixture = Fixture();
    fixture.cluster.groups.front().term = Term(2);
    fixture.cluster.groups.front().history = {{Term(1), LogPosition(0)}, {Term(2), LogPosition(25)}};
    fixture.publish();
    fixture.report("r1", 27, 1);
    CHECK(startedOn(fixture.tolerant(milliseconds(500))) == "p");
    fixture.report("r2", 24, 1);
    CHECK(startedOn(fixture.tolerant(milliseconds(500))) == "r2");
}

TEST_CASE("a late report does not move the known position of a replica back")
{
    auto fixture = Fixture();
    fixture.report("r1", 20);
    fixture.report("r1", 10);
    CHECK(startedOn(fixture.tolerant(milliseconds(500), NeededPosition{Term(1), LogPosition(15)})) == "r1");
}

TEST_CASE("an upstream that the view marks as leaving gets no new work")
{
    auto fixture = Fixture();
    fixture.report("r1", 10);
    fixture.cluster.groups.front().members[1].leaving = true;
    fixture.publish();
    CHECK(startedOn(fixture.tolerant(milliseconds(500))) == "p");
}

TEST_CASE("work that runs while its upstream leaves the view and returns still holds its slot")
{
    // Health reports of the primary are lost for a short time while a write runs there. The view removes the primary and adds
    // it again; then the write ends. Other work must not get its slot before that.
    auto fixture = Fixture({}, 1);
    const auto whole = fixture.cluster;
    CHECK(startedOn(fixture.write()) == "p");
    fixture.cluster.groups.front().members.erase(fixture.cluster.groups.front().members.begin());
    fixture.cluster.groups.front().primary.reset();
    fixture.publish();
    fixture.cluster = whole;
    fixture.publish();
    CHECK(fixture.write().empty());
    CHECK(startedOn(fixture.finish(1)) == "p");
}

TEST_CASE("work that can no longer be served in time is refused with its reason")
{
    auto settings = fifoSettings();
    auto fixture = Fixture(settings, 1);
    CHECK(startedOn(fixture.write()) == "p");
    CHECK(fixture.write("c", milliseconds(100)).empty());
    REQUIRE(fixture.dispatcher->nextTick());
    CHECK(*fixture.dispatcher->nextTick() == fixture.now + milliseconds(100));
    fixture.now += milliseconds(100);
    const auto refused = refusal(fixture.dispatcher->tick(fixture.now));
    REQUIRE(refused);
    CHECK(refused->reason == RefusalReason::DeadlineExceeded);
}

TEST_CASE("cancelled work does not start")
{
    auto fixture = Fixture({}, 1);
    fixture.write();
    fixture.write();
    CHECK(fixture.dispatcher->cancel(WorkId(2), fixture.now).empty());
    CHECK(fixture.finish(1).empty());
}

TEST_CASE("a session that has observed a later term than the view's is not sent to what may be the old primary")
{
    auto fixture = Fixture();
    auto read = fixture.work(Access::Read, "c", milliseconds(100));
    read.needed = NeededPosition{Term(2), LogPosition(1)};
    CHECK(fixture.dispatcher->submit(read, fixture.now).empty());
    fixture.now += milliseconds(100);
    const auto refused = refusal(fixture.dispatcher->tick(fixture.now));
    REQUIRE(refused);
    CHECK(refused->reason == RefusalReason::StaleView);
}

} // namespace sapphirespool::decisions
