// standincommand.cpp: one stand-in member of a database group as a process of its own.
#include "commands.h"
#include "optionvalues.h"

#include "sapphirespool/Standin/member.h"
#include "sapphirespool/Support/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <getopt.h>

#include <array>
#include <csignal>
#include <iostream>
#include <limits>
#include <optional>

namespace sapphirespool::tool
{

namespace
{

namespace asio = boost::asio;

constexpr auto usage = R"(usage: sapphirespool standin --group GROUP --id NAME [OPTIONS]

Serves one member of a database group with SQLite inside, as docs/PLATFORM.md describes, until SIGINT or SIGTERM.

  --group GROUP            database group
  --id NAME                name of the member, unique in the system
  --zone ZONE              availability zone
  --listen ADDRESS:PORT    default 127.0.0.1:0, a free port
  --proxy ADDRESS:PORT     proxy to announce the member to; may be repeated
  --slots N                statements at a time, default 5
  --connections N          connections that carry statements, default 35
  --connect-cost MS        time until a new connection answers, default 12
  --service-time US        microseconds for which a statement holds its slot, default 0
  --lag MS                 time by which a replica's reads stay behind, default 0
  --replication-delay MS   time by which a replica asks for the log later, default 0
  --data FOLDER            keep the log over a restart
  --log-format FORMAT      text or json, default text
  --help

POST /standin/faults stops, cuts off, freezes or heals it: {"member":"Stopped"|"CutOff"|"Frozen"|"None","forMs":5000}
)";

struct StandinOptions
{
    standin::MemberSettings settings;
    support::LogFormat logFormat = support::LogFormat::Text;
    bool help = false;
};

constexpr auto options = std::to_array<option>({
    {"connect-cost", required_argument, nullptr, 'c'},
    {"connections", required_argument, nullptr, 'n'},
    {"data", required_argument, nullptr, 'd'},
    {"group", required_argument, nullptr, 'g'},
    {"help", no_argument, nullptr, 'h'},
    {"id", required_argument, nullptr, 'i'},
    {"lag", required_argument, nullptr, 'a'},
    {"listen", required_argument, nullptr, 'l'},
    {"log-format", required_argument, nullptr, 'f'},
    {"proxy", required_argument, nullptr, 'p'},
    {"replication-delay", required_argument, nullptr, 'r'},
    {"service-time", required_argument, nullptr, 't'},
    {"slots", required_argument, nullptr, 's'},
    {"zone", required_argument, nullptr, 'z'},
    {nullptr, 0, nullptr, 0},
});

auto logFormat(std::string_view text) -> support::LogFormat
{
    if (text != "text" && text != "json") {
        throw OptionError("--log-format wants text or json, not " + std::string(text));
    }
    return text == "json" ? support::LogFormat::Json : support::LogFormat::Text;
}

auto positiveCount(std::string_view option, std::string_view text) -> std::uint32_t
{
    return static_cast<std::uint32_t>(wholeNumber(option, text, 1, std::numeric_limits<std::uint32_t>::max()));
}

/// \return false for an option that is not known; getopt_long has said so
auto take(int option, const char *value, StandinOptions &given) -> bool
{
    auto &settings = given.settings;
    switch (option) {
    case 'a':
        settings.lag = milliseconds("lag", value);
        return true;
    case 'c':
        settings.connectCost = milliseconds("connect-cost", value);
        return true;
    case 'd':
        settings.dataFolder = value;
        return true;
    case 'f':
        given.logFormat = logFormat(value);
        return true;
    case 'g':
        settings.group = GroupId(value);
        return true;
    case 'h':
        given.help = true;
        return true;
    case 'i':
        settings.id = UpstreamId(value);
        return true;
    case 'l':
        settings.listen = endpoint("listen", value);
        return true;
    case 'n':
        settings.connectionLimit = positiveCount("connections", value);
        return true;
    case 'p':
        settings.proxies.push_back(endpoint("proxy", value));
        return true;
    case 'r':
        settings.replicationDelay = milliseconds("replication-delay", value);
        return true;
    case 's':
        settings.slots = positiveCount("slots", value);
        return true;
    case 't':
        settings.serviceTime = std::chrono::microseconds(wholeNumber("service-time", value, 0, 60'000'000));
        return true;
    case 'z':
        settings.zone = ZoneId(value);
        return true;
    default:
        return false;
    }
}

auto parse(Arguments arguments) -> std::optional<StandinOptions>
{
    auto given = StandinOptions();
    const auto count = static_cast<int>(arguments.size());
    for (auto option = 0; (option = getopt_long(count, arguments.data(), "h", options.data(), nullptr)) != -1;) {
        if (!take(option, optarg, given)) {
            return std::nullopt;
        }
    }
    const auto named = !given.settings.group.value().empty() && !given.settings.id.value().empty();
    if (!given.help && (!named || optind != count)) {
        throw OptionError("standin wants --group and --id and nothing that is no option; see --help");
    }
    return given;
}

auto serve(const standin::MemberSettings &settings) -> void
{
    auto io = asio::io_context();
    const auto member = standin::makeMember(io.get_executor(), settings);
    const auto bound = member->start();
    std::cout << bound.address << ":" << bound.port << "\n" << std::flush;
    auto signals = asio::signal_set(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    io.run();
    support::log(support::Event::ProcessStopped);
}

} // namespace

auto runStandin(Arguments arguments) -> ExitCode
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
        support::configureLog(given->logFormat);
        serve(given->settings);
        return ExitCode::Success;
    } catch (const OptionError &error) {
        std::cerr << error.what() << "\n";
        return ExitCode::Usage;
    }
}

} // namespace sapphirespool::tool
