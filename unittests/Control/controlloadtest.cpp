#include "../../lib/Control/controlload.h"

#include <catch2/catch.hpp>

namespace sapphirespool::control
{

using namespace std::chrono_literals;

TEST_CASE("the load of control is reported once a second, each time for the work since the last report")
{
    const auto start = TimePoint(1h);
    auto load = ControlLoad();
    CHECK_FALSE(load.report(start));
    load.addHeartbeat(3);
    load.addHeartbeat(0);
    load.addBuiltView();
    load.addSentView(100, true);
    load.addSentView(4'000, false);
    load.addDelay(20ms);
    load.addDelay(7ms);
    CHECK_FALSE(load.report(start + 999ms));
    const auto first = load.report(start + 1s);
    REQUIRE(first);
    CHECK(first->heartbeats == 2);
    CHECK(first->announcements == 3);
    CHECK(first->viewsBuilt == 1);
    CHECK(first->viewsSent == 2);
    CHECK(first->wholeViewsSent == 1);
    CHECK(first->viewBytes == 4'100);
    CHECK(first->longestDelay == 20ms);
    const auto second = load.report(start + 2s);
    REQUIRE(second);
    CHECK(second->heartbeats == 0);
    CHECK(second->longestDelay == 0ms);
}

} // namespace sapphirespool::control
