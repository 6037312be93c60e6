// proxyalone.cpp: one proxy before one group, without control VMs, so that measurements see the traffic path alone.
//
// Makes the first member the primary of term 1, the others its replicas, and serves under a lease without an end. Not for use:
// nothing replaces a primary that fails.
#include "sapphirespool/Decisions/factory.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Metrics/metrics.h"
#include "sapphirespool/Platform/httpgroupoperator.h"
#include "sapphirespool/ProxyRole/metricsrecorder.h"
#include "sapphirespool/ProxyRole/proxyrole.h"
#include "sapphirespool/Support/log.h"
#include "sapphirespool/Upstreams/connection.h"
#include "sapphirespool/Upstreams/pool.h"
#include "sapphirespool/Upstreams/positionwatch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <charconv>
#include <csignal>
#include <iostream>
#include <span>
#include <string_view>
#include <vector>

namespace sapphirespool
{

namespace
{

namespace asio = boost::asio;

const auto groupName = GroupId("orders-1");

/// What the command line gives.
struct Arguments
{
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::vector<Endpoint> members;
};

/// Runs \p call, one of the group operator's, to its answer.
template <typename Call>
auto finish(asio::io_context &io, Call call) -> platform::PositionReport
{
    auto answer = std::optional<platform::PositionReport>();
    call([&answer](std::optional<platform::PositionReport> report) {
        answer = std::move(report);
    });
    io.restart();
    io.run();
    if (!answer) {
        throw std::runtime_error("a member does not answer, or was in use already");
    }
    return *answer;
}

auto formGroup(asio::io_context &io, const Arguments &arguments) -> membership::GroupView
{
    const auto caller = platform::makeHttpGroupOperator(io.get_executor());
    const auto authority = platform::makeUnlimitedAuthority();
    auto group = membership::GroupView();
    group.id = groupName;
    group.term = Term(1);
    group.history.push_back({Term(1), LogPosition(0)});
    for (const auto &endpoint : arguments.members) {
        const auto report = finish(io, [&](platform::ReportCallback done) {
            if (!group.primary) {
                caller->promote({group.id, {}, endpoint}, {1}, authority, std::move(done));
                return;
            }
            const auto &primary = arguments.members.front();
            caller->follow({group.id, {}, endpoint}, {1, group.primary->value(), primary.address, primary.port, 0}, authority, std::move(done));
        });
        auto member = membership::UpstreamView();
        member.id = UpstreamId(report.id);
        member.endpoint = endpoint;
        member.incarnation = Incarnation(report.incarnation);
        member.slots = arguments.slots;
        member.connectionLimit = arguments.connections;
        group.members.push_back(member);
        group.primary = group.primary.value_or(member.id);
    }
    return group;
}

auto viewOf(membership::GroupView group, const proxy::ProxyRoleSettings &settings, const proxy::ProxyEndpoints &endpoints)
    -> std::shared_ptr<const membership::ClusterView>
{
    auto view = membership::ClusterView();
    view.revision = Revision(1);
    view.services.append({ServiceId("orders"), groupName});
    view.groups.push_back(std::move(group));
    view.proxies.push_back({settings.vm, settings.zone, settings.incarnation, endpoints.callers, endpoints.peers});
    return std::make_shared<const membership::ClusterView>(view);
}

auto serve(const Arguments &arguments) -> void
{
    auto io = asio::io_context(1);
    auto group = formGroup(io, arguments);
    auto settings = proxy::ProxyRoleSettings();
    settings.vm = VmId("vm1");
    settings.zone = ZoneId("zone1");
    settings.incarnation = Incarnation(1);
    settings.callers = {"127.0.0.1", arguments.port};
    settings.peers = {"127.0.0.1", 0};
    auto decisions = decisions::DispatcherSettings();
    decisions.vm = settings.vm;
    decisions.zone = settings.zone;
    auto parts = proxy::ProxyRoleParts();
    parts.views = std::make_shared<membership::ViewHolder>();
    parts.pool = upstreams::makePool(upstreams::makeHttpConnector(io.get_executor()), io.get_executor());
    parts.watch = upstreams::makeHttpPositionWatch(io.get_executor());
    parts.dispatcher = decisions::makeDispatcher(decisions);
    parts.recorder = proxy::makeMetricsRecorder(std::make_shared<metrics::Metrics>());
    parts.dispatch = io.get_executor();
    parts.sessions = [executor = io.get_executor()] {
        return executor;
    };
    const auto role = proxy::makeProxyRole(settings, parts);
    const auto endpoints = role->start();
    constexpr auto unending = std::chrono::hours(24);
    parts.views->extendLease(std::chrono::steady_clock::now() + unending);
    parts.views->publish(viewOf(std::move(group), settings, endpoints));
    role->viewChanged();
    std::cout << endpoints.callers.port << "\n" << std::flush;
    auto signals = asio::signal_set(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    io.restart();
    io.run();
}

auto number(std::string_view text) -> std::uint32_t
{
    auto value = std::uint32_t{0};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto run(std::span<char *> given) -> int
{
    constexpr auto firstMember = std::size_t{4};
    if (given.size() <= firstMember) {
        std::cerr << "usage: proxyalone PORT SLOTS CONNECTIONS MEMBER-PORT...\n";
        return 2;
    }
    support::configureLog(support::LogFormat::Text);
    auto arguments = Arguments();
    arguments.port = static_cast<std::uint16_t>(number(given[1]));
    arguments.slots = number(given[2]);
    arguments.connections = number(given[3]);
    for (const auto *const port : given.subspan(firstMember)) {
        arguments.members.push_back({"127.0.0.1", static_cast<std::uint16_t>(number(port))});
    }
    serve(arguments);
    return 0;
}

} // namespace

} // namespace sapphirespool

auto main(int argc, char **argv) -> int
{
    try {
        return sapphirespool::run(std::span(argv, static_cast<std::size_t>(argc)));
    } catch (const std::exception &error) {
        std::cerr << "proxyalone: " << error.what() << "\n";
        return 1;
    }
}
