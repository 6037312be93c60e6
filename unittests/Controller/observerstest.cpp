#include "sapphirespool/Controller/observers.h"
#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>

#include <string>

namespace sapphirespool::controller
{

namespace
{

using std::chrono::milliseconds;

constexpr auto manyGroups = std::size_t{20};
const auto start = TimePoint(std::chrono::hours(1));

auto group(int number) -> GroupId
{
    return GroupId("g" + std::to_string(number));
}

} // namespace

// Failure: one VM with a saturated network link in each of two zones replaces all primaries, and writes are refused for a second each.
TEST_CASE("suspicions of a VM with a saturated network link soon lose credibility")
{
    auto observers = Observers();
    auto credible = 0;
    for (auto number = 0; number < 20; ++number) {
        credible += observers.note(VmId("full"), group(number), manyGroups, start + number * milliseconds(50)) ? 1 : 0;
    }
    CHECK(credible == 6);
    CHECK(observers.note(VmId("other"), group(0), manyGroups, start));
}

// Failure: the loss of a zone is not detected because each VM suspects several primaries.
TEST_CASE("suspicions of the primaries of a lost zone are credible")
{
    auto observers = Observers();
    for (auto number = 0; number < 6; ++number) {
        CHECK(observers.note(VmId("a"), group(number), manyGroups, start));
    }
    // A repeated suspicion does not count as a further group.
    CHECK(observers.note(VmId("a"), group(0), manyGroups, start + milliseconds(300)));
}

// Failure: in a small system with all primaries in one zone the loss of that zone is not detected.
TEST_CASE("in a system of three groups suspicions of all primaries are credible")
{
    auto observers = Observers();
    CHECK(observers.note(VmId("a"), group(0), 3, start));
    CHECK(observers.note(VmId("a"), group(1), 3, start));
    CHECK(observers.note(VmId("a"), group(2), 3, start));
}

// Failure: the suspicions of a VM are ignored forever after a network fault.
TEST_CASE("suspicions of a VM are credible again after its network has recovered")
{
    auto observers = Observers();
    for (auto number = 0; number < 20; ++number) {
        observers.note(VmId("a"), group(number), manyGroups, start);
    }
    CHECK(observers.note(VmId("a"), group(0), manyGroups, start + promotion::suspicionLifetime));
}

} // namespace sapphirespool::controller
