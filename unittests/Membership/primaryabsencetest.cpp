#include "sapphirespool/Membership/primaryabsence.h"

#include <catch2/catch.hpp>

namespace sapphirespool::membership
{

namespace
{

using namespace std::chrono_literals;

auto viewOf(std::optional<UpstreamId> primary) -> ClusterView
{
    auto view = ClusterView();
    auto group = GroupView();
    group.id = GroupId("orders-1");
    group.primary = std::move(primary);
    view.groups.push_back(std::move(group));
    return view;
}

} // namespace

// Failure: a promotion that never ends looks like any other to an operator.
TEST_CASE("a group counts once it has been without a primary for the limit, and until it has one again")
{
    auto absence = PrimaryAbsence(7s);
    const auto start = TimePoint(1h);
    CHECK(absence.note(viewOf(std::nullopt), start) == 0);
    CHECK(absence.note(viewOf(std::nullopt), start + 7s - 1ms) == 0);
    CHECK(absence.note(viewOf(std::nullopt), start + 7s) == 1);
    CHECK(absence.note(viewOf(UpstreamId("a")), start + 8s) == 0);
    CHECK(absence.note(viewOf(std::nullopt), start + 9s) == 0);
    CHECK(absence.note(viewOf(std::nullopt), start + 16s) == 1);
    CHECK(absence.note(ClusterView(), start + 17s) == 0);
}

} // namespace sapphirespool::membership
