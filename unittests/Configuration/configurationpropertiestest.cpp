#include "parsetext.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace sapphirespool::configuration
{

namespace
{

/// Words from which texts are mixed that are nearly right.
constexpr auto pieces = std::to_array<std::string_view>({
    "services:\n",
    "groups:\n",
    "  a:\n",
    "  b:\n",
    "    group: g\n",
    "    group: h\n",
    "    timeout: 2s\n",
    "    timeout: -1\n",
    "    depends_on: [a]\n",
    "    depends_on: [b, a]\n",
    "    read_age: 1h\n",
    "  g: {members: 3}\n",
    "    queue_limit: 18446744073709551616\n",
    "    durability: none\n",
    "    retry_ratio: 1e400\n",
    "&x ",
    "*x\n",
    "{",
    "}",
    "[",
    "]",
    ": ",
    "- ",
    "\"",
    "\t",
    "!!binary ",
    "|\n",
    "%YAML 9\n",
    "---\n",
    "? ",
});

auto mixedText(const std::vector<std::size_t> &choice) -> std::string
{
    auto text = std::string();
    for (const auto place : choice) {
        text += pieces[place % pieces.size()];
    }
    return text;
}

/// \return a text of \p count services in which service i depends on some of the services before it
auto chainedText(std::size_t count, const std::vector<std::size_t> &edges) -> std::string
{
    auto text = std::string("services:\n");
    for (std::size_t service = 0; service < count; ++service) {
        text += "  s" + std::to_string(service) + ":\n    group: g" + std::to_string(service % 3) + "\n";
        if (service > 0 && service < edges.size()) {
            text += "    depends_on: [s" + std::to_string(edges[service] % service) + "]\n";
        }
    }
    return text;
}

/// Each accepted configuration keeps to what the traffic path relies on.
auto isSound(const Configuration &configuration) -> bool
{
    const auto known = [&configuration](const ServiceId &id) {
        return std::any_of(configuration.services.begin(), configuration.services.end(), [&id](const membership::ServiceView &service) {
            return service.id == id;
        });
    };
    return std::all_of(configuration.services.begin(), configuration.services.end(), [&](const membership::ServiceView &service) {
        const auto hasGroup = std::any_of(configuration.groups.begin(), configuration.groups.end(), [&](const GroupConfiguration &group) {
            return group.id == service.group && group.size >= 2 && group.size <= 3;
        });
        return hasGroup && !service.group.value().empty() && service.timeout.count() >= 10 && service.retryRatio >= 0.0 && service.retryRatio <= 1.0
            && std::all_of(service.dependsOn.begin(), service.dependsOn.end(), known);
    });
}

auto isAnswer(const ParsedText &parsed) -> bool
{
    return parsed.problems.empty() ? isSound(parsed.configuration) : parsed.problems.starts_with("services.yaml:");
}

} // namespace

TEST_CASE("the parser answers any bytes with a sound configuration or a problem with its line")
{
    CHECK(rc::check([](const std::string &text) {
        const auto parsed = parseText(text);
        RC_ASSERT(isAnswer(parsed));
    }));
}

TEST_CASE("the parser answers nearly right texts with a sound configuration or a problem with its line")
{
    CHECK(rc::check([](const std::vector<std::size_t> &choice) {
        const auto parsed = parseText("services:\n  a:\n    group: g\n" + mixedText(choice));
        RC_ASSERT(isAnswer(parsed));
    }));
}

TEST_CASE("services that depend on earlier ones only are accepted, and one dependency back closes a cycle")
{
    CHECK(rc::check([](const std::vector<std::size_t> &edges) {
        const auto text = chainedText(edges.size() + 1, edges);
        RC_ASSERT(parseText(text).problems.empty());
        const auto cyclic = text + "  z1: {group: g0, depends_on: [z2]}\n  z2: {group: g0, depends_on: [z1]}\n";
        RC_ASSERT(parseText(cyclic).problems.find("cycle: z1 -> z2 -> z1") != std::string::npos);
    }));
}

TEST_CASE("deeply nested text and aliases end with an answer")
{
    CHECK(!parseText("services: " + std::string(100'000, '[')).problems.empty());
    CHECK(!parseText("services: {a: &a {group: g, depends_on: *a}}").problems.empty());
    CHECK(!parseText(std::string(2'000'000, ' ')).problems.empty());
}

} // namespace sapphirespool::configuration
