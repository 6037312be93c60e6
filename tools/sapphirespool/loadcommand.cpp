// loadcommand.cpp: drives callers against a running system and prints what they received.
#include "commands.h"
#include "optionvalues.h"

#include "sapphirespool/Load/loadrun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <getopt.h>

#include <array>
#include <iostream>
#include <limits>
#include <optional>
#include <random>

namespace sapphirespool::tool
{

namespace
{

namespace asio = boost::asio;

constexpr auto usage = R"(usage: sapphirespool load --target ADDRESS:PORT... [OPTIONS]

Sends statements of many callers' sessions, at times that do not depend on the answers, and reports what the callers received.
Writes rows into the table load_entry and compares them at the end with what the callers were told.

  --target ADDRESS:PORT    proxy; may be repeated, sessions roam over all of them
  --direct ADDRESS:PORT    a stand-in that is primary, asked past the proxies first, for comparison
  --service NAME           default orders
  --rate N                 requests a second, default 100
  --write-share P          part of the requests that write, 0 to 1, default 0.2
  --sessions N             sessions, default 50; more are added while all of them wait
  --duration MS            default 10000
  --count N                most requests, default 1000000
  --timeout MS             time that a caller allows, default 2000
  --max-age MS             age that reads accept; default the service's own
  --key-share P            part of the writes with an Idempotency-Key, 0 to 1, default 0
  --seed N                 default 1
  --json                   print JSON instead of tables
  --anywhere               allow targets outside of 127.0.0.0/8
  --help

Exit code 1 if nothing was answered or a promise was broken.
)";

struct LoadOptions
{
    load::LoadSettings settings;
    std::vector<Endpoint> targets;
    std::optional<Endpoint> direct;
    ServiceId service{"orders"};
    bool json = false;
    bool anywhere = false;
    bool help = false;
};

constexpr auto options = std::to_array<option>({
    {"anywhere", no_argument, nullptr, 'a'},
    {"count", required_argument, nullptr, 'c'},
    {"direct", required_argument, nullptr, 'd'},
    {"duration", required_argument, nullptr, 'u'},
    {"help", no_argument, nullptr, 'h'},
    {"json", no_argument, nullptr, 'j'},
    {"key-share", required_argument, nullptr, 'k'},
    {"max-age", required_argument, nullptr, 'm'},
    {"rate", required_argument, nullptr, 'r'},
    {"seed", required_argument, nullptr, 'e'},
    {"service", required_argument, nullptr, 's'},
    {"sessions", required_argument, nullptr, 'n'},
    {"target", required_argument, nullptr, 't'},
    {"timeout", required_argument, nullptr, 'o'},
    {"write-share", required_argument, nullptr, 'w'},
    {nullptr, 0, nullptr, 0},
});

/// Bounds that keep a mistyped number from becoming a flood or a run without an end.
constexpr auto highestRate = 200'000.0;
constexpr auto mostSessions = std::uint64_t{100'000};
constexpr auto mostRequests = std::uint64_t{100'000'000};

/// \return false for an option that is not known; getopt_long has said so
auto take(int option, const char *value, LoadOptions &given) -> bool
{
    auto &settings = given.settings;
    switch (option) {
    case 'a':
        given.anywhere = true;
        return true;
    case 'c':
        settings.mostRequests = wholeNumber("count", value, 1, mostRequests);
        return true;
    case 'd':
        given.direct = endpoint("direct", value);
        return true;
    case 'e':
        settings.arrivals.seed = wholeNumber("seed", value, 0, std::numeric_limits<std::uint64_t>::max());
        return true;
    case 'h':
        given.help = true;
        return true;
    case 'j':
        given.json = true;
        return true;
    case 'k':
        settings.keyShare = realNumber("key-share", value, 0, 1);
        return true;
    case 'm':
        settings.maxAge = milliseconds("max-age", value);
        return true;
    case 'n':
        settings.arrivals.sessions = wholeNumber("sessions", value, 1, mostSessions);
        return true;
    case 'o':
        settings.timeout = milliseconds("timeout", value);
        return true;
    case 'r':
        settings.arrivals.rate = realNumber("rate", value, 0.01, highestRate);
        return true;
    case 's':
        given.service = ServiceId(value);
        return true;
    case 't':
        given.targets.push_back(endpoint("target", value));
        return true;
    case 'u':
        settings.duration = milliseconds("duration", value);
        return true;
    case 'w':
        settings.arrivals.writeShare = realNumber("write-share", value, 0, 1);
        return true;
    default:
        return false;
    }
}

auto refuseRemote(const Endpoint &target) -> void
{
    if (!load::isLocal(target)) {
        throw OptionError(target.address + " is outside of 127.0.0.0/8; add --anywhere if the load is meant for it");
    }
}

auto check(const LoadOptions &given) -> void
{
    if (given.targets.empty() && !given.direct) {
        throw OptionError("load wants --target or --direct; see --help");
    }
    if (given.anywhere) {
        return;
    }
    for (const auto &target : given.targets) {
        refuseRemote(target);
    }
    if (given.direct) {
        refuseRemote(*given.direct);
    }
}

auto parse(Arguments arguments) -> std::optional<LoadOptions>
{
    auto given = LoadOptions();
    const auto count = static_cast<int>(arguments.size());
    for (auto option = 0; (option = getopt_long(count, arguments.data(), "h", options.data(), nullptr)) != -1;) {
        if (!take(option, optarg, given)) {
            return std::nullopt;
        }
    }
    if (given.help) {
        return given;
    }
    if (optind != count) {
        throw OptionError("load wants nothing that is no option; see --help");
    }
    check(given);
    return given;
}

auto run(load::LoadSettings settings, std::vector<std::shared_ptr<load::Target>> targets, asio::io_context &io) -> std::optional<load::Report>
{
    // Rows of an earlier run with the same seed must not be taken for doubled writes of this one.
    settings.name = std::to_string(std::random_device{}()) + "-" + std::to_string(settings.arrivals.seed);
    auto result = std::optional<load::Report>();
    auto failure = std::exception_ptr();
    asio::co_spawn(
        io, load::runLoad(io.get_executor(), std::move(settings), std::move(targets)), [&](std::exception_ptr error, std::optional<load::Report> report) {
            result = std::move(report);
            failure = std::move(error);
        });
    io.restart();
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return result;
}

auto print(std::string_view name, const std::optional<load::Report> &report, bool json) -> bool
{
    if (!report) {
        std::cerr << name << ": the table could not be created; check that the system runs and serves the service\n";
        return false;
    }
    if (json) {
        auto object = load::toJson(*report);
        object["path"] = name;
        std::cout << boost::json::serialize(object) << "\n";
    } else {
        std::cout << name << "\n" << load::toTable(*report) << "\n";
    }
    return report->reads.answered + report->writes.answered > 0 && load::keptPromises(report->violations);
}

auto drive(const LoadOptions &given) -> ExitCode
{
    auto io = asio::io_context();
    auto good = true;
    if (given.direct) {
        good = print("direct", run(given.settings, {load::makeDirectTarget(io.get_executor(), *given.direct)}, io), given.json) && good;
    }
    auto proxies = std::vector<std::shared_ptr<load::Target>>();
    for (const auto &target : given.targets) {
        proxies.push_back(load::makeProxyTarget(io.get_executor(), target, given.service));
    }
    if (!proxies.empty()) {
        good = print("through proxies", run(given.settings, std::move(proxies), io), given.json) && good;
    }
    return good ? ExitCode::Success : ExitCode::Failed;
}

} // namespace

auto runLoad(Arguments arguments) -> ExitCode
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
        return drive(*given);
    } catch (const OptionError &error) {
        std::cerr << error.what() << "\n";
        return ExitCode::Usage;
    }
}

} // namespace sapphirespool::tool
