#include "sapphirespool/Settings/settings.h"

#include "sapphirespool/Support/yaml.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace sapphirespool::settings
{

namespace
{

using namespace std::chrono_literals;

using support::YamlMap;

/// A VM has at most a few dozen cores; more threads only add switches.
constexpr auto trafficThreadRange = support::NumberRange{1, 64};
/// Below 1 KiB ordinary headers fail; above 1 MiB a slow sender costs too much memory.
constexpr auto headerRange = support::NumberRange{1024, 1024 * 1024};
constexpr auto bodyRange = support::NumberRange{1024, 64 * 1024 * 1024};
/// 10 KB for each connection keep a million connections at 10 GB, the most that one VM could hold.
constexpr auto connectionRange = support::NumberRange{1, 1'000'000};
constexpr auto timeoutRange = support::DurationRange{10ms, 3'600'000ms};
constexpr auto keyWarmupRange = support::DurationRange{0ms, 600'000ms};
/// An announcement a minute finds a lost upstream after two and a half.
constexpr auto announcementRange = support::DurationRange{50ms, 60'000ms};
constexpr auto graceRange = support::DurationRange{0ms, 3'600'000ms};
constexpr auto balancerDelayRange = support::DurationRange{0ms, 60'000ms};
/// Five voters bear the loss of two VMs, seven that of three; more only slow the commits down.
constexpr auto portRange = support::NumberRange{1, 65'535};
/// Three losses need seven voters.
constexpr auto lossesRange = support::NumberRange{1, 3};
/// More than this is no slack but another quota.
constexpr auto quotaSlackRange = support::NumberRange{0, 1'000};
constexpr auto yesOrNo = std::to_array<std::string_view>({"true", "false"});
constexpr auto controlMemberLimit = std::size_t{7};

/// \return the endpoint in for example `127.0.0.1:8480` or `[::1]:8480`
auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    auto error = boost::system::error_code();
    boost::asio::ip::make_address(std::string(host), error);
    if (error) {
        return std::nullopt;
    }
    auto port = std::uint16_t{0};
    const auto digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return Endpoint{std::string(host), port};
}

auto readEndpoint(YamlMap &map, std::string_view name) -> Endpoint
{
    const auto text = map.text(name);
    const auto endpoint = parseEndpoint(text);
    if (!endpoint && !text.empty()) {
        map.report(name, "'" + std::string(name) + "' is '" + text + "'", "use an IP address and a port, for example 127.0.0.1:8480");
    }
    return endpoint.value_or(Endpoint());
}

auto readOptionalEndpoint(YamlMap &map, std::string_view name) -> Endpoint
{
    return map.has(name) ? readEndpoint(map, name) : Endpoint();
}

auto readRoles(YamlMap &map, Settings &settings) -> void
{
    for (const auto &role : map.texts("roles")) {
        if (role == "proxy") {
            settings.proxy = true;
        } else if (role == "control") {
            settings.control = true;
        } else if (role == "operators") {
            settings.operatorsOnly = true;
        } else {
            map.report("roles", "unknown role '" + role + "'", "use proxy, control, operators or some of them");
        }
    }
    if (!settings.proxy && !settings.control && !settings.operatorsOnly) {
        map.report("roles", "the VM has no role", "add roles: [proxy], [control] or [operators]");
    }
}

/// Reads `control_seeds`, addresses of some control VMs at which others than this system's processes call them. Among themselves the
/// control VMs use one port, and each is named by its address: the seeds may be all that is known of them.
auto readControlSeeds(YamlMap &map) -> std::vector<ControlAddress>
{
    auto members = std::vector<ControlAddress>();
    const auto port = map.has("control_port") ? map.number("control_port", portRange, 0) : 0;
    for (const auto &text : map.texts("control_seeds")) {
        const auto seed = parseEndpoint(text);
        if (!seed || port == 0) {
            map.report("control_seeds", "control seed '" + text + "' cannot be used", "use an IP address and a port, and add control_port");
            continue;
        }
        members.push_back({VmId(seed->address), {seed->address, static_cast<std::uint16_t>(port)}});
    }
    return members;
}

auto readControlMembers(YamlMap &map) -> std::vector<ControlAddress>
{
    auto members = readControlSeeds(map);
    if (!members.empty()) {
        return members;
    }
    for (auto &entry : map.maps("control_members")) {
        auto member = ControlAddress{VmId(entry.text("vm")), readEndpoint(entry, "address")};
        entry.rejectOthers();
        const auto same = [&member](const ControlAddress &other) {
            return other.vm == member.vm || other.endpoint == member.endpoint;
        };
        if (std::any_of(members.begin(), members.end(), same)) {
            entry.report("vm", "control member '" + member.vm.value() + "' repeats a VM or an address", "name each VM once with an address of its own");
        }
        members.push_back(std::move(member));
    }
    if (members.empty()) {
        map.report("control_members", "there are no control members", "list the VMs of the control group with vm and address");
    }
    if (members.size() > controlMemberLimit) {
        map.report("control_members", "there are more than 7 control members", "name 3 or 5 of them");
    }
    return members;
}

auto readLimits(YamlMap &map) -> http::ServerLimits
{
    auto limits = http::ServerLimits();
    auto section = map.map("limits");
    if (!section) {
        return limits;
    }
    limits.headerBytes = static_cast<std::uint32_t>(section->number("header_bytes", headerRange, limits.headerBytes));
    limits.bodyBytes = section->number("body_bytes", bodyRange, limits.bodyBytes);
    limits.receiveTimeout = section->duration("receive_timeout", timeoutRange, limits.receiveTimeout);
    limits.idleTimeout = section->duration("idle_timeout", timeoutRange, limits.idleTimeout);
    limits.connections = section->number("connections", connectionRange, limits.connections);
    section->rejectOthers();
    return limits;
}

auto readShutdown(YamlMap &map) -> Shutdown
{
    auto shutdown = Shutdown();
    auto section = map.map("shutdown");
    if (!section) {
        return shutdown;
    }
    shutdown.balancerDelay = section->duration("balancer_delay", balancerDelayRange, shutdown.balancerDelay);
    shutdown.drainTimeout = section->duration("drain_timeout", timeoutRange, shutdown.drainTimeout);
    shutdown.grace = section->duration("grace", graceRange, shutdown.grace);
    section->rejectOthers();
    return shutdown;
}

/// Fields that only some roles have are unknown to the others, so that a line that has no effect is not mistaken for one that has.
auto readRoleFields(YamlMap &map, Settings &settings) -> void
{
    if (settings.proxy) {
        settings.callers = readEndpoint(map, "callers");
        settings.peers = readEndpoint(map, "peers");
        settings.readiness = readOptionalEndpoint(map, "readiness");
        settings.quotaSlack = static_cast<std::uint32_t>(map.number("quota_slack", quotaSlackRange, settings.quotaSlack));
        settings.keyWarmup = map.duration("key_warmup", keyWarmupRange, settings.keyWarmup);
    }
    if (settings.control || settings.proxy) {
        settings.firstStart = map.choice("first_start", yesOrNo, settings.control ? 0 : 1) == 0;
    }
    if (settings.control || settings.operatorsOnly) {
        settings.operators = readOptionalEndpoint(map, "operators");
    }
    // With a fixed list of control members nobody asks a directory.
    if (settings.control || (settings.operatorsOnly && settings.controlFoundBySeeds)) {
        settings.controlAddress = readOptionalEndpoint(map, "control");
    }
    if (settings.control) {
        settings.dataFolder = map.text("data");
        settings.promotionService = readOptionalEndpoint(map, "promotion_service");
        settings.announcementInterval = map.duration("announcement_interval", announcementRange, settings.announcementInterval);
        settings.controlLosses = static_cast<std::uint32_t>(map.number("control_losses", lossesRange, settings.controlLosses));
        if (!settings.controlEndpoint()) {
            map.report("vm", "the VM has the control role and is no control member", "add it to control_members or remove the role");
        }
    }
}

auto readFields(YamlMap &map) -> Settings
{
    constexpr auto formats = std::to_array<std::string_view>({"text", "json"});
    auto settings = Settings();
    settings.vm = VmId(map.text("vm"));
    settings.zone = ZoneId(map.text("zone"));
    readRoles(map, settings);
    settings.controlFoundBySeeds = map.has("control_seeds");
    settings.controlMembers = readControlMembers(map);
    readRoleFields(map, settings);
    settings.trafficThreads = static_cast<std::uint32_t>(map.number("traffic_threads", trafficThreadRange, settings.trafficThreads));
    settings.logFormat = map.choice("log_format", formats, 0) == 0 ? support::LogFormat::Text : support::LogFormat::Json;
    settings.metrics = readOptionalEndpoint(map, "metrics");
    settings.limits = readLimits(map);
    settings.shutdown = readShutdown(map);
    map.rejectOthers();
    return settings;
}

auto checked(YamlMap map) -> boost::leaf::result<Settings>
{
    auto settings = readFields(map);
    auto verdict = map.verdict();
    if (!verdict) {
        return verdict.error();
    }
    return settings;
}

} // namespace

auto Settings::controlEndpoint() const -> std::optional<Endpoint>
{
    const auto found = std::find_if(this->controlMembers.begin(), this->controlMembers.end(), [this](const ControlAddress &member) {
        return member.vm == this->vm;
    });
    if (!this->control) {
        return std::nullopt;
    }
    if (this->controlAddress.port != 0) {
        return this->controlAddress;
    }
    return found == this->controlMembers.end() ? std::nullopt : std::optional(found->endpoint);
}

auto Settings::directoryEndpoint() const -> std::optional<Endpoint>
{
    const auto isDirectory = !this->control && this->operatorsOnly && this->controlFoundBySeeds && this->controlAddress.port != 0;
    return isDirectory ? std::optional(this->controlAddress) : std::nullopt;
}

auto parseSettings(std::string_view file, std::string_view text) -> boost::leaf::result<Settings>
{
    BOOST_LEAF_AUTO(map, support::readYaml(file, text));
    return checked(std::move(map));
}

auto readSettings(std::string_view file) -> boost::leaf::result<Settings>
{
    BOOST_LEAF_AUTO(map, support::readYamlFile(file));
    return checked(std::move(map));
}

} // namespace sapphirespool::settings
