#include "fixture.h"

#include "sapphirespool/Decisions/brownout.h"
#include "sapphirespool/Decisions/dependencyguard.h"
#include "sapphirespool/Decisions/fairqueue.h"
#include "sapphirespool/Decisions/retryreservations.h"
#include "sapphirespool/Decisions/upstreamstate.h"

#include <catch2/catch.hpp>

namespace sapphirespool::decisions
{

namespace
{

const auto always = [](WorkId) {
    return true;
};

} // namespace

TEST_CASE("work that cannot be served in time is refused on arrival and served when the caller retries at the given time")
{
    // One slot, 10 ms for each write, and more writes than fit into the 100 ms until each caller's deadline. The caller is refused on
    // arrival with a retry time. It retries at that time, while new work continues to arrive, and is answered before its deadline.
    auto fixture = Fixture({}, 1);
    for (auto warming = 0; warming < 20; ++warming) {
        fixture.write("warm");
        fixture.now += milliseconds(10);
        fixture.finish(fixture.lastId);
    }
    const auto firstId = fixture.lastId + 1;
    auto retryAfter = std::optional<milliseconds>();
    for (auto number = 0; number < 100 && !retryAfter; ++number) {
        const auto refused = refusal(fixture.write("c" + std::to_string(number), milliseconds(100)));
        if (refused) {
            CHECK(refused->reason == RefusalReason::DeadlineUnreachable);
            retryAfter = refused->retryAfter;
        }
    }
    REQUIRE(retryAfter);
    REQUIRE(fixture.lastId < firstId + 20);
    const auto refusedCaller = "c" + std::to_string(fixture.lastId - firstId);
    const auto retryAt = fixture.now + *retryAfter;
    auto runningId = firstId;
    const auto serveOne = [&fixture, &runningId]() {
        fixture.now += milliseconds(10);
        const auto actions = fixture.finish(runningId);
        for (const auto &action : actions) {
            if (const auto *const start = std::get_if<Start>(&action)) {
                runningId = start->id.value();
            }
        }
    };
    while (fixture.now < retryAt) {
        serveOne();
        fixture.write("new" + std::to_string(fixture.lastId), milliseconds(100));
        fixture.write("new" + std::to_string(fixture.lastId), milliseconds(100));
    }
    CHECK_FALSE(refusal(fixture.write(refusedCaller, milliseconds(100))));
    const auto retryId = fixture.lastId;
    const auto deadline = fixture.now + milliseconds(100);
    while (runningId != retryId && fixture.now < deadline) {
        serveOne();
    }
    CHECK(runningId == retryId);
    CHECK(fixture.now + milliseconds(10) <= deadline);
}

TEST_CASE("a caller with a long backlog does not delay another caller's first piece of work")
{
    auto queue = FairQueue(QueueSettings{.discipline = QueueDiscipline::FairQueueing});
    const auto now = TimePoint(std::chrono::hours(1));
    for (auto id = std::uint64_t{1}; id <= 50; ++id) {
        queue.push({WorkId(id), CallerId("hot")}, now);
    }
    queue.pop(always, milliseconds(5), now);
    queue.push({WorkId(100), CallerId("other")}, now);
    CHECK(queue.pop(always, milliseconds(5), now)->id == WorkId(100));
}

TEST_CASE("an idle caller accumulates no credit for service that it did not use")
{
    auto queue = FairQueue(QueueSettings{.discipline = QueueDiscipline::FairQueueing});
    const auto now = TimePoint(std::chrono::hours(1));
    for (auto id = std::uint64_t{1}; id <= 100; ++id) {
        queue.push({WorkId(id), CallerId("steady")}, now);
    }
    for (auto count = 0; count < 50; ++count) {
        queue.pop(always, milliseconds(5), now);
    }
    for (auto id = std::uint64_t{201}; id <= 210; ++id) {
        queue.push({WorkId(id), CallerId("late")}, now);
    }
    auto late = 0;
    for (auto count = 0; count < 10; ++count) {
        late += queue.pop(always, milliseconds(5), now)->caller == CallerId("late") ? 1 : 0;
    }
    CHECK(late <= 6);
}

TEST_CASE("refused callers receive successive retry times")
{
    // With the same retry time all would retry together and be refused again.
    auto reservations = RetryReservations(milliseconds(1000), milliseconds(100));
    const auto now = TimePoint(std::chrono::hours(1));
    const auto first = reservations.makeReservation(CallerId("a"), now + milliseconds(50), milliseconds(10), now);
    const auto second = reservations.makeReservation(CallerId("b"), now + milliseconds(50), milliseconds(10), now);
    CHECK(first == now + milliseconds(50));
    CHECK(second == now + milliseconds(60));
    CHECK(reservations.countDue(now + milliseconds(55)) == 1);
    CHECK_FALSE(reservations.takeReservation(CallerId("b"), now + milliseconds(50)));
    CHECK(reservations.takeReservation(CallerId("b"), now + milliseconds(60)));
    CHECK_FALSE(reservations.takeReservation(CallerId("b"), now + milliseconds(60)));
    CHECK_FALSE(reservations.takeReservation(CallerId("a"), now + milliseconds(151)));
}

TEST_CASE("a caller is charged the measured time of its long statements afterwards")
{
    auto queue = FairQueue(QueueSettings{.discipline = QueueDiscipline::FairQueueing});
    const auto now = TimePoint(std::chrono::hours(1));
    for (auto id = std::uint64_t{1}; id <= 10; ++id) {
        queue.push({WorkId(id), CallerId("long")}, now);
        queue.push({WorkId(100 + id), CallerId("short")}, now);
    }
    const auto first = queue.pop(always, milliseconds(5), now);
    REQUIRE(first->caller == CallerId("long"));
    queue.charge(CallerId("long"), milliseconds(5), milliseconds(50), now);
    for (auto count = 0; count < 9; ++count) {
        CHECK(queue.pop(always, milliseconds(5), now)->caller == CallerId("short"));
    }
}

TEST_CASE("least attained service: a caller above the threshold is served after those below it")
{
    auto queue = FairQueue(QueueSettings{.discipline = QueueDiscipline::LeastAttained});
    const auto now = TimePoint(std::chrono::hours(1));
    queue.charge(CallerId("long"), milliseconds(5), milliseconds(400), now);
    queue.push({WorkId(1), CallerId("long")}, now);
    queue.push({WorkId(2), CallerId("short")}, now);
    CHECK(queue.size() == 2);
    queue.pop(always, milliseconds(5), now);
    queue.push({WorkId(3), CallerId("short")}, now);
    CHECK(queue.pop(always, milliseconds(5), now).has_value());
    CHECK(queue.size() == 1);
}

TEST_CASE("writes on one key run one at a time and leave the other slots to other work")
{
    // Two writes change one row. The second would occupy a slot of the primary only to wait for the row lock, and a third caller's
    // write would wait behind it.
    auto fixture = Fixture();
    auto first = fixture.work(Access::Write, "a");
    auto second = fixture.work(Access::Write, "b");
    first.key = "row";
    second.key = "row";
    CHECK(startedOn(fixture.dispatcher->submit(first, fixture.now)) == "p");
    CHECK(fixture.dispatcher->submit(second, fixture.now).empty());
    CHECK(startedOn(fixture.write("c")) == "p");
    fixture.now += milliseconds(5);
    const auto actions = fixture.finish(1);
    REQUIRE(startedOn(actions) == "p");
    CHECK(std::get<Start>(actions.front()).id == second.id);
}

TEST_CASE("a replica 20 times slower than its peer is ejected and later readmitted, and its peer stays")
{
    auto fixture = Fixture({}, 1);
    const auto runRound = [&fixture](milliseconds slow, milliseconds fast) {
        fixture.report("r1", 10);
        fixture.report("r2", 10);
        const auto one = startedOn(fixture.tolerant(milliseconds(5000)));
        const auto oneId = fixture.lastId;
        const auto two = startedOn(fixture.tolerant(milliseconds(5000)));
        const auto twoId = fixture.lastId;
        fixture.now += fast;
        fixture.finish(one == "r1" ? twoId : oneId);
        fixture.now += slow - fast;
        fixture.finish(one == "r1" ? oneId : twoId);
        return one + two;
    };
    for (auto round = 0; round < 12; ++round) {
        runRound(milliseconds(100), milliseconds(5));
    }
    fixture.report("r1", 10);
    fixture.report("r2", 10);
    CHECK(startedOn(fixture.tolerant(milliseconds(5000))) == "r2");
    CHECK(fixture.tolerant(milliseconds(5000)).empty());
    fixture.now += milliseconds(1001);
    fixture.dispatcher->tick(fixture.now);
    CHECK(startedOn(fixture.tolerant(milliseconds(5000))) == "r1");
}

TEST_CASE("two failing replicas are not both ejected")
{
    // A fault common to both, such as a full disk that they share, would otherwise send all their reads to the primary.
    auto fixture = Fixture({}, 1);
    for (auto round = 0; round < 40; ++round) {
        fixture.report("r1", 10);
        fixture.report("r2", 10);
        const auto actions = fixture.tolerant(milliseconds(5000));
        CHECK(startedOn(actions) != "p");
        if (!actions.empty()) {
            fixture.finish(fixture.lastId, WorkOutcome::Failed);
        }
        fixture.now += milliseconds(10);
    }
}

TEST_CASE("a promoted primary ramps up to its share in steps")
{
    // Eight writes wait since the loss of the primary. The caches of the new primary are cold; started at once, all would time out.
    auto fixture = Fixture({}, 4);
    fixture.cluster.groups.front().primary.reset();
    fixture.publish();
    fixture.now += milliseconds(900);
    for (auto count = 0; count < 8; ++count) {
        fixture.write("c" + std::to_string(count), milliseconds(5000));
    }
    fixture.cluster.groups.front().primary = UpstreamId("r1");
    fixture.cluster.groups.front().term = Term(2);
    CHECK(fixture.publish().size() == 1);
    fixture.now += milliseconds(126);
    CHECK(fixture.dispatcher->tick(fixture.now).size() == 1);
    fixture.now += milliseconds(400);
    CHECK(fixture.dispatcher->tick(fixture.now).size() == 2);
}

TEST_CASE("writes are served before reads that accept stale data, without starving them")
{
    auto fixture = Fixture({}, 1);
    fixture.cluster.groups.front().members.resize(1);
    fixture.publish();
    fixture.write("w");
    for (auto count = 0; count < 20; ++count) {
        fixture.tolerant(milliseconds(500));
        fixture.write("w", milliseconds(60'000));
        fixture.write("w", milliseconds(60'000));
    }
    auto runningId = std::uint64_t{1};
    auto reads = 0;
    for (auto count = 0; count < 20; ++count) {
        fixture.now += milliseconds(1);
        for (const auto &action : fixture.finish(runningId)) {
            if (const auto *const start = std::get_if<Start>(&action)) {
                runningId = start->id.value();
            }
        }
        reads += runningId % 3 == 2 ? 1 : 0;
    }
    CHECK(reads >= 1);
    CHECK(reads <= 4);
}

TEST_CASE("retries beyond the budget are refused")
{
    auto fixture = Fixture();
    auto refusals = 0;
    for (auto count = 0; count < 15; ++count) {
        auto retry = fixture.work(Access::Read);
        retry.attempt = 1;
        const auto refused = refusal(fixture.dispatcher->submit(retry, fixture.now));
        refusals += refused && refused->reason == RefusalReason::RetryBudgetSpent ? 1 : 0;
    }
    CHECK(refusals == 5);
}

TEST_CASE("a service whose dependency refuses is refused early, with probes, until the dependency recovers")
{
    // Most requests of the dependency are refused. Requests of the dependent service would occupy slots first and fail in their last
    // step.
    auto guard = DependencyGuard(DependencySettings{});
    auto now = TimePoint(std::chrono::hours(1));
    const auto fill = [&guard, &now](int admitted, int refused) {
        now += milliseconds(1000);
        for (auto count = 0; count < admitted; ++count) {
            guard.recordAdmitted(now);
        }
        for (auto count = 0; count < refused; ++count) {
            guard.recordRefused(now, milliseconds(70));
        }
    };
    fill(20, 30);
    now += milliseconds(1000);
    CHECK(guard.isRefusing(now));
    CHECK(guard.retryAfter() == milliseconds(70));
    auto probes = 0;
    for (auto count = 0; count < 100; ++count) {
        probes += guard.tryProbe() ? 1 : 0;
    }
    CHECK(probes == 10);
    fill(30, 2);
    now += milliseconds(1000);
    CHECK_FALSE(guard.isRefusing(now));
}

TEST_CASE("brownout sheds reads in order of the age they accept, and recovers one step at a time without oscillating")
{
    const auto settings = BrownoutSettings{};
    const auto between = (settings.enterDelay + settings.leaveDelay) / 2;
    auto brownout = Brownout(settings);
    auto now = TimePoint(std::chrono::hours(1));
    brownout.observe(settings.enterDelay, now);
    CHECK_FALSE(brownout.admits(milliseconds(10'000)));
    CHECK(brownout.admits(milliseconds(1'000)));
    now += milliseconds(100);
    brownout.observe(settings.enterDelay, now);
    CHECK_FALSE(brownout.admits(milliseconds(1'000)));
    CHECK(brownout.admits(milliseconds(500)));
    for (auto count = 0; count < 50; ++count) {
        now += milliseconds(10);
        brownout.observe(count % 2 == 0 ? between : milliseconds(0), now);
        CHECK(brownout.level() == 2);
    }
    for (auto count = 0; count < 101; ++count) {
        now += milliseconds(10);
        brownout.observe(Duration::zero(), now);
    }
    CHECK(brownout.level() == 1);
}

TEST_CASE("the concurrency limit falls with refusals of the upstream, not below one, and rises with answers")
{
    auto limit = ConcurrencyLimit(ConcurrencySettings{});
    CHECK(limit.limit(5) == 5);
    for (auto count = 0; count < 20; ++count) {
        limit.record(WorkOutcome::NotRun, 5);
    }
    CHECK(limit.limit(5) == 1);
    for (auto count = 0; count < 20; ++count) {
        limit.record(WorkOutcome::Answered, 5);
    }
    CHECK(limit.limit(5) == 5);
}

} // namespace sapphirespool::decisions
