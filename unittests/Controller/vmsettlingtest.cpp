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

// Failure: a new proxy allocates the same share of a quota as a partitioned proxy.
TEST_CASE("a new proxy is settled after every lease under the former view and its hold-over have expired")
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

// Failure: a VM that rejoins is settled by the time of its former membership, or a control VM is settled.
TEST_CASE("the delay begins again for a VM that rejoins, and a VM without callers is never settled")
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
