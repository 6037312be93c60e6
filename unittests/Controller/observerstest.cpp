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

TEST_CASE("a VM whose link is full suspects one primary after the other, and soon weighs nothing")
{
    // The caller sees: writes of all groups refused for a second each, although no upstream has failed.
    // An operator's text fills the link of one VM in each of two zones; their connections to the primaries of all groups come late, and each
    // of the two suspects them within a second. Two zones that suspect a primary end its term.
    auto observers = Observers();
    auto believed = 0;
    for (auto number = 0; number < 20; ++number) {
        believed += observers.note(VmId("full"), group(number), manyGroups, start + number * milliseconds(50)) ? 1 : 0;
    }
    CHECK(believed == 6);
    CHECK(observers.note(VmId("other"), group(0), manyGroups, start));
}

TEST_CASE("a VM that suspects the primaries of a lost zone weighs")
{
    auto observers = Observers();
    for (auto number = 0; number < 6; ++number) {
        CHECK(observers.note(VmId("a"), group(number), manyGroups, start));
    }
    // The same again is nothing new.
    CHECK(observers.note(VmId("a"), group(0), manyGroups, start + milliseconds(300)));
}

TEST_CASE("of three groups all primaries may be lost at once")
{
    auto observers = Observers();
    CHECK(observers.note(VmId("a"), group(0), 3, start));
    CHECK(observers.note(VmId("a"), group(1), 3, start));
    CHECK(observers.note(VmId("a"), group(2), 3, start));
}

TEST_CASE("a VM whose way has come back weighs again")
{
    auto observers = Observers();
    for (auto number = 0; number < 20; ++number) {
        observers.note(VmId("a"), group(number), manyGroups, start);
    }
    CHECK(observers.note(VmId("a"), group(0), manyGroups, start + promotion::suspicionLifetime));
}

} // namespace sapphirespool::controller
