#include "sapphirespool/Promotion/choice.h"

#include "sapphirespool/Promotion/promotionbackoff.h"
#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
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

/// Standings of the members that are not eligible.
using Standings = std::map<std::string, Standing>;

auto candidatesOf(const std::vector<platform::PositionReport> &fenced, const Standings &standings) -> std::vector<Candidate>
{
    auto candidates = std::vector<Candidate>();
    for (const auto &report : fenced) {
        const auto standing = standings.find(report.id);
        candidates.push_back({report, standing == standings.end() ? Standing::Eligible : standing->second});
    }
    return candidates;
}

auto nameOf(const std::optional<Choice> &choice) -> std::string
{
    return choice ? choice->report.id : "nobody";
}

auto chosen(const std::vector<platform::PositionReport> &fenced, const Standings &standings = {}) -> std::string
{
    return nameOf(chooseFromQuorum(candidatesOf(fenced, standings), 2));
}

auto highest(const std::vector<platform::PositionReport> &fenced, const Standings &standings = {}) -> std::string
{
    return nameOf(chooseHighest(candidatesOf(fenced, standings)));
}

} // namespace

// Failure: a long log of an earlier term is preferred, and acknowledged writes of the last term are lost.
TEST_CASE("a log of a higher term is chosen before a longer log of a lower term")
{
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 2, 50)}) == "b");
    CHECK(chosen({reportOf("a", 2, 51), reportOf("b", 2, 50), reportOf("c", 2, 50)}) == "a");
}

// Failure: a primary is chosen from a minority that may lack acknowledged writes.
TEST_CASE("no primary is chosen from less than a quorum")
{
    CHECK(chosen({}) == "nobody");
    CHECK(chosen({reportOf("a", 1, 90)}) == "nobody");
}

// Failure: a member that is leaving or suspected is excluded although only its log is known to hold each acknowledged write.
TEST_CASE("members to avoid are excluded only if the remaining members are a quorum")
{
    for (const auto standing : {Standing::Leaving, Standing::Suspected}) {
        const auto avoid = Standings{{"a", standing}};
        CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 70), reportOf("c", 1, 80)}, avoid) == "c");
        // Of this majority only the log of a is certain to hold each acknowledged write.
        CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 70)}, avoid) == "a");
        CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 90)}, avoid) == "b");
    }
}

// Failure: a member that has left is chosen, or one that lacks the acknowledged writes of the member that has left.
TEST_CASE("an unusable member is never chosen, and neither is one that lacks its writes")
{
    const auto gone = Standings{{"a", Standing::Unusable}};
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 70)}, gone) == "nobody");
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 90)}, gone) == "b");
    CHECK(chosen({reportOf("a", 1, 90), reportOf("b", 1, 70), reportOf("c", 1, 80)}, gone) == "c");
}

// Failure: a replica that lags is chosen before a leaving one that has all writes, or a primary that nobody reaches before either.
TEST_CASE("without confirmations the highest log is chosen, and a suspected member only if there is no other")
{
    CHECK(highest({}) == "nobody");
    CHECK(highest({reportOf("a", 1, 90), reportOf("b", 1, 70)}) == "a");
    CHECK(highest({reportOf("a", 1, 90), reportOf("b", 1, 70)}, {{"a", Standing::Leaving}}) == "a");
    CHECK(highest({reportOf("a", 1, 90), reportOf("b", 1, 90)}, {{"a", Standing::Leaving}}) == "b");
    CHECK(highest({reportOf("a", 1, 90), reportOf("b", 1, 70)}, {{"a", Standing::Suspected}}) == "b");
    CHECK(highest({reportOf("a", 1, 90)}, {{"a", Standing::Suspected}}) == "a");
    CHECK(highest({reportOf("a", 1, 90), reportOf("b", 1, 70)}, {{"a", Standing::Unusable}}) == "b");
    CHECK(highest({reportOf("a", 1, 90)}, {{"a", Standing::Unusable}}) == "nobody");
}

