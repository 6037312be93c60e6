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

TEST_CASE("customers are read with their keys and quotas, and routes ask for a key unless they are public")
{
    const auto text = [](std::string_view tenants) {
        auto open = route("open", "huvo11a", "1000");
        open.insert(open.size() - 1, R"(,"public":true)");
        auto whole = document(route("fiti", "huvo11a", "1000") + "," + open);
        whole.insert(whole.size() - 1, R"(,"tenants":)" + std::string(tenants));
        return whole;
    };
    const auto outcome = read(text(R"([{"name":"miny","apiKeys":["k1","k2"],"priority":1,"ratePerS":164,"burst":40},{"name":"free","apiKeys":[]}])"));
    REQUIRE(std::holds_alternative<configuration::Configuration>(outcome));
    const auto &configuration = std::get<configuration::Configuration>(outcome);
    REQUIRE(configuration.customers.size() == 2);
    CHECK(configuration.customers[0].id == CustomerId("free"));
    CHECK_FALSE(configuration.customers[0].quota);
    CHECK(configuration.customers[1].keys == std::vector{membership::digestOf("k1"), membership::digestOf("k2")});
    CHECK(configuration.customers[1].quota == membership::Quota{164, 40});
    CHECK(configuration.customers[1].priority == 1);
    CHECK(configuration.services[0].requiresKey);
    CHECK_FALSE(configuration.services[1].requiresKey);
    CHECK_FALSE(std::get<configuration::Configuration>(read(document(route("fiti", "huvo11a", "1000")))).services[0].requiresKey);
}

// A key of two customers would let one of them act for the other.
TEST_CASE("customers that cannot be told apart or limited are rejected, without naming a key")
{
    const auto rejected = [](std::string_view tenants) {
        auto text = document(route("fiti", "huvo11a", "1000"));
        text.insert(text.size() - 1, R"(,"tenants":)" + std::string(tenants));
        const auto outcome = read(text);
        REQUIRE(std::holds_alternative<std::string>(outcome));
        CHECK(std::get<std::string>(outcome).find("secret") == std::string::npos);
        return std::get<std::string>(outcome);
    };
    CHECK(rejected(R"([{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["secret"]}])").find("stands twice") != std::string::npos);
    CHECK(rejected(R"([{"name":"a","apiKeys":["secret","secret"]}])").find("stands twice") != std::string::npos);
    CHECK(rejected(R"([{"name":"a","apiKeys":[]},{"name":"a","apiKeys":[]}])").find("stands twice") != std::string::npos);
    CHECK(rejected(R"([{"name":"a","apiKeys":[""]}])").find("no text") != std::string::npos);
    CHECK(rejected(R"([{"name":"a","apiKeys":[7]}])").find("no text") != std::string::npos);
    CHECK(rejected(R"([{"name":"a b","apiKeys":[]}])").find("blank") != std::string::npos);
    CHECK(rejected(R"([{"name":"","apiKeys":[]}])").find("'name'") != std::string::npos);
    CHECK(rejected(R"([{"name":"a","apiKeys":["secret"],"ratePerS":-1}])").find("quantity") != std::string::npos);
    CHECK(rejected(R"([{"name":"a","apiKeys":["secret"],"ratePerS":1e300}])").find("quantity") != std::string::npos);
    CHECK(rejected(R"([{"name":"a","apiKeys":["secret"],"ratePerS":1,"burst":"many"}])").find("quantity") != std::string::npos);
    CHECK(rejected(R"({"name":"a"})").find("no list") != std::string::npos);
}

} // namespace sapphirespool::adapter
