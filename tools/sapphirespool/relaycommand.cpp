// relaycommand.cpp: ways between processes that misbehave, for the fault soak.
#include "commands.h"
#include "optionvalues.h"

#include "sapphirespool/Load/target.h"
#include "sapphirespool/Standin/relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <getopt.h>

#include <array>
#include <csignal>
#include <iostream>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespool::tool
{

namespace
{

namespace asio = boost::asio;

constexpr auto usage = R"(usage: sapphirespool relay --route ADDRESS:PORT=ADDRESS:PORT... [OPTIONS]

Passes connections from the first address of each route on to the second, until SIGINT or SIGTERM. From time to time a route delays
bytes, resets its connections, holds the bytes of one direction, or of both; it prints a line for each beginning and end.

  --route FROM=TO          may be repeated; each route has troubles of its own
  --calm MS                mean time without trouble of a route, default 4000; 0: never any
  --longest MS             longest trouble, default 2000
  --seed N                 default 1
  --help
)";

struct Options
{
    std::vector<standin::RelaySettings> routes;
    standin::RelaySettings common;
    bool help = false;
};

constexpr auto options = std::to_array<option>({
    {"calm", required_argument, nullptr, 'c'},
    {"help", no_argument, nullptr, 'h'},
    {"longest", required_argument, nullptr, 'l'},
    {"route", required_argument, nullptr, 'r'},
    {"seed", required_argument, nullptr, 's'},
    {nullptr, 0, nullptr, 0},
});

auto routeOf(std::string_view text) -> standin::RelaySettings
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos) {
        throw OptionError("--route wants FROM=TO, not " + std::string(text));
    }
    auto route = standin::RelaySettings();
    route.listen = endpoint("route", text.substr(0, equals));
    route.target = endpoint("route", text.substr(equals + 1));
    if (!load::isLocal(route.listen) || !load::isLocal(route.target)) {
        throw OptionError("--route takes addresses in 127.0.0.0/8 only");
    }
    return route;
}

/// \return false for an option that is not known; getopt_long has said so
auto take(int option, const char *value, Options &given) -> bool
{
    switch (option) {
    case 'c':
        given.common.calm = milliseconds("calm", value);
        return true;
    case 'h':
        given.help = true;
        return true;
    case 'l':
        given.common.longestTrouble = milliseconds("longest", value);
        return true;
    case 'r':
        given.routes.push_back(routeOf(value));
        return true;
    case 's':
        given.common.seed = wholeNumber("seed", value, 0, std::numeric_limits<std::uint32_t>::max());
        return true;
    default:
        return false;
    }
}

auto parse(Arguments arguments) -> std::optional<Options>
{
    auto given = Options();
    given.common.calm = std::chrono::milliseconds(4'000);
    const auto count = static_cast<int>(arguments.size());
    for (auto option = 0; (option = getopt_long(count, arguments.data(), "h", options.data(), nullptr)) != -1;) {
        if (!take(option, optarg, given)) {
            return std::nullopt;
        }
    }
    if (!given.help && (given.routes.empty() || optind != count)) {
        throw OptionError("relay wants --route and nothing that is no option; see --help");
    }
    return given;
}

auto serve(const Options &given) -> void
{
    auto io = asio::io_context();
    auto relays = std::vector<std::shared_ptr<standin::Relay>>();
    for (auto route : given.routes) {
        route.calm = given.common.calm;
        route.longestTrouble = given.common.longestTrouble;
        route.seed = given.common.seed * given.routes.size() + relays.size();
        const auto told = [address = route.listen.address](standin::RelayTrouble trouble) {
            std::cout << address << " " << standin::name(trouble) << "\n" << std::flush;
        };
        relays.push_back(standin::makeRelay(io.get_executor(), std::move(route)));
        relays.back()->start(told);
    }
    auto signals = asio::signal_set(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    io.run();
}

} // namespace

auto runRelay(Arguments arguments) -> ExitCode
{
    try {
        const auto given = parse(arguments);
        if (!given) {
            return ExitCode::Usage;
        }
        if (given->help) {
            std::cout << usage;
            return ExitCode::Success;
        }
        serve(*given);
        return ExitCode::Success;
    } catch (const OptionError &error) {
        std::cerr << error.what() << "\n";
        return ExitCode::Usage;
    }
}

} // namespace sapphirespool::tool
