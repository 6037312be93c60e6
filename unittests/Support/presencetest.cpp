#include "sapphirespool/Support/presence.h"

#include <catch2/catch.hpp>

namespace sapphirespool::support
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

} // namespace

TEST_CASE("a peer that failed is passed over at once, and given up after a while, until it is heard")
{
    auto presence = Presence();
    CHECK(presence.isPresent());
    CHECK_FALSE(presence.isGivenUp(start));
    presence.failed(start);
    CHECK_FALSE(presence.isPresent());
    CHECK_FALSE(presence.isGivenUp(start + Presence::grace - 1ms));
    CHECK(presence.isGivenUp(start + Presence::grace));
    presence.answered();
    CHECK(presence.isPresent());
    CHECK_FALSE(presence.isGivenUp(start + 1h));
}

TEST_CASE("further failures do not put off that a peer is given up")
{
    // Load pattern: a thousand statements a second ask a peer behind a cut. Each failure that counted from its own time would keep the
    // peer within its grace, and the statements waiting.
    auto presence = Presence();
    for (auto statement = 0; statement <= 500; ++statement) {
        presence.failed(start + statement * 1ms);
    }
    CHECK(presence.isGivenUp(start + 500ms));
}

TEST_CASE("looks for a peer that is away are few, and it goes unnoticed for a bounded time")
{
    auto presence = Presence();
    presence.failed(start);
    auto time = Duration(0);
    auto looks = 0;
    while (time < 10s) {
        const auto pause = presence.nextPause();
        CHECK(pause <= Presence::longestPause);
        time += pause;
        ++looks;
    }
    CHECK(looks <= 25);
    presence.answered();
    CHECK(presence.nextPause() == Presence::firstPause);
}

} // namespace sapphirespool::support
