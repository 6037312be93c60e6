#include "sapphirespool/Configuration/configuration.h"

#include "parsetext.h"

#include <catch2/catch.hpp>

namespace sapphirespool::configuration
{

namespace
{

constexpr auto bookings = R"(services:
  tracking:
    group: orders-2
    read_age: 5s
    timeout: 500ms
  bookings:
    group: orders-1
    depends_on: [tracking]
    timeout: 2s
    queue_limit: 100
    retry_ratio: 0.2
    durability: majority
groups:
  orders-2: {members: 2}
)";

auto with(std::string_view from, std::string_view to) -> std::string
{
    auto text = std::string(bookings);
    const auto place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

auto problemsWith(std::string_view from, std::string_view to) -> std::string
{
    return parseText(with(from, to)).problems;
}

} // namespace

TEST_CASE("a text becomes services and groups with defaults filled in")
{
    const auto parsed = parseText(bookings);
    REQUIRE(parsed.problems.empty());
    const auto &services = parsed.configuration.services;
    REQUIRE(services.size() == 2);
    CHECK(services[0].id == ServiceId("tracking"));
    CHECK(services[0].readAge == std::chrono::seconds(5));
    CHECK(services[0].queueLimit == 256);
    CHECK(services[1].dependsOn == std::vector<ServiceId>{ServiceId("tracking")});
    CHECK(services[1].retryRatio == 0.2);
    const auto &groups = parsed.configuration.groups;
    REQUIRE(groups.size() == 2);
    CHECK(groups[0].id == GroupId("orders-1"));
    CHECK(groups[0].size == 3);
    CHECK(groups[1].size == 2);
}

TEST_CASE("mistakes within one service are named with line and remedy")
{
    CHECK(problemsWith("read_age: 5s", "read_ages: 5s")
          == "services.yaml:4: unknown field 'read_ages'; use one of group, depends_on, read_age, timeout, queue_limit, retry_ratio, durability");
    CHECK(problemsWith("    group: orders-2\n", "").find("field 'group' is missing; add it") != std::string::npos);
    CHECK(problemsWith("timeout: 500ms", "timeout: 2h").find("services.yaml:5: 'timeout' is '2h'; use a time from 10ms to 60000ms") != std::string::npos);
    CHECK(problemsWith("durability: majority", "durability: primary")
          == "services.yaml:12: 'durability' is 'primary', under which an acknowledged write can be lost; use majority or leave the field out");
    CHECK(problemsWith("members: 2", "members: 5").find("use a number from 2 to 3") != std::string::npos);
    CHECK(problemsWith("  bookings:", "  book ings:").find("name 'book ings' is not usable") != std::string::npos);
}

TEST_CASE("mistakes between services are named with line and remedy")
{
    CHECK(problemsWith("[tracking]", "[traking]") == "services.yaml:8: unknown dependency 'traking'; name a service of this text or remove it");
    CHECK(problemsWith("[tracking]", "[tracking, tracking]").find("stands twice") != std::string::npos);
    CHECK(problemsWith("[tracking]", "[bookings]").find("cycle: bookings -> bookings") != std::string::npos);
    CHECK(problemsWith("read_age: 5s\n    timeout: 500ms", "depends_on: [bookings]\n    timeout: 2s").find("cycle: tracking -> bookings -> tracking")
          != std::string::npos);
    CHECK(problemsWith("timeout: 500ms", "timeout: 3s").find("'bookings' times out before its dependency 'tracking'") != std::string::npos);
    CHECK(problemsWith("  orders-2: {members: 2}", "  orders-9: {members: 2}").find("group 'orders-9' has no service") != std::string::npos);
}

TEST_CASE("all mistakes of a text are reported at once")
{
    const auto problems = parseText("services:\n  a: {group: g, timeout: 1}\n  b: {grup: g}\nother: 1\n").problems;
    CHECK(problems.find("services.yaml:2:") != std::string::npos);
    CHECK(problems.find("services.yaml:3:") != std::string::npos);
    CHECK(problems.find("services.yaml:4:") != std::string::npos);
    CHECK(!parseText("groups: {}\n").problems.empty());
}

TEST_CASE("a text without services is a configuration")
{
    CHECK(parseText("services: {}\n").problems.empty());
}

} // namespace sapphirespool::configuration
