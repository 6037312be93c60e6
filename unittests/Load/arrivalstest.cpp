#include "sapphirespool/Load/arrivals.h"

#include <catch2/catch.hpp>

#include <set>

namespace sapphirespool::load
{

TEST_CASE("arrivals come at the rate, with the mix, and the same for the same seed")
{
    auto settings = ArrivalSettings();
    settings.rate = 1'000;
    settings.writeShare = 0.25;
    settings.sessions = 10;
    settings.targets = 3;
    auto first = Arrivals(settings);
    auto second = Arrivals(settings);
    auto writes = 0;
    auto targets = std::set<std::size_t>();
    auto last = Arrival();
    constexpr auto count = 20'000;
    for (auto index = 0; index < count; ++index) {
        const auto arrival = first.next();
        const auto same = second.next();
        REQUIRE(arrival.at > last.at);
        REQUIRE(arrival.at == same.at);
        REQUIRE(arrival.target == same.target);
        REQUIRE(arrival.session < 10);
        writes += arrival.access == Access::Write ? 1 : 0;
        targets.insert(arrival.target);
        last = arrival;
    }
    CHECK(targets.size() == 3);
    CHECK(static_cast<double>(writes) / count == Approx(0.25).margin(0.02));
    CHECK(std::chrono::duration<double>(last.at).count() == Approx(20).margin(1));
}

} // namespace sapphirespool::load
