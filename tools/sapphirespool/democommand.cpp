// democommand.cpp: a whole system in one process.
#include "commands.h"
#include "directexecutor.h"

#include "sapphirespool/Callers/handler.h"
#include "sapphirespool/Http/server.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Standin/member.h"
#include "sapphirespool/Support/log.h"
#include "sapphirespool/Upstreams/connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <getopt.h>

#include <array>
#include <charconv>
#include <csignal>
#include <iostream>
#include <string_view>
#include <utility>

namespace sapphirespool::tool
{

namespace
{

namespace asio = boost::asio;

constexpr auto defaultPort = std::uint16_t{8480};

auto serverOn(asio::io_context &io, std::shared_ptr<http::Handler> handler) -> std::shared_ptr<http::Server>
{
    const auto executor = io.get_executor();
    return http::makeServer(
        executor,
        [executor] {
            return executor;
        },
        http::ServerLimits(),
        std::move(handler));
}

auto viewOf(const Endpoint &upstream) -> std::shared_ptr<const membership::ClusterView>
{
    auto view = membership::ClusterView();
    view.revision = Revision(1);
    view.services.push_back({ServiceId("orders"), GroupId("orders-1")});
    auto group = membership::GroupView();
    group.id = GroupId("orders-1");
    group.term = Term(1);
    group.primary = UpstreamId("orders-1a");
    auto member = membership::UpstreamView();
    member.id = UpstreamId("orders-1a");
    member.endpoint = upstream;
    group.members.push_back(member);
    view.groups.push_back(group);
    return std::make_shared<const membership::ClusterView>(view);
}

auto serveDemo(std::uint16_t port) -> void
{
    auto io = asio::io_context();
    const auto upstream = serverOn(io, standin::makeMemberHandler());
    const auto views = std::make_shared<membership::ViewHolder>();
    views->publish(viewOf(upstream->listen({"127.0.0.1", 0})));
    const auto executor = makeDirectExecutor(views, upstreams::makeHttpConnector(io.get_executor()));
    const auto proxy = serverOn(io, callers::makeHandler(executor));
    const auto entry = proxy->listen({"127.0.0.1", port});
    std::cout << "try:\n  curl -s http://127.0.0.1:" << entry.port << "/v1/services/orders/statements -d '{\"sql\":\"select 1\",\"access\":\"read\"}'\n"
              << std::flush;
    support::log(support::Event::ProcessStarted, {{"port", std::uint64_t{entry.port}}});
    auto signals = asio::signal_set(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    io.run();
    support::log(support::Event::ProcessStopped);
}

} // namespace

auto runDemo(Arguments arguments) -> ExitCode
{
    auto port = defaultPort;
    const auto options = std::to_array<option>({
        {"help", no_argument, nullptr, 'h'},
        {"port", required_argument, nullptr, 'p'},
        {nullptr, 0, nullptr, 0},
    });
    for (auto option = 0; (option = getopt_long(static_cast<int>(arguments.size()), arguments.data(), "hp:", options.data(), nullptr)) != -1;) {
        if (option == 'h') {
            std::cout << "usage: sapphirespool demo [--port PORT]\n";
            return ExitCode::Success;
        }
        if (option != 'p') {
            return ExitCode::Usage;
        }
        const auto text = std::string_view(optarg);
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            std::cerr << "--port wants a number from 0 to 65535, not " << text << "\n";
            return ExitCode::Usage;
        }
    }
    support::configureLog(support::LogFormat::Text);
    serveDemo(port);
    return ExitCode::Success;
}

} // namespace sapphirespool::tool
