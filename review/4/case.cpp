// A control machine is replaced as planned, and a second one loses its disk a second later: the configuration is gone for good. With
// SECOND=planned, the second one is replaced as planned too, by a machine that has run as long as the first successor.
//
// The new machine starts first and has all the time to catch up that the pages give it; then the old one gets SIGTERM and ends. It stays a
// voter for four more seconds. If another machine loses its disk in that time, one voter with the log is left of three, and no replacement can
// be admitted without a leader: the operator never reads the acknowledged configuration again.
#include "rig-2/rig.h"

#include <csignal>
#include <cstdlib>
#include <string>

namespace
{

constexpr auto catchupSeconds = 4.0;
constexpr auto recoverySeconds = 12.0;

/// \return whether one of the VMs gives the configuration
auto readConfiguration(const rig::Deployment &deployment, const std::vector<int> &vms) -> bool
{
    for (const auto vm : vms) {
        // A machine that finds no leader says so after eight seconds.
        const auto answer = rig::httpCall(deployment.operatorsOf(vm), rig::Deployment::operatorsPort, "GET", "/v1/config/get", "", 9);
        const auto version = answer.status == 200 ? ", version " + rig::jsonField(answer.body, "version") : std::string();
        rig::note("operator: reads the configuration at VM " + std::to_string(vm) + ", answer " + std::to_string(answer.status) + version);
        if (answer.status == 200) {
            return true;
        }
    }
    return false;
}

} // namespace

auto main(int, char **arguments) -> int
{
    rig::openRecord(arguments[1]);
    auto deployment = rig::Deployment();
    for (const auto vm : {1, 2, 3}) {
        deployment.startControl(vm, true);
        deployment.startProxy(vm, true);
    }
    rig::sleepFor(1);
    const auto text = rig::configurationText(7, {{"orders", "primary", "ordersdb"}}, {"ordersdb"}, 0);
    if (!rig::sendConfiguration(deployment, {1, 2, 3}, text, 15)) {
        deployment.finish(rig::couldNotRun);
    }
    rig::sleepFor(3);
    // VM 6 is in the zone of VM 3, which it replaces.
    deployment.startControl(6, false);
    deployment.startProxy(6, false);
    const auto *const second = std::getenv("SECOND");
    const auto isPlanned = second != nullptr && std::string(second) == "planned";
    if (isPlanned) {
        deployment.startControl(4, false);
        deployment.startProxy(4, false);
    }
    rig::sleepFor(catchupSeconds + 1);
    deployment.signalControl(3, SIGTERM);
    deployment.signalProxy(3, SIGTERM);
    const auto hasEnded = deployment.awaitControlEnd(3, 6);
    rig::sleepFor(1);
    if (!hasEnded || !readConfiguration(deployment, {1, 2, 6})) {
        deployment.finish(rig::couldNotRun);
    }
    if (rig::hasTrouble() && isPlanned) {
        deployment.signalControl(1, SIGTERM);
        deployment.signalProxy(1, SIGTERM);
        deployment.awaitControlEnd(1, 6);
        deployment.awaitProxyEnd(1, 6);
    } else if (rig::hasTrouble()) {
        deployment.signalControl(1, SIGKILL);
        deployment.signalProxy(1, SIGKILL);
        deployment.awaitControlEnd(1, 2);
        deployment.awaitProxyEnd(1, 2);
        deployment.loseDisk(1);
        rig::sleepFor(1);
        deployment.startControl(1, false);
        deployment.startProxy(1, false);
    }
    deployment.awaitProxyEnd(3, 6);
    const auto allBackAt = rig::elapsed();
    rig::sleepFor(recoverySeconds);
    auto isRead = false;
    // Longer than the pages ask for, so that a late recovery would be seen.
    while (!isRead && rig::elapsed() < allBackAt + 60) {
        isRead = readConfiguration(deployment, isPlanned ? std::vector<int>{2, 4, 6} : std::vector<int>{1, 2, 6});
        rig::sleepFor(1);
    }
    rig::note(isRead ? "the configuration is read back" : "no machine has given the acknowledged configuration since the loss");
    deployment.finish(isRead ? rig::ruleHeld : rig::ruleBroken);
}
