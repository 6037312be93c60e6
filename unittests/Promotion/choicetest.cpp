#include "sapphirespool/Promotion/choice.h"

#include "sapphirespool/Promotion/pause.h"
#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>

#include <vector>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

auto reportOf(const std::string &id, std::uint64_t lastTerm, std::uint64_t position) -> platform::PositionReport
{
    auto report = platform::PositionReport();
    report.id = id;
    report.role = platform::Role::Fenced;
    report.lastTerm = lastTerm;
    report.position = position;
    return report;
}

auto chosen(const std::vector<platform::PositionReport> &fenced, const std::set<UpstreamId> &avoid = {}) -> std::string
{
    const auto choice = choosePrimary(fenced, 2, avoid);
    return choice ? choice->report.id : "nobody";
}

} // namespace

TEST_CASE("the highest term goes before the highest position")
{
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 2, 50)}) == "b");
    CHECK(chosen({reportOf("a", 2, 51), reportOf("b", 2, 50), reportOf("c", 2, 50)}) == "a");
}

TEST_CASE("less than a quorum chooses nobody")
{
    CHECK(chosen({}) == "nobody");
    CHECK(chosen({reportOf("a", 1, 90)}) == "nobody");
}

TEST_CASE("members to avoid are left out only where the others are a quorum")
{
    const auto avoid = std::set<UpstreamId>{UpstreamId("a")};
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 70), reportOf("c", 1, 80)}, avoid) == "c");
    // The log of a is the only one of this majority that is sure to hold each acknowledged write.
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 70)}, avoid) == "a");
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 90)}, avoid) == "b");
}

TEST_CASE("promotions that keep coming are spaced out, and a calm minute ends that")
{
    auto pause = PromotionPause();
    const auto start = TimePoint();
    CHECK(pause.allows(start));
    pause.begin(start);
    CHECK(!pause.allows(start + firstPause - 1ms));
    CHECK(pause.allows(start + firstPause));
    pause.begin(start + firstPause);
    CHECK(!pause.allows(start + 3 * firstPause - 1ms));
    CHECK(pause.allows(start + 3 * firstPause));
    const auto calm = start + firstPause + calmTime;
    pause.begin(calm);
    CHECK(pause.allows(calm + firstPause));
}

} // namespace sapphirespool::promotion
