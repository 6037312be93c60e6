#include "sapphirespool/Settings/settings.h"

#include "parsetext.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <vector>

namespace sapphirespool::configuration
{

namespace
{

/// What etc/ holds of one user's system.
struct Deployment
{
    std::vector<settings::Settings> vms;
    Configuration configuration;
};

auto readVm(const std::string &file) -> settings::Settings
{
    return boost::leaf::try_handle_all(
        [&file]() -> boost::leaf::result<settings::Settings> {
            return settings::readSettings(file);
        },
        [](const support::TextProblems &problems) {
            FAIL_CHECK(describe(problems));
            return settings::Settings();
        },
        [] {
            FAIL_CHECK("an error without problems");
            return settings::Settings();
        });
}

auto readText(const std::filesystem::path &file) -> std::string
{
    auto stream = std::ifstream(file);
    return {std::istreambuf_iterator<char>(stream), {}};
}

auto readDeployment(const std::string &name) -> Deployment
{
    auto deployment = Deployment();
    for (const auto &entry : std::filesystem::directory_iterator(std::string(SAPPHIRESPOOL_SOURCE_DIR "/etc/") + name)) {
        if (entry.path().filename() != "services.yaml") {
            deployment.vms.push_back(readVm(entry.path()));
            continue;
        }
        const auto parsed = parseText(readText(entry.path()));
        CHECK(parsed.problems.empty());
        deployment.configuration = parsed.configuration;
    }
    return deployment;
}

/// \return the zones of the VMs that pass \p filter
template <typename Filter>
auto zonesOf(const Deployment &deployment, Filter filter) -> std::set<ZoneId>
{
    auto zones = std::set<ZoneId>();
    for (const auto &vm : deployment.vms) {
        if (filter(vm)) {
            zones.insert(vm.zone);
        }
    }
    return zones;
}

auto addressCount(const Deployment &deployment) -> std::size_t
{
    auto addresses = std::set<Endpoint>();
    for (const auto &vm : deployment.vms) {
        addresses.insert(vm.callers);
        addresses.insert(vm.peers);
    }
    return addresses.size();
}

} // namespace

TEST_CASE("the sample deployments are whole systems of the sizes of today")
{
    const auto name = GENERATE(as<std::string>(), "derwent", "ash-wednesday");
    CAPTURE(name);
    const auto deployment = readDeployment(name);
    CHECK(deployment.vms.size() >= 10);
    CHECK(deployment.vms.size() <= 12);
    CHECK(zonesOf(deployment,
                  [](const settings::Settings &vm) {
                      return vm.proxy;
                  })
              .size()
          == 3);
    CHECK(zonesOf(deployment,
                  [](const settings::Settings &vm) {
                      return vm.control;
                  })
              .size()
          == 3);
    CHECK(addressCount(deployment) == 2 * deployment.vms.size());
    for (const auto &vm : deployment.vms) {
        CHECK(vm.controlMembers.size() == 3);
    }
    CHECK(deployment.configuration.services.size() == 3);
    CHECK(deployment.configuration.groups.size() == 3);
    CHECK(std::any_of(deployment.configuration.services.begin(), deployment.configuration.services.end(), [](const membership::ServiceView &service) {
        return service.readAge.count() > 0;
    }));
}

} // namespace sapphirespool::configuration
