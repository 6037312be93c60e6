// A planned stop cuts commits that it has passed on: a database runs them, and their clients never get an answer.
//
// A proxy is stopped with SIGTERM. Clients that rest in a transaction may still commit late in the grace. The proxy passes such a COMMIT on to the
// database and, five sixths of the grace after the signal, closes the client's connection without the answer.
#include "rig-2/rig.h"

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

namespace
{

/// The machine that is stopped.
constexpr auto stopped = 5;
constexpr auto transactions = 8;
/// The commits are spread over this part of the grace, in seconds after the signal.
constexpr auto secondWrite = 2.6;
constexpr auto firstCommit = 4.94;
constexpr auto lastCommit = 5.0;
/// Time that the database takes for a commit, in seconds.
constexpr auto commitSeconds = 0.06;

auto mutex = std::mutex();
auto ranAt = std::map<std::string, double>();
auto unanswered = std::atomic<int>(0);
auto answered = std::atomic<int>(0);
auto stoppedAt = std::atomic<double>(0);
auto ended = std::atomic<int>(0);
auto ready = std::atomic<int>(0);

auto commitLate(const std::string &address, double at) -> void
{
    auto caller = rig::Caller();
    auto isOpen = caller.open(address, "orders") && caller.query(rig::newId(), "BEGIN").succeeded();
    const auto write = rig::newId();
    isOpen = isOpen && caller.query(write, "STORE item" + write + " data").succeeded();
    ++ready;
    const auto awaitTime = [](double moment) {
        while (stoppedAt == 0.0 || rig::elapsed() < stoppedAt + moment) {
            rig::sleepFor(0.001);
        }
    };
    // Not idle for longer than txnIdleMs, and before the half of the grace from which the proxy rolls open transactions back.
    awaitTime(secondWrite);
    const auto second = rig::newId();
    isOpen = isOpen && caller.query(second, "STORE item" + second + " data").succeeded();
    awaitTime(at);
    const auto commit = rig::newId();
    const auto sentAt = rig::elapsed() - stoppedAt;
    const auto answer = isOpen ? caller.query(commit, "COMMIT") : rig::Answer();
    const auto guard = std::lock_guard(mutex);
    const auto hasRun = ranAt.contains(commit);
    rig::note("client: COMMIT " + commit + " sent " + std::to_string(sentAt) + " s after the signal: "
              + (answer.word.empty() ? "no answer" : answer.word + " " + answer.detail) + (hasRun ? ", run by the database" : ", not run"));
    answered += answer.word.empty() ? 0 : 1;
    if (hasRun && answer.word.empty()) {
        rig::note("LOST: " + commit + " was passed on to a database and never answered");
        ++unanswered;
    }
    ++ended;
}

} // namespace

auto main(int, char **arguments) -> int
{
    rig::openRecord(arguments[1]);
    auto deployment = rig::Deployment();
    auto service = rig::Service(deployment, "ordersdb", 3, 101, 0);
    service.onRun = [](int, const std::string &id, const std::string &text, const rig::Service::Values &) {
        const auto guard = std::lock_guard(mutex);
        ranAt[id] = rig::elapsed();
        rig::note("database: runs " + id + " " + text);
    };
    service.setCommitTime(commitSeconds);
    auto platform = rig::Platform(deployment, {&service}, 0.3);
    for (auto number = 0; number < 3; ++number) {
        service.start(number);
    }
    for (const auto vm : {1, 2, 3}) {
        deployment.startControl(vm, true);
        deployment.startProxy(vm, true);
    }
    // This machine has no part in control, so that its stop is a stop of the proxy alone.
    deployment.startProxy(stopped, true);
    rig::sleepFor(1);
    const auto text = rig::configurationText(1, {{"orders", "primary", "ordersdb"}}, {"ordersdb"}, 0);
    if (!rig::sendConfiguration(deployment, {1, 2, 3}, text, 15)) {
        deployment.finish(rig::couldNotRun);
    }
    rig::sleepFor(5);
    for (auto number = 0; number < transactions; ++number) {
        const auto at = firstCommit + (lastCommit - firstCommit) * number / transactions;
        std::thread(commitLate, deployment.address(stopped), at).detach();
    }
    while (ready < transactions) {
        rig::sleepFor(0.01);
    }
    if (rig::hasTrouble()) {
        deployment.signalProxy(stopped, SIGTERM);
    }
    stoppedAt = rig::elapsed();
    for (auto waited = 0; waited < 1000 && ended < transactions; ++waited) {
        rig::sleepFor(0.01);
    }
    if (rig::hasTrouble()) {
        deployment.awaitProxyEnd(stopped, 3);
    }
    rig::note(std::to_string(answered) + " commits were answered, " + std::to_string(unanswered) + " were run and not answered");
    if (ranAt.empty()) {
        deployment.finish(rig::couldNotRun);
    }
    deployment.finish(unanswered > 0 ? rig::ruleBroken : rig::ruleHeld);
}
