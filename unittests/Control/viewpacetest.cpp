#include "../../lib/Control/viewpace.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace sapphirespool::control
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

/// \return the views built in a second in which the state changes each millisecond
auto viewsInASecond(ViewPace &pace, std::size_t vms) -> int
{
    auto views = 0;
    for (auto now = start; now < start + 1s; now += 1ms) {
        if (now >= pace.nextAt()) {
            pace.built(vms, now);
            ++views;
        }
    }
    return views;
}

} // namespace

TEST_CASE("a thousand changes in a second do not become a thousand views for each of 300 VMs")
{
    // Failure: the leader spends its time on views, misses its heartbeats and loses the lead.
    auto pace = ViewPace();
    const auto views = viewsInASecond(pace, 300);
    CHECK(views <= 10);
    CHECK(views >= 5);
}

TEST_CASE("views for a few VMs are hardly limited")
{
    auto pace = ViewPace();
    CHECK(viewsInASecond(pace, 3) >= 500);
}

TEST_CASE("a promotion in a calm system waits for nothing")
{
    auto pace = ViewPace();
    static_cast<void>(viewsInASecond(pace, 300));
    const auto calm = start + 2s;
    for (auto view = 0; view < ViewPace::burst; ++view) {
        CHECK(calm >= pace.nextAt());
        pace.built(300, calm);
    }
    CHECK(calm < pace.nextAt());
    CHECK(pace.nextAt() <= calm + 300 * ViewPace::intervalPerVm);
}

} // namespace sapphirespool::control
