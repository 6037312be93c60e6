#include "dependencies.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>

namespace sapphirespool::configuration
{

namespace
{

using membership::ServiceView;

/// Places of the services by their names.
using Places = std::unordered_map<ServiceId, std::size_t>;

auto placesOf(const std::vector<ServiceView> &services) -> Places
{
    auto places = Places();
    for (std::size_t place = 0; place < services.size(); ++place) {
        places.emplace(services[place].id, place);
    }
    return places;
}

auto checkService(support::YamlMap &map, const ServiceView &service, const std::vector<ServiceView> &services, const Places &places) -> void
{
    auto seen = std::set<ServiceId>();
    for (const auto &dependency : service.dependsOn) {
        if (!seen.insert(dependency).second) {
            map.report("depends_on", "dependency '" + dependency.value() + "' stands twice", "remove one of the two");
        }
        const auto place = places.find(dependency);
        if (place == places.end()) {
            map.report("depends_on", "unknown dependency '" + dependency.value() + "'", "name a service of this text or remove it");
            continue;
        }
        // A service that gives up first leaves work behind that still runs for nobody and takes the slots of its dependency.
        if (services[place->second].timeout > service.timeout) {
            map.report("timeout",
                       "service '" + service.id.value() + "' times out before its dependency '" + dependency.value() + "'",
                       "raise its timeout to that of the dependency or lower the other");
        }
    }
}

/// Removes, again and again, the services whose dependencies are all removed; what remains depends on a cycle.
auto remainders(const std::vector<ServiceView> &services, const Places &places) -> std::vector<std::size_t>
{
    auto open = std::vector<std::size_t>(services.size(), 0);
    auto dependents = std::vector<std::vector<std::size_t>>(services.size());
    auto ready = std::vector<std::size_t>();
    for (std::size_t place = 0; place < services.size(); ++place) {
        for (const auto &dependency : services[place].dependsOn) {
            const auto found = places.find(dependency);
            if (found != places.end()) {
                ++open[place];
                dependents[found->second].push_back(place);
            }
        }
        if (open[place] == 0) {
            ready.push_back(place);
        }
    }
    while (!ready.empty()) {
        const auto done = ready.back();
        ready.pop_back();
        for (const auto dependent : dependents[done]) {
            if (--open[dependent] == 0) {
                ready.push_back(dependent);
            }
        }
    }
    auto remaining = std::vector<std::size_t>();
    for (std::size_t place = 0; place < services.size(); ++place) {
        if (open[place] > 0) {
            remaining.push_back(place);
        }
    }
    return remaining;
}

/// \return for example "a -> b -> a", a cycle that is reached from the first of \p remaining
auto cycleText(const std::vector<ServiceView> &services, const Places &places, const std::vector<std::size_t> &remaining) -> std::string
{
    const auto remains = [&remaining](std::size_t place) {
        return std::binary_search(remaining.begin(), remaining.end(), place);
    };
    auto path = std::vector<std::size_t>{remaining.front()};
    while (true) {
        for (const auto &dependency : services[path.back()].dependsOn) {
            const auto found = places.find(dependency);
            if (found != places.end() && remains(found->second)) {
                path.push_back(found->second);
                break;
            }
        }
        const auto start = std::find(path.begin(), path.end() - 1, path.back());
        if (start == path.end() - 1) {
            continue;
        }
        auto text = services[*start].id.value();
        for (auto step = start + 1; step != path.end(); ++step) {
            text += " -> " + services[*step].id.value();
        }
        return text;
    }
}

} // namespace

auto checkDependencies(std::vector<support::YamlEntry> &entries, const std::vector<ServiceView> &services) -> void
{
    const auto places = placesOf(services);
    for (std::size_t place = 0; place < services.size(); ++place) {
        checkService(entries[place].map, services[place], services, places);
    }
    const auto remaining = remainders(services, places);
    if (!remaining.empty()) {
        entries[remaining.front()].map.report(
            "depends_on", "services depend on each other in a cycle: " + cycleText(services, places, remaining), "remove one of these dependencies");
    }
}

} // namespace sapphirespool::configuration
