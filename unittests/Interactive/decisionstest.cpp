#include "../../lib/Interactive/primarysearch.h"
#include "../../lib/Interactive/primarywatch.h"
#include "../../lib/Interactive/statementrun.h"

#include "sapphirespool/Interactive/positionproofs.h"
#include "sapphirespool/Interactive/upstreamload.h"

#include <catch2/catch.hpp>

#include <array>

namespace sapphirespool::interactive
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

auto at(std::uint64_t term, std::uint64_t number) -> DataPosition
{
    return {Term(term), LogPosition(number)};
}

} // namespace

TEST_CASE("a proof covers earlier acknowledged writes, and the lowest covering position is returned")
{
    auto proofs = PositionProofs();
    CHECK_FALSE(proofs.covering(start));
    proofs.record(start, at(1, 10));
    proofs.record(start + 100ms, at(1, 20));
    proofs.record(start + 200ms, at(1, 30));
    CHECK(proofs.covering(start) == at(1, 10));
    CHECK(proofs.covering(start + 1ms) == at(1, 20));
    CHECK(proofs.covering(start + 200ms) == at(1, 30));
    CHECK_FALSE(proofs.covering(start + 201ms));
}

TEST_CASE("an answer that arrives out of order or from a former primary is not recorded")
{
    // After a primary was replaced, a late answer from the former one names a position of its own log. As the newest proof it would admit
    // reads that lack the new primary's writes.
    auto proofs = PositionProofs();
    proofs.record(start + 100ms, at(2, 5));
    proofs.record(start + 50ms, at(2, 4));
    proofs.record(start + 200ms, at(1, 900));
    REQUIRE(proofs.newest());
    CHECK(proofs.newest()->position == at(2, 5));
    CHECK_FALSE(proofs.covering(start + 101ms));
}

TEST_CASE("reads avoid a member that became slow, and return when it recovers")
{
    // One replica becomes ten times slower. With round-robin selection each third read would wait for it.
    auto load = UpstreamLoad();
    const auto fast = UpstreamId("fast");
    const auto slow = UpstreamId("slow");
    const auto candidates = std::array{ReadCandidate{fast, false, true, 0}, ReadCandidate{slow, false, true, 0}};
    for (auto read = 0; read < 5; ++read) {
        load.served(fast, 20ms, start);
        load.served(slow, 200ms, start);
    }
    CHECK(load.choose(candidates, start)->upstream == fast);
    const auto busy = std::array{ReadCandidate{fast, false, true, 20}, ReadCandidate{slow, false, true, 0}};
    CHECK(load.choose(busy, start)->upstream == slow);
    const auto decayed = std::array{ReadCandidate{fast, false, true, 1}, ReadCandidate{slow, false, true, 0}};
    CHECK(load.choose(decayed, start + 20s)->upstream == slow);
}

TEST_CASE("reads go to the primary only when the replicas are twice as busy")
{
    auto load = UpstreamLoad();
    const auto primary = UpstreamId("primary");
    const auto replica = UpstreamId("replica");
    const auto idle = std::array{ReadCandidate{primary, true, true, 0}, ReadCandidate{replica, false, true, 0}};
    CHECK(load.choose(idle, start)->upstream == replica);
    const auto full = std::array{ReadCandidate{primary, true, true, 0}, ReadCandidate{replica, false, true, 4}};
    CHECK(load.choose(full, start)->upstream == primary);
}

TEST_CASE("a member that failed or lags is the last choice during its backoff")
{
    auto load = UpstreamLoad();
    const auto first = UpstreamId("first");
    const auto second = UpstreamId("second");
    const auto candidates = std::array{ReadCandidate{first, false, true, 0}, ReadCandidate{second, false, false, 3}};
    CHECK(load.choose(candidates, start)->upstream == first);
    load.lagged(first, Duration(0), start);
    CHECK(load.choose(candidates, start)->upstream == second);
    CHECK(load.choose(candidates, start + UpstreamLoad::shortestLagBackoff)->upstream == first);
    load.failed(first, start);
    load.failed(first, start);
    CHECK(load.choose(candidates, start + UpstreamLoad::firstBackoff)->upstream == second);
    CHECK(load.choose(candidates, start + 2 * UpstreamLoad::firstBackoff)->upstream == first);
}

