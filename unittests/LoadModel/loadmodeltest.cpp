#include "scenarios.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

namespace sapphirespool::loadmodel
{

namespace
{

auto shortened(Scenario scenario) -> Scenario
{
    scenario.length = std::chrono::seconds(12);
    return scenario;
}

auto mean(const std::vector<double> &values, double from, double until) -> double
{
    const auto first = values.begin() + static_cast<std::ptrdiff_t>(from * static_cast<double>(values.size()));
    const auto last = values.begin() + static_cast<std::ptrdiff_t>(until * static_cast<double>(values.size()));
    return std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
}

} // namespace

TEST_CASE("the same seed gives the same run")
{
    const auto scenario = shortened(overload(0.8));
    const auto first = run(scenario, chosenPolicy());
    const auto second = run(scenario, chosenPolicy());
    CHECK(first.goodputPerSecond == second.goodputPerSecond);
    CHECK(first.p999 == second.p999);
}

TEST_CASE("at three and ten times the capacity the goodput stays and accepted work is in time")
{
    // Statements hold a slot of 5 ms for 0.4 ms more on the way to and from the upstream, so 92.6 % is all that can be had within
    // the upstream's slots.
    const auto reachable = capacity(overload(1), milliseconds(5)) * 5 / 5.4;
    for (const auto load : {3.0, 10.0}) {
        const auto report = run(shortened(overload(load)), chosenPolicy());
        CHECK(report.goodputPerSecond >= 0.95 * reachable);
        CHECK(report.acceptedInTime >= 0.99);
    }
}

TEST_CASE("a hot caller costs the median other caller at most a tenth in p99")
{
    const auto quiet = shortened(noHotCaller());
    const auto hot = shortened(hotCaller());
    const auto chosen = run(hot, chosenPolicy()).medianCallerP99 / run(quiet, chosenPolicy()).medianCallerP99 - 1;
    CHECK(chosen <= 0.1);
}

TEST_CASE("a caller that alone sends more than the capacity does not take the others' time")
{
    const auto report = run(shortened(veryHotCaller()), chosenPolicy());
    CHECK(report.medianCallerP99 <= 1.25 * run(shortened(noHotCaller()), chosenPolicy()).medianCallerP99);
    CHECK(report.medianCallerServed >= 0.99);
}

TEST_CASE("long statements slow short ones less than half as much as in order of arrival")
{
    const auto alone = shortened(noLong());
    const auto mixed = shortened(longAmongShort());
    const auto chosen = run(mixed, chosenPolicy()).medianCallerP99 - run(alone, chosenPolicy()).medianCallerP99;
    const auto fifo = run(mixed, fifoPolicy()).medianCallerP99 - run(alone, fifoPolicy()).medianCallerP99;
    CHECK(chosen < fifo / 2);
}

TEST_CASE("after an overload by callers that send again at once the goodput comes back by itself")
{
    // Refused callers send again at once, up to three times; the overload ends in the middle. A queue full of work that nobody
    // waits for any more, or retries that keep the load up, would hold the goodput down although the cause is gone.
    const auto report = run(shortened(retryStorm()), chosenPolicy());
    const auto offered = capacity(retryStorm(), milliseconds(5)) * 0.7;
    CHECK(mean(report.timeCourse, 0.6, 0.95) >= 0.95 * offered);
}

TEST_CASE("with one replica of three lost nearly all accepted work is in time, and with its return all work")
{
    const auto report = run(shortened(lostReplica()), chosenPolicy());
    CHECK(report.acceptedInTime >= 0.99);
    CHECK(mean(report.timeCourse, 0.8, 0.95) >= 0.95 * capacity(lostReplica(), milliseconds(5)) * 0.9);
}

TEST_CASE("a promotion gap is over soon after the promotion")
{
    const auto report = run(shortened(promotionGap()), chosenPolicy());
    const auto before = mean(report.timeCourse, 0.02, 0.2);
    CHECK(mean(report.timeCourse, 0.5, 0.95) >= 0.95 * before);
    CHECK(report.refusals.contains("no_primary"));
}

TEST_CASE("callers that return when they were told to are mostly served")
{
    const auto report = run(shortened(returningCallers()), chosenPolicy());
    CHECK(report.returnsMade > 0);
    CHECK(report.returnsServed > run(shortened(returningCallers()), fifoPolicy()).returnsServed);
}

} // namespace sapphirespool::loadmodel
