// failovergap.cpp: the time in which a group takes no write when its primary is lost, split into its steps, under virtual time.
//
// The members, proxies and control leader are the fakes of unittests/Promotion; each seed draws when the primary is lost and how long
// each message and commit takes.
#include "Promotion/selfreplicatingworld.h"
#include "Promotion/world.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <vector>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

constexpr auto seeds = std::uint32_t{20};

/// Lengths of the steps of one failover, in milliseconds.
struct Gap
{
    double detection = 0;
    double fence = 0;
    double choice = 0;
    double announcement = 0;
    double total = 0;
};

auto between(TimePoint from, TimePoint to) -> double
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

template <typename Lose>
auto measure(std::uint32_t seed, Lose lose) -> Gap
{
    auto world = World(seed, Delays());
    world.runUntilServed(5s);
    world.run(2s + std::chrono::milliseconds(seed * 37 % 200));
    lose(*world.primary());
    const auto lost = world.time();
    if (!world.runUntilServed(30s)) {
        throw std::runtime_error("the group did not come back");
    }
    const auto &marks = world.milestones();
    auto gap = Gap();
    gap.detection = between(lost, marks.termProposed.value());
    gap.fence = between(marks.termProposed.value(), marks.choiceProposed.value());
    gap.choice = between(marks.choiceProposed.value(), marks.choiceCommitted.value());
    gap.announcement = between(marks.choiceCommitted.value(), marks.acknowledged.value());
    gap.total = between(lost, marks.acknowledged.value());
    return gap;
}

auto printRow(const char *name, std::vector<double> values) -> void
{
    std::sort(values.begin(), values.end());
    std::cout << "  " << std::left << std::setw(14) << name << std::right << std::fixed << std::setprecision(1) << std::setw(9) << values.front()
              << std::setw(9) << (values[values.size() / 2 - 1] + values[values.size() / 2]) / 2 << std::setw(9) << values.back() << "\n";
}

template <typename Lose>
auto printGaps(const char *title, Lose lose) -> void
{
    auto gaps = std::vector<Gap>();
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        gaps.push_back(measure(seed, lose));
    }
    const auto column = [&gaps](double Gap::*part) {
        auto values = std::vector<double>();
        for (const auto &gap : gaps) {
            values.push_back(gap.*part);
        }
        return values;
    };
    std::cout << title << ", " << seeds << " seeds, ms      min   median      max\n";
    printRow("detection", column(&Gap::detection));
    printRow("fence", column(&Gap::fence));
    printRow("choice", column(&Gap::choice));
    printRow("announcement", column(&Gap::announcement));
    printRow("total", column(&Gap::total));
}

/// \return the time in milliseconds from the crash of the primary of a self-replicating group to the first write acknowledged after it
auto measureCrash(std::uint32_t seed, std::uint32_t confirmations, bool withDeafFourth) -> double
{
    auto world = SelfReplicatingWorld(seed, confirmations);
    world.run(3s);
    if (withDeafFourth) {
        world.join();
        world.run(3s);
        world.members().back()->deaf = true;
    }
    world.run(std::chrono::milliseconds(seed * 37 % 200));
    world.crash(*world.members().front());
    const auto lost = world.time();
    if (!world.runUntilServed(30s)) {
        throw std::runtime_error("the group did not come back");
    }
    return between(lost, world.time());
}

auto printCrashGaps(const char *title, std::uint32_t confirmations, bool withDeafFourth) -> void
{
    auto gaps = std::vector<double>();
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        gaps.push_back(measureCrash(seed, confirmations, withDeafFourth));
    }
    std::cout << title << ", " << seeds << " seeds, ms      min   median      max\n";
    printRow("total", gaps);
}

} // namespace

} // namespace sapphirespool::promotion

auto main() -> int
{
    namespace promotion = sapphirespool::promotion;
    promotion::printGaps("primary stopped", [](promotion::FakeMember &primary) {
        primary.running = false;
    });
    promotion::printGaps("primary cut off from control, members and two zones", [](promotion::FakeMember &primary) {
        primary.controlReaches = false;
        primary.membersReach = false;
        primary.cutZones = {sapphirespool::ZoneId("hobart"), sapphirespool::ZoneId("launceston")};
    });
    promotion::printGaps("primary cut off from control and members, all zones reach it", [](promotion::FakeMember &primary) {
        primary.controlReaches = false;
        primary.membersReach = false;
    });
    promotion::printGaps("primary leaving", [](promotion::FakeMember &primary) {
        primary.leaving = true;
    });
    promotion::printCrashGaps("self-replicating, primary crashed", 0, false);
    promotion::printCrashGaps("self-replicating and confirmed by one replica, primary crashed", 1, false);
    promotion::printCrashGaps("the same, a fourth member receives nothing", 1, true);
    return 0;
}