TEST_CASE("load: reads do not each try replicas that are seconds behind")
{
    // Both replicas of a group are ten seconds behind, and a proxy has a read for the group every half second. With a backoff of some
    // milliseconds each read would try both replicas first, wait in their queues in vain, and reach the primary with less time until its
    // deadline. So the backoff grows with the replicas' lag.
    auto proofs = PositionProofs();
    proofs.record(start, at(1, 10));
    proofs.record(start + 1s, at(1, 20));
    CHECK(proofs.behind(at(1, 10), start + 9s) == 8s);
    CHECK(proofs.behind(at(1, 20), start + 9s) == 0s);
    auto load = UpstreamLoad();
    const auto primary = UpstreamId("primary");
    const auto replica = UpstreamId("replica");
    const auto candidates = std::array{ReadCandidate{primary, true, false, 3}, ReadCandidate{replica, false, true, 0}};
    auto replicaReads = 0;
    for (auto now = start + 9s; now < start + 19s; now += 500ms) {
        if (load.choose(candidates, now)->upstream == replica) {
            ++replicaReads;
            load.lagged(replica, proofs.behind(at(1, 10), start + 9s), now);
        }
    }
    CHECK(replicaReads <= 10);
    load.lagged(replica, 200ms, start + 20s);
    CHECK(load.choose(candidates, start + 20s + UpstreamLoad::shortestLagBackoff)->upstream == replica);
}

TEST_CASE("a primary is probed when it answers nothing, not when one statement is slow")
{
    // The primary's VM loses power: no connection is reset, and statements wait. One slow statement among answered ones does not indicate that.
    auto watch = PrimaryWatch();
    const auto primary = UpstreamId("primary");
    watch.sent(primary, start);
    watch.sent(primary, start + 100ms);
    watch.ended(primary, true, start + 200ms);
    CHECK(watch.due(start + 300ms).empty());
    const auto firstProbe = start + 200ms + PrimaryWatch::probeAfter;
    CHECK(watch.due(firstProbe) == std::vector{PrimaryWatch::Probe{primary, false}});
    CHECK(watch.due(firstProbe + 1ms).empty());
    CHECK(watch.due(firstProbe + PrimaryWatch::probeAfter) == std::vector{PrimaryWatch::Probe{primary, false}});
    // An upstream that keeps accepting connections and answers nothing must also send its greeting.
    CHECK(watch.due(start + 200ms + PrimaryWatch::thoroughProbeAfter + PrimaryWatch::probeAfter) == std::vector{PrimaryWatch::Probe{primary, true}});
    watch.ended(primary, false, start + 1s);
    CHECK_FALSE(watch.isActive());
}

TEST_CASE("stateCommands() brings a connection to exactly the session's state")
{
    auto connection = AppliedState();
    auto session = SessionState();
    const auto shape = PreparedShape{true, "q1"};
    CHECK(stateCommands(connection, session, nullptr).empty());
    session.values = {{"tenant", "derwent"}};
    auto commands = stateCommands(connection, session, &shape);
    REQUIRE(commands.size() == 2);
    for (const auto &command : commands) {
        applyCommand(connection, command);
    }
    CHECK(connection.values == session.values);
    CHECK(connection.prepared.contains(shape));
    CHECK(stateCommands(connection, session, &shape).empty());
    session.values = {{"locale", "jm"}};
    commands = stateCommands(connection, session, &shape);
    REQUIRE(commands.size() == 3);
    CHECK(commands[0].kind == CommandKind::Discard);
    CHECK(commands[1].name == "locale");
    CHECK(commands[2].kind == CommandKind::Prepare);
}

TEST_CASE("a thousand callers of a group without a primary start one search per interval")
{
    // Load pattern: all statements of a group go to a primary that was replaced, at a proxy that receives no views. Without the interval
    // each of them would ask each member.
    auto search = PrimarySearch();
    auto searches = 0;
    for (auto caller = 0; caller < 1'000; ++caller) {
        searches += search.begin(GroupId("g"), start + caller * 1ms) ? 1 : 0;
    }
    CHECK(searches == 1'000ms / PrimarySearch::searchSpacing);
    CHECK(search.begin(GroupId("other"), start));
}

TEST_CASE("a found primary is valid until it refuses or the view has a later term")
{
    const auto group = GroupId("g");
    auto search = PrimarySearch();
    CHECK_FALSE(search.foundFor(group, Term(1)));
    search.record(group, Term(1), UpstreamId("b"));
    CHECK(search.foundFor(group, Term(1)) == UpstreamId("b"));
    CHECK_FALSE(search.foundFor(group, Term(2)));
    CHECK_FALSE(search.foundFor(GroupId("other"), Term(1)));
    search.refute(group, UpstreamId("a"));
    CHECK(search.foundFor(group, Term(1)) == UpstreamId("b"));
    search.refute(group, UpstreamId("b"));
    CHECK_FALSE(search.foundFor(group, Term(1)));
}

} // namespace sapphirespool::interactive
