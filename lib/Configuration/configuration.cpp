#include "sapphirespool/Configuration/configuration.h"

#include "dependencies.h"

#include "sapphirespool/Support/yaml.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace sapphirespool::configuration
{

namespace
{

using namespace std::chrono_literals;

using support::YamlEntry;
using support::YamlMap;

/// A name goes into URLs, log fields and metric labels unescaped.
constexpr auto nameCharacters = std::string_view("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.");
constexpr auto nameLimit = std::size_t{64};
constexpr auto serviceLimit = std::size_t{10'000};

/// Data a day old is no replica's data but a backup's.
constexpr auto readAgeRange = support::DurationRange{0ms, 24h};
/// Below 10 ms the way between two zones alone uses the time up; a minute outlives every balancer.
constexpr auto timeoutRange = support::DurationRange{10ms, 60s};
/// A queue longer than this holds more work than 5 slots can do within the longest timeout.
constexpr auto queueRange = support::NumberRange{1, 100'000};
/// A write is acknowledged by two members and a promotion asks a majority: only up to three members is each majority sure to meet
/// every two.
constexpr auto groupSizeRange = support::NumberRange{2, 3};

auto checkName(YamlMap &map, std::string_view name, std::string_view kind) -> void
{
    if (name.empty() || name.size() > nameLimit || name.find_first_not_of(nameCharacters) != std::string_view::npos) {
        map.report({}, std::string(kind) + " name '" + std::string(name) + "' is not usable", "use 1 to 64 letters, digits, '-', '_' and '.'");
    }
}

/// Writes that only the primary holds are lost with it, so the one other value that operators know is named and refused.
auto checkDurability(YamlMap &map) -> void
{
    const auto durability = map.text("durability", "majority");
    if (durability != "majority") {
        map.report("durability", "'durability' is '" + durability + "', under which an acknowledged write can be lost", "use majority or leave the field out");
    }
}

auto readService(YamlEntry &entry) -> membership::ServiceView
{
    auto &map = entry.map;
    auto service = membership::ServiceView();
    checkName(map, entry.name, "service");
    service.id = ServiceId(entry.name);
    service.group = GroupId(map.text("group"));
    for (auto &dependency : map.texts("depends_on")) {
        service.dependsOn.emplace_back(std::move(dependency));
    }
    service.readAge = map.duration("read_age", readAgeRange, service.readAge);
    service.timeout = map.duration("timeout", timeoutRange, service.timeout);
    service.queueLimit = static_cast<std::uint32_t>(map.number("queue_limit", queueRange, service.queueLimit));
    service.retryRatio = map.ratio("retry_ratio", service.retryRatio);
    checkDurability(map);
    map.rejectOthers();
    return service;
}

auto readGroup(YamlEntry &entry) -> GroupConfiguration
{
    auto group = GroupConfiguration{GroupId(entry.name), usualGroupSize};
    group.size = static_cast<std::uint32_t>(entry.map.number("members", groupSizeRange, usualGroupSize));
    entry.map.rejectOthers();
    return group;
}

auto isNamed(const std::vector<membership::ServiceView> &services, const GroupId &group) -> bool
{
    return std::any_of(services.begin(), services.end(), [&group](const membership::ServiceView &service) {
        return service.group == group;
    });
}

auto readGroups(YamlMap &map, const std::vector<membership::ServiceView> &services) -> std::vector<GroupConfiguration>
{
    auto groups = std::vector<GroupConfiguration>();
    for (auto &entry : map.entries("groups")) {
        auto group = readGroup(entry);
        if (!isNamed(services, group.id)) {
            entry.map.report({}, "group '" + group.id.value() + "' has no service", "name it in a service or remove it");
        }
        groups.push_back(std::move(group));
    }
    for (const auto &service : services) {
        const auto known = std::any_of(groups.begin(), groups.end(), [&service](const GroupConfiguration &group) {
            return group.id == service.group;
        });
        if (!known) {
            groups.push_back({service.group, usualGroupSize});
        }
    }
    std::sort(groups.begin(), groups.end(), [](const GroupConfiguration &left, const GroupConfiguration &right) {
        return left.id < right.id;
    });
    return groups;
}

auto readFields(YamlMap &map) -> Configuration
{
    auto configuration = Configuration();
    if (!map.has("services")) {
        map.report("services", "field 'services' is missing", "add it, with a name and its fields for each service");
    }
    auto entries = map.entries("services");
    if (entries.size() > serviceLimit) {
        map.report("services", "there are more than 10000 services", "split the system");
        return configuration;
    }
    for (auto &entry : entries) {
        configuration.services.push_back(readService(entry));
        checkName(entry.map, configuration.services.back().group.value(), "group");
    }
    configuration.groups = readGroups(map, configuration.services);
    map.rejectOthers();
    checkDependencies(entries, configuration.services);
    return configuration;
}

} // namespace

auto parseConfiguration(std::string_view file, std::string_view text) -> boost::leaf::result<Configuration>
{
    BOOST_LEAF_AUTO(map, support::readYaml(file, text));
    auto configuration = readFields(map);
    auto verdict = map.verdict();
    if (!verdict) {
        return verdict.error();
    }
    return configuration;
}

} // namespace sapphirespool::configuration
