#include "sapphirespool/Load/report.h"

#include <catch2/catch.hpp>

namespace sapphirespool::load
{

namespace
{

using namespace std::chrono_literals;

auto answered(Access access, std::chrono::nanoseconds arrived, std::chrono::nanoseconds took, bool fromReplica = false) -> Sample
{
    return Sample{access, arrived, arrived + took, ReplyKind::Answered, "", fromReplica};
}

auto refused(ReplyKind kind, std::string reason) -> Sample
{
    return Sample{Access::Write, 1s, 1s, kind, std::move(reason), false};
}

} // namespace

TEST_CASE("quantiles are those of the answered requests")
{
    auto samples = std::vector<Sample>();
    for (auto index = 1; index <= 1'000; ++index) {
        samples.push_back(answered(Access::Read, 0ms, std::chrono::milliseconds(index), index <= 250));
    }
    samples.push_back(refused(ReplyKind::NotRun, "queue_full"));
    const auto report = makeReport(samples, 2s, Violations());
    CHECK(report.reads.p50 == 500ms);
    CHECK(report.reads.p99 == 990ms);
    CHECK(report.reads.p999 == 999ms);
    CHECK(report.reads.longest == 1'000ms);
    CHECK(report.goodput == Approx(500));
    CHECK(report.replicaShare == Approx(0.25));
    CHECK(report.writes.answered == 0);
}

TEST_CASE("refusals are counted by reason, and unknown outcomes apart")
{
    const auto samples
        = std::vector{refused(ReplyKind::NotRun, "no_primary"), refused(ReplyKind::NotRun, "no_primary"), refused(ReplyKind::Unknown, "answer_lost")};
    const auto report = makeReport(samples, 1s, Violations());
    CHECK(report.notRun == 2);
    CHECK(report.unknown == 1);
    CHECK(report.refusals.at("no_primary") == 2);
    CHECK(report.refusals.at("answer_lost") == 1);
}

TEST_CASE("the longest gap lies between acknowledged writes, from the first moment to the last request")
{
    // A failover in the middle: writes are refused from 2 s to 7 s. The gap is what the callers see, so neither reads nor
    // refusals shorten it, and writes that are asked for after the last acknowledged one lengthen it.
    auto samples = std::vector{answered(Access::Write, 1s, 1s), answered(Access::Write, 7s, 0s), answered(Access::Read, 4s, 0s)};
    CHECK(makeReport(samples, 8s, Violations()).longestWriteGap == 5s);
    auto late = refused(ReplyKind::NotRun, "no_primary");
    late.arrived = 15s;
    samples.push_back(late);
    CHECK(makeReport(samples, 16s, Violations()).longestWriteGap == 8s);
}

TEST_CASE("a run without any request has a report")
{
    const auto report = makeReport({}, 0s, Violations());
    CHECK(report.goodput == 0);
    CHECK(report.longestWriteGap == 0s);
    CHECK_FALSE(toTable(report).empty());
    CHECK(toJson(report).at("requests") == 0U);
}

} // namespace sapphirespool::load
