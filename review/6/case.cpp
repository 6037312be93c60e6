// A late RESUME undoes the PAUSE on which the choice of a new primary relies: an acknowledged commit is lost by the promotion.
//
// The system tells each replica to RESUME when it takes the service over. One replica leaves that order unanswered, and the system repeats it.
// Seconds later the primary is cut from some machines, which suspect it. Both replicas are paused, so that they confirm nothing more, and the
// first of them is chosen. Now the second one carries out the late RESUME: it receives and confirms a commit of the old primary, whose client is
// told of success. The promotion that follows loses that commit.
#include "rig-2/rig.h"

#include <atomic>
#include <thread>

namespace
{

constexpr auto primary = 0;
constexpr auto late = 2;

/// By the pages an order that is applied late is carried out 2 to 12 s later.
constexpr auto earliestSeconds = 2.0;
constexpr auto latestSeconds = 12.0;

auto acknowledgedMutex = std::mutex();
auto acknowledged = std::vector<std::string>();
auto lost = std::atomic<int>(0);

/// Runs transactions of one write, with a pause before the commit.
auto runTransactions(const std::string &address, double pause) -> void
{
    auto caller = rig::Caller();
    while (true) {
        if (!caller.isOpen() && !caller.open(address, "orders")) {
            rig::sleepFor(0.1);
            continue;
        }
        const auto item = rig::newId();
        auto isOpen = caller.query(rig::newId(), "BEGIN").succeeded();
        isOpen = isOpen && caller.query(rig::newId(), "STORE item" + item + " data").succeeded();
        rig::sleepFor(pause);
        const auto id = rig::newId();
        const auto answer = caller.query(id, isOpen ? "COMMIT" : "ROLLBACK");
        if (!isOpen) {
            rig::sleepFor(0.1);
            continue;
        }
        rig::note("client: COMMIT " + id + ": " + answer.word + " " + answer.detail);
        if (answer.succeeded()) {
            const auto guard = std::lock_guard(acknowledgedMutex);
            acknowledged.push_back(id);
        }
    }
}

} // namespace

auto main(int, char **arguments) -> int
{
    rig::openRecord(arguments[1]);
    auto deployment = rig::Deployment();
    auto service = rig::Service(deployment, "ordersdb", 3, 101, 1);
    service.onRun = [&service](int number, const std::string &id, const std::string &text, const rig::Service::Values &) {
        rig::note("database " + service.idOf(number) + ": runs " + id + " " + text);
    };
    service.onPromoted = [&service](int number) {
        const auto guard = std::lock_guard(acknowledgedMutex);
        for (const auto &id : acknowledged) {
            if (!service.hasCommitted(number, id)) {
                rig::note("LOST: the acknowledged commit " + id + " is not in the log of " + service.idOf(number) + ", which is promoted");
                ++lost;
            }
        }
    };
    auto platform = rig::Platform(deployment, {&service}, 1.0);
    for (auto number = 0; number < 3; ++number) {
        service.start(number);
    }
    // Replicas of the site are 20 ms behind; so the other replica, which is as far or further, is the one that is chosen.
    service.setReceiveInterval(late, 0.02);
    if (rig::hasTrouble()) {
        service.setLateResume(late, earliestSeconds, latestSeconds);
    }
    for (const auto vm : {1, 2, 3}) {
        deployment.startControl(vm, true);
    }
    for (const auto vm : {1, 2, 3, 5, 6}) {
        deployment.startProxy(vm, true);
    }
    rig::sleepFor(1);
    const auto text = rig::configurationText(1, {{"orders", "primary", "ordersdb"}}, {"ordersdb"}, 1);
    if (!rig::sendConfiguration(deployment, {1, 2, 3}, text, 15)) {
        deployment.finish(rig::couldNotRun);
    }
    for (const auto vm : {1, 2, 3, 5, 6}) {
        for (const auto pause : {0.1, 0.2, 0.3, 0.4, 0.5}) {
            std::thread(runTransactions, deployment.address(vm), pause).detach();
        }
    }
    rig::sleepFor(6);
    if (rig::hasTrouble()) {
        service.cutFrom(primary, {1, 2});
        rig::sleepFor(5);
        service.cutFrom(primary, {});
    } else {
        rig::sleepFor(5);
    }
    rig::sleepFor(5);
    auto guard = std::unique_lock(acknowledgedMutex);
    const auto count = acknowledged.size();
    guard.unlock();
    rig::note(std::to_string(count) + " commits were acknowledged, " + std::to_string(lost) + " of them lost by a promotion");
    if (count == 0) {
        deployment.finish(rig::couldNotRun);
    }
    deployment.finish(lost > 0 ? rig::ruleBroken : rig::ruleHeld);
}
