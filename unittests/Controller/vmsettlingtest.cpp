#include "sapphirespool/Controller/vmsettling.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace sapphirespool::controller
{

namespace
{

using std::chrono::milliseconds;

const auto start = TimePoint(std::chrono::hours(1));

auto proxy(const std::string &name, bool settled) -> membership::ProxyView
{
    auto vm = membership::ProxyView();
    vm.id = VmId(name);
    vm.callers = {"127.0.0.1", 1};
    vm.settled = settled;
    return vm;
}

} // namespace

// A proxy that joins must not allocate quota while a proxy that is cut off may still allocate the same part.
TEST_CASE("a proxy that joined is settled once every lease under the former view and its hold-over have passed")
{
    auto settling = VmSettling();
    const auto known = std::vector<membership::ProxyView>{proxy("new", false), proxy("old", true)};
    CHECK(settling.due(known, start).empty());
    CHECK(settling.due(known, start + VmSettling::settleAfter - milliseconds(1)).empty());
    const auto due = settling.due(known, start + VmSettling::settleAfter);
    REQUIRE(due.size() == 1);
    CHECK(due.front().id == VmId("new"));
    CHECK(VmSettling::settleAfter > promotion::leaseLength + membership::quotaHoldOver);
}

TEST_CASE("a VM that left and joined again waits anew, and a VM without callers is never settled")
{
    auto settling = VmSettling();
    const auto joined = std::vector<membership::ProxyView>{proxy("new", false)};
    CHECK(settling.due(joined, start).empty());
    CHECK(settling.due({}, start + milliseconds(10)).empty());
    CHECK(settling.due(joined, start + VmSettling::settleAfter).empty());
    CHECK(settling.due(joined, start + milliseconds(10) + 2 * VmSettling::settleAfter).size() == 1);
    auto control = proxy("control", false);
    control.callers.port = 0;
    auto other = VmSettling();
    CHECK(other.due(std::vector{control}, start).empty());
    CHECK(other.due(std::vector{control}, start + 2 * VmSettling::settleAfter).empty());
}

} // namespace sapphirespool::controller
