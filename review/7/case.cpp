// A value that a client sets just before its COMMIT is missing where the COMMIT runs.
//
// The client begins a transaction, writes, sets a value of its session, is told COMPLETE, and commits. The proxy brings a connection to the
// session's state before each read and write, but not before a COMMIT: it runs with the values of before the SET.
#include "rig-2/rig.h"

#include <mutex>

namespace
{

constexpr auto rounds = 20;

auto seenMutex = std::mutex();
/// Values of the connection on which each statement ran, by statement id.
auto seen = std::map<std::string, rig::Service::Values>();

} // namespace

auto main(int, char **arguments) -> int
{
    rig::openRecord(arguments[1]);
    auto deployment = rig::Deployment();
    auto service = rig::Service(deployment, "ordersdb", 3, 101, 0);
    service.onRun = [](int, const std::string &id, const std::string &text, const rig::Service::Values &values) {
        const auto guard = std::lock_guard(seenMutex);
        seen[id] = values;
        auto line = "database: runs " + id + " " + text + " with values";
        for (const auto &[name, value] : values) {
            line += " " + name + "=" + value;
        }
        rig::note(line);
    };
    auto platform = rig::Platform(deployment, {&service}, 0.3);
    for (auto number = 0; number < 3; ++number) {
        service.start(number);
    }
    for (const auto vm : {1, 2, 3}) {
        deployment.startControl(vm, true);
        deployment.startProxy(vm, true);
    }
    rig::sleepFor(1);
    const auto text = rig::configurationText(1, {{"orders", "primary", "ordersdb"}}, {"ordersdb"}, 0);
    if (!rig::sendConfiguration(deployment, {1, 2, 3}, text, 15)) {
        deployment.finish(rig::couldNotRun);
    }
    rig::sleepFor(3);
    auto caller = rig::Caller();
    auto committed = 0;
    auto broken = 0;
    if (!caller.open(deployment.address(1), "orders")) {
        deployment.finish(rig::couldNotRun);
    }
    for (auto round = 0; round < rounds; ++round) {
        const auto value = "v" + std::to_string(round);
        const auto set = [&] {
            const auto answer = caller.query(rig::newId(), "SET tag " + value);
            rig::note("client: SET tag " + value + ": " + answer.word);
            return answer.succeeded();
        };
        auto isReady = caller.query(rig::newId(), "BEGIN").succeeded();
        isReady = (rig::hasTrouble() || set()) && isReady;
        isReady = caller.query(rig::newId(), "STORE item data" + std::to_string(round)).succeeded() && isReady;
        isReady = (!rig::hasTrouble() || set()) && isReady;
        const auto commit = rig::newId();
        const auto answer = caller.query(commit, "COMMIT");
        rig::note("client: COMMIT " + commit + ": " + answer.word + " " + answer.detail);
        if (!isReady || !answer.succeeded()) {
            continue;
        }
        ++committed;
        const auto guard = std::lock_guard(seenMutex);
        if (seen[commit]["tag"] != value) {
            rig::note("PINNED: " + commit + " ran with tag=" + seen[commit]["tag"] + ", the client was told that it is " + value);
            ++broken;
        }
    }
    rig::note(std::to_string(committed) + " commits succeeded, " + std::to_string(broken) + " of them ran with other values than acknowledged");
    if (committed == 0) {
        deployment.finish(rig::couldNotRun);
    }
    deployment.finish(broken > 0 ? rig::ruleBroken : rig::ruleHeld);
}