// Failure: reports are counted against the configured size; a group that has more members while one is replaced loses acknowledged writes.
TEST_CASE("with confirmations a member is chosen only if it is certain to have each acknowledged write")
{
    const auto ids = [](const std::vector<std::string> &names) {
        return std::vector<UpstreamId>(names.begin(), names.end());
    };
    const auto confirmed = [](const std::vector<platform::PositionReport> &fenced, const WriteHolders &holders, const Standings &standings = {}) {
        return nameOf(chooseConfirmed(candidatesOf(fenced, standings), holders));
    };
    const auto three = WriteHolders{UpstreamId("p"), ids({"a", "b"}), 1};
    const auto four = WriteHolders{UpstreamId("p"), ids({"a", "b", "c"}), 1};
    CHECK(confirmed({reportOf("b", 1, 50)}, three) == "nobody");
    CHECK(confirmed({reportOf("a", 1, 49), reportOf("b", 1, 50)}, three) == "b");
    CHECK(confirmed({reportOf("b", 1, 50), reportOf("c", 1, 50)}, four) == "nobody");
    CHECK(confirmed({reportOf("a", 1, 49), reportOf("b", 1, 50), reportOf("c", 1, 48)}, four) == "b");
    // The primary's report alone tells each acknowledged write.
    CHECK(confirmed({reportOf("p", 1, 50), reportOf("b", 1, 50)}, four, {{"p", Standing::Suspected}}) == "b");
    CHECK(confirmed({reportOf("p", 1, 50), reportOf("b", 1, 49)}, four, {{"p", Standing::Suspected}}) == "p");
    CHECK(confirmed({reportOf("p", 1, 50), reportOf("b", 1, 50)}, four, {{"p", Standing::Unusable}}) == "b");
    // A member that cannot be chosen covers what its log holds, and no more.
    CHECK(confirmed({reportOf("a", 1, 50), reportOf("b", 1, 50), reportOf("c", 1, 49)}, four, {{"a", Standing::Unusable}}) == "b");
    CHECK(confirmed({reportOf("a", 1, 51), reportOf("b", 1, 50), reportOf("c", 1, 49)}, four, {{"a", Standing::Unusable}}) == "nobody");
    CHECK(confirmed({reportOf("a", 1, 51), reportOf("b", 1, 50), reportOf("c", 1, 49)}, four, {{"a", Standing::Leaving}}) == "a");
    // Two replicas confirm each write, so one may be missing.
    const auto twice = WriteHolders{UpstreamId("p"), ids({"a", "b", "c"}), 2};
    CHECK(confirmed({reportOf("b", 1, 50), reportOf("c", 1, 49)}, twice) == "b");
    CHECK(confirmed({reportOf("b", 1, 50)}, twice) == "nobody");
    // More confirmations than replicas: no write was acknowledged.
    const auto impossible = WriteHolders{UpstreamId("p"), ids({"a", "b"}), 3};
    CHECK(confirmed({reportOf("a", 1, 50)}, impossible) == "a");
    CHECK(confirmed({}, impossible) == "nobody");
    // Any member may have been the primary.
    const auto unknown = WriteHolders{UpstreamId(), ids({"a", "b", "c"}), 1};
    CHECK(confirmed({reportOf("b", 1, 50)}, unknown) == "nobody");
    CHECK(confirmed({reportOf("b", 1, 50), reportOf("c", 1, 49)}, unknown) == "b");
}

// Failure: an operator is not told which member to bring back.
// Failure: a replica that receives again after its report confirms a write which the chosen member lacks.
TEST_CASE("a report that is not final covers no other member than its own")
{
    const auto holders = WriteHolders{UpstreamId("a"), {UpstreamId("b"), UpstreamId("c")}, 1};
    const auto choose = [&holders](std::uint64_t positionOfB, bool isFinal) {
        const auto candidates
            = std::vector<Candidate>{{reportOf("b", 1, positionOfB), Standing::Eligible, isFinal}, {reportOf("c", 1, 50), Standing::Eligible, true}};
        return nameOf(chooseConfirmed(candidates, holders));
    };
    CHECK(choose(49, true) == "c");
    CHECK(choose(49, false) == "nobody");
    CHECK(choose(50, false) == "b");
    CHECK(choose(51, false) == "b");
}

TEST_CASE("the members for which a choice waits are those that may hold a write which the candidate lacks")
{
    const auto holders = WriteHolders{UpstreamId("p"), {UpstreamId("a"), UpstreamId("b"), UpstreamId("c")}, 1};
    const auto reports = candidatesOf({reportOf("a", 1, 51), reportOf("b", 1, 50)}, {});
    CHECK(missingReports(reportOf("b", 1, 50), reports, holders) == std::vector{UpstreamId("a"), UpstreamId("c"), UpstreamId("p")});
    CHECK(missingReports(reportOf("a", 1, 51), reports, holders) == std::vector{UpstreamId("c"), UpstreamId("p")});
}

// Failure: promotions on a flapping network path stop the writes of the group permanently, or the backoff is never reset.
TEST_CASE("the backoff doubles with each promotion and is reset after a minute without one")
{
    auto backoff = PromotionBackoff();
    const auto start = TimePoint();
    CHECK(backoff.allows(start));
    backoff.begin(start);
    CHECK(!backoff.allows(start + initialBackoff - 1ms));
    CHECK(backoff.allows(start + initialBackoff));
    backoff.begin(start + initialBackoff);
    CHECK(!backoff.allows(start + 3 * initialBackoff - 1ms));
    CHECK(backoff.allows(start + 3 * initialBackoff));
    const auto resetTime = start + initialBackoff + backoffResetTime;
    backoff.begin(resetTime);
    CHECK(backoff.allows(resetTime + initialBackoff));
}

} // namespace sapphirespool::promotion
