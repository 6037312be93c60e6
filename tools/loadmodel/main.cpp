// main.cpp: runs the scenarios of the load report and writes its tables and the data of its plots.
#include "scenarios.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace sapphirespool::loadmodel
{

namespace
{

auto number(double value, int digits = 0) -> std::string
{
    auto text = std::ostringstream();
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

auto percent(double part) -> std::string
{
    return number(part * 100, 1) + " %";
}

auto writeHeader(std::ostream &out) -> void
{
    out << "| load | policy | offered/s | in time/s | accepted in time | p50 | p99 | p99.9 | median caller p99 | worst caller p99 "
           "| worst caller served | replica share | refusals by reason |\n"
        << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
}

auto writeRow(std::ostream &out, const std::string &load, const std::string &policy, const Report &report) -> void
{
    out << "| " << load << " | " << policy << " | " << number(report.offeredPerSecond) << " | " << number(report.goodputPerSecond) << " | "
        << percent(report.acceptedInTime) << " | " << number(report.p50, 1) << " | " << number(report.p99, 1) << " | " << number(report.p999, 1) << " | "
        << number(report.medianCallerP99, 1) << " | " << number(report.worstCallerP99, 1) << " | " << percent(report.worstCallerServed) << " | "
        << percent(report.replicaShare) << " |";
    for (const auto &[reason, count] : report.refusals) {
        out << ' ' << reason << ' ' << count;
    }
    out << " |\n";
}

auto writeCourse(const std::filesystem::path &file, const Report &chosen, const Report &fifo) -> void
{
    auto out = std::ofstream(file);
    for (auto step = std::size_t{0}; step < chosen.timeCourse.size(); ++step) {
        out << number(static_cast<double>(step) / 10, 1) << ' ' << chosen.timeCourse[step] << ' ' << fifo.timeCourse[step] << '\n';
    }
}

auto runTable(std::ostream &out, const std::vector<Scenario> &scenarios, const std::vector<Policy> &policies) -> void
{
    writeHeader(out);
    for (const auto &scenario : scenarios) {
        for (const auto &policy : policies) {
            std::cerr << scenario.name << ": " << policy.name << '\n';
            writeRow(out, scenario.name, policy.name, run(scenario, policy));
        }
    }
    out << '\n';
}

auto runReturns(std::ostream &out) -> void
{
    out << "| policy | returns | returns served in time |\n| --- | --- | --- |\n";
    for (const auto &policy : {chosenPolicy(), fifoPolicy()}) {
        const auto report = run(returningCallers(), policy);
        out << "| " << policy.name << " | " << report.returnsMade << " | " << percent(report.returnsServed) << " |\n";
    }
    out << '\n';
}

auto growth(Scenario with, Scenario without, const Policy &policy, std::uint64_t seed) -> double
{
    with.seed = seed;
    without.seed = seed;
    return run(with, policy).medianCallerP99 / run(without, policy).medianCallerP99 - 1;
}

auto runGoals(std::ostream &out) -> void
{
    out << "| goal | seed | chosen | FIFO, static shares |\n| --- | --- | --- | --- |\n";
    for (auto seed = std::uint64_t{1}; seed <= 3; ++seed) {
        auto load = overload(3);
        load.seed = seed;
        const auto whole = capacity(load, milliseconds(5));
        const auto chosen = run(load, chosenPolicy());
        const auto fifo = run(load, fifoPolicy());
        out << "| goodput at 3 times capacity, of capacity | " << seed << " | " << percent(chosen.goodputPerSecond / whole) << " | "
            << percent(fifo.goodputPerSecond / whole) << " |\n";
        out << "| accepted work in time at 3 times capacity | " << seed << " | " << percent(chosen.acceptedInTime) << " | " << percent(fifo.acceptedInTime)
            << " |\n";
        out << "| hot caller: median other caller's p99 grows by | " << seed << " | " << percent(growth(hotCaller(), noHotCaller(), chosenPolicy(), seed))
            << " | " << percent(growth(hotCaller(), noHotCaller(), fifoPolicy(), seed)) << " |\n";
        out << "| long among short: median caller's p99 grows by | " << seed << " | " << percent(growth(longAmongShort(), noLong(), chosenPolicy(), seed))
            << " | " << percent(growth(longAmongShort(), noLong(), fifoPolicy(), seed)) << " |\n";
    }
    out << '\n';
}

auto runCourses(const std::filesystem::path &folder) -> void
{
    for (const auto &[name, scenario] : {std::pair("burst", burst()),
                                         std::pair("promotion-gap", promotionGap()),
                                         std::pair("lost-replica", lostReplica()),
                                         std::pair("retry-storm", retryStorm())}) {
        writeCourse(folder / (std::string(name) + ".dat"), run(scenario, chosenPolicy()), run(scenario, fifoPolicy()));
    }
    auto goodput = std::ofstream(folder / "goodput.dat");
    for (const auto load : {0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0}) {
        const auto whole = capacity(overload(load), milliseconds(5));
        const auto chosen = run(overload(load), chosenPolicy());
        const auto fifo = run(overload(load), fifoPolicy());
        goodput << load << ' ' << chosen.goodputPerSecond / whole << ' ' << fifo.goodputPerSecond / whole << '\n';
    }
}

auto writeReport(const std::filesystem::path &folder) -> void
{
    std::filesystem::create_directories(folder);
    auto out = std::ofstream(folder / "tables.md");
    out << "# Load tables\n\nWritten by `scripts/measure-load`. Times in milliseconds, in virtual time.\n\n## Goals\n\n";
    runGoals(out);
    out << "## Beside FIFO with static shares\n\n";
    runTable(out, allScenarios(), {chosenPolicy(), fifoPolicy(), fifoOwnersPolicy()});
    out << "## Ways of sharing the slots\n\n";
    auto sharing = std::vector<Scenario>{overload(0.5), overload(0.8), overload(3.0), hotCaller(), cooperative(0.3), cooperative(0.8)};
    for (auto &scenario : sharing) {
        scenario.length = std::chrono::seconds(6);
    }
    runTable(out, sharing, sharingPolicies());
    out << "## Long statements among short ones: order and slot limit\n\n";
    runTable(out, {noLong(), longAmongShort(), hotCaller(), veryHotCaller(), overload(3.0), cooperative(0.8)}, disciplinePolicies());
    out << "## Each module taken out\n\n";
    auto policies = withoutEach();
    policies.insert(policies.begin(), chosenPolicy());
    runTable(out, {overload(1.5), overload(3.0), hotCaller(), hotKey(), slowUpstream(), longAmongShort(), lostReplica(), promotionGap()}, policies);
    out << "## Sensitivity of the figures\n\n";
    auto sensitivity = sensitivityPolicies();
    sensitivity.insert(sensitivity.begin(), chosenPolicy());
    runTable(out, {overload(3.0), slowUpstream(), longAmongShort(), promotionGap()}, sensitivity);
    out << "## Callers that come back when they were told to\n\n";
    runReturns(out);
    runCourses(folder);
}

auto runOne(const std::string &name, bool disciplines) -> int
{
    for (const auto &scenario : allScenarios()) {
        if (scenario.name != name) {
            continue;
        }
        writeHeader(std::cout);
        auto policies = disciplines ? disciplinePolicies() : std::vector<Policy>{chosenPolicy(), fifoPolicy()};
        for (const auto &policy : policies) {
            writeRow(std::cout, scenario.name, policy.name, run(scenario, policy));
        }
        return EXIT_SUCCESS;
    }
    std::cerr << "no scenario " << name << '\n';
    return EXIT_FAILURE;
}

} // namespace

} // namespace sapphirespool::loadmodel

auto main(int argc, char **argv) -> int
{
    const auto arguments = std::span(argv, static_cast<std::size_t>(argc));
    if (arguments.size() == 3 && std::string_view(arguments[1]) == "--scenario") {
        return sapphirespool::loadmodel::runOne(arguments[2], false);
    }
    if (arguments.size() == 3 && std::string_view(arguments[1]) == "--disciplines") {
        return sapphirespool::loadmodel::runOne(arguments[2], true);
    }
    if (arguments.size() != 2) {
        std::cerr << "usage: loadmodel FOLDER | loadmodel --scenario|--disciplines NAME\n";
        return EXIT_FAILURE;
    }
    sapphirespool::loadmodel::writeReport(arguments[1]);
    return EXIT_SUCCESS;
}
