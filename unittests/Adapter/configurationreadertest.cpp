#include "platform/configurationreader.h"

#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <variant>

namespace sapphirespool::adapter
{

namespace
{

using Outcome = std::variant<configuration::Configuration, std::string>;

auto read(std::string_view text) -> Outcome
{
    return boost::leaf::try_handle_all(
        [text]() -> boost::leaf::result<Outcome> {
            BOOST_LEAF_AUTO(configuration, makeConfigurationReader()->read(text));
            return Outcome(std::move(configuration));
        },
        [](const support::TextProblems &problems) {
            return Outcome(describe(problems));
        },
        [] {
            return Outcome(std::string("unknown"));
        });
}

auto document(std::string_view routes, std::string_view version = "7") -> std::string
{
    return R"({"version":)" + std::string(version) + R"(,"routes":[)" + std::string(routes)
        + R"(],"services":[{"name":"huvo11a","maxConns":34,"syncReplicas":1}],"limits":{"txnIdleMs":3000}})";
}

auto route(std::string_view host, std::string_view service, std::string_view timeout) -> std::string
{
    return R"({"name":"r","host":")" + std::string(host) + R"(","pathPrefix":"/","type":"read_your_writes","timeoutMs":)" + std::string(timeout)
        + R"(,"sloMs":400,"priority":2,"service":")" + std::string(service) + R"(","maxStalenessMs":2500})";
}

} // namespace

TEST_CASE("a configuration is read into services and groups")
{
    const auto outcome = read(document(route("fiti", "huvo11a", "1000")));
    REQUIRE(std::holds_alternative<configuration::Configuration>(outcome));
    const auto &configuration = std::get<configuration::Configuration>(outcome);
    CHECK(configuration.version == ConfigurationVersion(7));
    REQUIRE(configuration.services.size() == 1);
    const auto &service = configuration.services.front();
    CHECK(service.id == ServiceId("fiti"));
    CHECK(service.group == GroupId("huvo11a"));
    CHECK(service.consistency == membership::Consistency::ReadYourWrites);
    CHECK(service.readAge == std::chrono::milliseconds(2500));
    CHECK(service.timeout == std::chrono::milliseconds(1000));
    CHECK(service.objective == std::chrono::milliseconds(400));
    CHECK(service.transactionIdle == std::chrono::milliseconds(3000));
    REQUIRE(configuration.groups.size() == 1);
    CHECK(configuration.groups.front().connectionLimit == 34);
    CHECK(configuration.groups.front().selfReplicating);
    CHECK(configuration.groups.front().confirmations == 1);
}

TEST_CASE("a configuration that cannot be followed is rejected with what to do")
{
    const auto good = route("fiti", "huvo11a", "1000");
    CHECK(std::get<std::string>(read(document(route("fiti", "nobody", "1000")))).find("unknown service") != std::string::npos);
    CHECK(std::get<std::string>(read(document(route("fiti", "huvo11a", "0")))).find("time of 0") != std::string::npos);
    CHECK(std::get<std::string>(read(document(good + "," + good))).find("two routes") != std::string::npos);
    CHECK(std::get<std::string>(read(document(good, "0"))).find("version is 0") != std::string::npos);
    CHECK(std::get<std::string>(read(document(good, "\"7\""))).find("'version'") != std::string::npos);
    const auto text = document(good);
    for (std::size_t length = 0; length < text.size(); ++length) {
        INFO(length);
        CHECK(std::holds_alternative<std::string>(read(std::string_view(text).substr(0, length))));
    }
}

} // namespace sapphirespool::adapter
