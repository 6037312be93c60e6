#include "sapphirespool/Settings/settings.h"

#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool::settings
{

namespace
{

constexpr auto entryVm = R"(vm: hobart-1
zone: hobart
roles: [proxy, control]
callers: 127.1.1.1:8480
peers: 127.1.1.1:8481
data: data/hobart-1
control_members:
  - {vm: hobart-1, address: "127.1.1.1:8482"}
  - {vm: launceston-1, address: "127.1.2.1:8482"}
traffic_threads: 2
log_format: json
limits: {connections: 5000, receive_timeout: 5s}
shutdown: {balancer_delay: 3s}
key_warmup: 90s
)";

struct Parsed
{
    Settings settings;
    std::string problems;
};

auto parse(std::string_view text) -> Parsed
{
    return boost::leaf::try_handle_all(
        [text]() -> boost::leaf::result<Parsed> {
            BOOST_LEAF_AUTO(settings, parseSettings("vm.yaml", text));
            return Parsed{settings, {}};
        },
        [](const support::TextProblems &problems) {
            return Parsed{{}, describe(problems)};
        },
        [] {
            return Parsed{{}, "an error without problems"};
        });
}

auto with(std::string_view from, std::string_view to) -> std::string
{
    auto text = std::string(entryVm);
    const auto place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

} // namespace

TEST_CASE("settings of a VM with both roles")
{
    const auto parsed = parse(entryVm);
    REQUIRE(parsed.problems.empty());
    CHECK(parsed.settings.vm == VmId("hobart-1"));
    CHECK(parsed.settings.callers == Endpoint{"127.1.1.1", 8480});
    CHECK(parsed.settings.controlEndpoint() == Endpoint{"127.1.1.1", 8482});
    CHECK(parsed.settings.limits.connections == 5000);
    CHECK(parsed.settings.limits.receiveTimeout == std::chrono::seconds(5));
    CHECK(parsed.settings.shutdown.balancerDelay == std::chrono::seconds(3));
    CHECK(parsed.settings.keyWarmup == std::chrono::seconds(90));
    CHECK(parsed.settings.logFormat == support::LogFormat::Json);
}

TEST_CASE("wrong settings are named with line and remedy")
{
    CHECK(parse(with("callers: 127.1.1.1:8480", "callers: localhost:8480")).problems
          == "vm.yaml:4: 'callers' is 'localhost:8480'; use an IP address and a port, for example 127.0.0.1:8480");
    CHECK(parse(with("callers:", "caller:")).problems.find("field 'callers' is missing; add it") != std::string::npos);
    CHECK(parse(with("callers:", "caller:")).problems.find("vm.yaml:4: unknown field 'caller'") != std::string::npos);
    CHECK(parse(with("[proxy, control]", "[proxy]")).problems.find("unknown field 'data'") != std::string::npos);
    CHECK(parse(with("[proxy, control]", "[router]")).problems.find("unknown role 'router'; use proxy, control, operators or some of them")
          != std::string::npos);
    CHECK(parse(with("vm: hobart-1\n", "vm: hobart-2\n")).problems.find("is no control member") != std::string::npos);
    CHECK(parse(with("launceston-1, address: \"127.1.2.1", "launceston-1, address: \"127.1.1.1")).problems.find("repeats a VM or an address")
          != std::string::npos);
    CHECK(parse(with("90s", "2h")).problems.find("key_warmup") != std::string::npos);
    CHECK(parse(with("8481", "84810")).problems.find("use an IP address and a port") != std::string::npos);
}

// Failure: a process without a disk whose address is among the seeds listens nowhere, and all who ask it find no control VM.
TEST_CASE("a VM with the role operators serves the addresses of control VMs where its settings say, if they are found by seeds")
{
    const auto text = [](std::string_view control) {
        return "vm: 127.1.1.1\nzone: hobart\nroles: [operators]\ncontrol: 127.1.1.1:8482\n" + std::string(control);
    };
    const auto seeded = parse(text("control_port: 8482\ncontrol_seeds: [\"127.1.2.1:9000\"]\n"));
    REQUIRE(seeded.problems.empty());
    CHECK(seeded.settings.directoryEndpoint() == Endpoint{"127.1.1.1", 8482});
    CHECK_FALSE(seeded.settings.controlEndpoint());
    const auto fixed = parse(text("control_members: [{vm: a, address: \"127.1.2.1:8482\"}]\n"));
    CHECK(fixed.problems.find("unknown field 'control'") != std::string::npos);
    CHECK_FALSE(parse(entryVm).settings.directoryEndpoint());
}

} // namespace sapphirespool::settings
