// democommand.cpp: a whole system in one process: three control VMs, two of them proxies, before two database groups.
#include "commands.h"
#include "demomembers.h"
#include "options.h"
#include "stopsignal.h"

#include "sapphirespool/Node/node.h"
#include "sapphirespool/Operators/client.h"
#include "sapphirespool/Support/log.h"

#include <unistd.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sapphirespool::tool
{

namespace
{

constexpr auto help = R"(usage: sapphirespool demo [--port PORT]

Serves a whole system in one process on 127.0.0.1 until SIGINT or SIGTERM, with stand-in databases in memory.

  --port PORT   where the first proxy accepts callers and operators (8480); the seven ports after it are used too

exit codes: 0 stopped as asked, 1 cannot start, 2 wrong command line
)";

constexpr auto defaultPort = std::uint64_t{8480};
/// The demo's address plan takes this many ports.
constexpr auto portCount = std::uint16_t{8};
constexpr auto address = std::string_view("127.0.0.1");

constexpr auto text = std::string_view(R"(services:
  bookings:
    group: bookings
    timeout: 2s
  tracking:
    group: tracking
    read_age: 5s
    timeout: 1s
)");

/// A folder for the control VMs' state that goes with the demo.
class ScratchFolder
{
public:
    ScratchFolder()
        : path(std::filesystem::temp_directory_path() / ("sapphirespool-demo-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(this->path);
    }

    ~ScratchFolder()
    {
        auto ignored = std::error_code();
        std::filesystem::remove_all(this->path, ignored);
    }

    ScratchFolder(const ScratchFolder &) = delete;
    auto operator=(const ScratchFolder &) -> ScratchFolder & = delete;

    const std::filesystem::path path;
};

auto at(std::uint16_t port) -> Endpoint
{
    return {std::string(address), port};
}

/// Ports: callers of both proxies, their peers, then the three control VMs.
auto vmSettings(std::size_t place, std::uint16_t port, const std::filesystem::path &folder) -> settings::Settings
{
    constexpr auto zones = std::to_array<std::string_view>({"hobart", "launceston", "devonport"});
    auto vm = settings::Settings();
    // No process ran before those of the demo, so none can have forgotten a key.
    vm.keyWarmup = std::chrono::milliseconds(0);
    for (std::size_t member = 0; member < zones.size(); ++member) {
        vm.controlMembers.push_back({VmId(std::string(zones[member]) + "-1"), at(static_cast<std::uint16_t>(port + 4 + member))});
    }
    vm.vm = vm.controlMembers[place].vm;
    vm.zone = ZoneId(std::string(zones[place]));
    vm.control = true;
    vm.proxy = place < 2;
    vm.callers = at(static_cast<std::uint16_t>(port + place));
    vm.peers = at(static_cast<std::uint16_t>(port + 2 + place));
    vm.dataFolder = folder / vm.vm.value();
    // Nothing stands before the demo that would have to notice its end.
    vm.shutdown = {std::chrono::milliseconds(0), std::chrono::milliseconds(2'000)};
    return vm;
}

/// Applies the demo's services until control has elected a leader and takes them.
auto applyText(const Endpoint &proxy) -> bool
{
    const auto client = operators::Client(proxy, std::chrono::seconds(2));
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (std::chrono::steady_clock::now() < end) {
        const auto outcome = client.putConfiguration({std::string(text), 0, "demo"});
        const auto *const reply = std::get_if<operators::Reply>(&outcome);
        if (reply != nullptr && reply->status == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

auto printLines(std::uint16_t port, const DemoMembers &members) -> void
{
    const auto first = std::string(address) + ":" + std::to_string(port);
    const auto second = std::string(address) + ":" + std::to_string(port + 1);
    const auto member = members.firstMember();
    const auto upstream = member.address + ":" + std::to_string(member.port);
    std::cout << "two proxies: " << first << " and " << second << "; try:\n"
              << "  curl -s " << first
              << R"json(/v1/services/bookings/statements -d '{"sql":"create table label(id integer, name text)","access":"write"}')json"
              << "\n  curl -s -c jar " << first
              << R"json(/v1/services/bookings/statements -d '{"sql":"insert into label values (1, ?)","params":["shears"],"access":"write"}')json"
              << "\n  curl -s -b jar -c jar " << second << R"json(/v1/services/bookings/statements -d '{"sql":"select * from label","access":"read"}')json"
              << "\n  curl -s " << first << "/v1/status\n  curl -s " << first << "/metrics\n"
              << "see a promotion: stop a member for 5 s, or cut it off, and ask for the status or write again; bookings-a is\n"
              << "  curl -s " << upstream << R"json(/standin/faults -d '{"member":"Stopped","forMs":5000}')json"
              << "\n  curl -s " << upstream << R"json(/standin/faults -d '{"member":"CutOff","forMs":5000}')json"
              << "\n"
              << std::flush;
}

auto serveDemo(std::uint16_t port) -> ExitCode
{
    auto stop = StopSignal();
    const auto scratch = ScratchFolder();
    auto nodes = std::vector<std::unique_ptr<node::Node>>();
    for (std::size_t place = 0; place < 3; ++place) {
        nodes.push_back(node::makeNode(vmSettings(place, port, scratch.path)));
        nodes.back()->start();
    }
    auto members = std::make_unique<DemoMembers>(std::vector<Endpoint>{at(port), at(static_cast<std::uint16_t>(port + 1))});
    if (!applyText(at(port))) {
        std::cerr << "control did not take the demo's services within 30 s; see the log\n";
        return ExitCode::Failed;
    }
    printLines(port, *members);
    stop.waitForStop();
    // Proxies first, while control still leads: they hand their leases back.
    for (const auto &node : nodes) {
        node->drain();
    }
    return ExitCode::Success;
}

} // namespace

auto runDemo(Arguments arguments) -> ExitCode
{
    auto options = Options(arguments, help, {{"port", true}});
    if (options.verdict()) {
        return *options.verdict();
    }
    const auto port = options.has("port") ? options.number("port") : defaultPort;
    constexpr auto highest = std::numeric_limits<std::uint16_t>::max() - portCount;
    if (!options.operands().empty() || !port || *port == 0 || *port > highest) {
        return options.reject("--port wants a number from 1 to " + std::to_string(highest));
    }
    support::configureLog(support::LogFormat::Text);
    try {
        return serveDemo(static_cast<std::uint16_t>(*port));
    } catch (const node::StartFailure &failure) {
        std::cerr << failure.what() << "\n";
        return ExitCode::Failed;
    }
}

} // namespace sapphirespool::tool
