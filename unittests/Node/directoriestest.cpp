#include "sapphirespool/Control/proxylink.h"
#include "sapphirespool/Node/node.h"
#include "sapphirespool/Rpc/connection.h"
#include "sapphirespool/Support/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <control.capnp.h>

#include <unistd.h>

#include <array>
#include <filesystem>
#include <functional>
#include <future>
#include <set>
#include <string>
#include <thread>

namespace sapphirespool::node
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Ends a test that hangs; nothing is measured against it.
constexpr auto patience = 30s;

constexpr auto directoryCount = std::size_t{3};
constexpr auto controlCount = std::size_t{3};

auto freeEndpoints(std::size_t count) -> std::vector<Endpoint>
{
    auto io = asio::io_context();
    auto held = std::vector<asio::ip::tcp::acceptor>();
    auto endpoints = std::vector<Endpoint>();
    for (std::size_t place = 0; place < count; ++place) {
        held.emplace_back(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        endpoints.push_back({"127.0.0.1", held.back().local_endpoint().port()});
    }
    return endpoints;
}

auto until(const std::function<bool()> &condition) -> bool
{
    const auto end = support::now() + patience;
    while (!condition()) {
        if (support::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

/// Three directories, which are the seeds of all, and three control VMs, of which a further one may take the place of another.
class SeededSystem
{
public:
    ~SeededSystem()
    {
        this->stopAll();
        std::filesystem::remove_all(this->folder);
    }

    SeededSystem() = default;
    SeededSystem(const SeededSystem &) = delete;
    auto operator=(const SeededSystem &) -> SeededSystem & = delete;

    auto startAll(bool firstStart) -> void
    {
        for (std::size_t place = 0; place < controlCount; ++place) {
            this->startControl(place, firstStart);
        }
        for (std::size_t place = 0; place < directoryCount; ++place) {
            this->directories[place] = this->started(this->directorySettings(place));
        }
    }

    auto stopAll() -> void
    {
        for (auto &node : this->controlVms) {
            node.reset();
        }
        for (auto &node : this->directories) {
            node.reset();
        }
    }

    auto startControl(std::size_t place, bool firstStart) -> void
    {
        auto vm = this->seeded("control-" + std::to_string(place), directoryCount + place);
        vm.control = true;
        vm.firstStart = firstStart;
        vm.dataFolder = this->folder / vm.vm.value();
        vm.controlLosses = 1;
        this->controlVms[place] = this->started(vm);
    }

    auto stopControl(std::size_t place) -> void
    {
        this->controlVms[place].reset();
    }

    /// \return whether a proxy that has just started gets a lease
    auto proxyGetsLease() const -> bool
    {
        auto loop = rpc::LoopThread();
        auto settings = control::ProxyLinkSettings{VmId("proxy"), ZoneId("zone"), Incarnation(1), {"127.0.0.1", 1}, {"127.0.0.1", 2}};
        settings.controlVms.assign(this->ports.begin(), this->ports.begin() + directoryCount);
        settings.foundBySeeds = true;
        const auto holder = std::make_shared<membership::ViewHolder>();
        const auto link = control::makeProxyLink(loop, settings, holder);
        return until([&holder] {
            return holder->leaseLive(support::now());
        });
    }

    /// \return the VMs that the first directory knows to be in the group
    auto groupAtDirectory() const -> std::set<std::string>
    {
        auto loop = rpc::LoopThread();
        auto names = std::promise<std::set<std::string>>();
        auto call = kj::Promise<void>(nullptr);
        loop.post([&](rpc::LoopContext &context) {
            call = rpc::connect(context, this->ports.front(), rpc::connectLimit)
                       .then([&names](kj::Own<rpc::Connection> connected) {
                           auto sent = connected->bootstrap().castAs<schema::Directory>().exchangeRequest().send();
                           return sent
                               .then([&names](capnp::Response<schema::Directory::ExchangeResults> &&response) {
                                   auto members = std::set<std::string>();
                                   for (const auto known : response.getKnown()) {
                                       if (known.getGroupSize() > 0) {
                                           members.insert(known.getVm().cStr());
                                       }
                                   }
                                   names.set_value(members);
                               })
                               .attach(kj::mv(connected));
                       })
                       .eagerlyEvaluate(nullptr);
        });
        auto got = names.get_future().get();
        auto ended = std::promise<void>();
        loop.post([&call, &ended](rpc::LoopContext &) {
            call = nullptr;
            ended.set_value();
        });
        ended.get_future().wait();
        return got;
    }

private:
    auto seeded(const std::string &name, std::size_t port) const -> settings::Settings
    {
        auto vm = settings::Settings();
        vm.vm = VmId(name);
        vm.zone = ZoneId("zone");
        vm.controlFoundBySeeds = true;
        vm.controlAddress = this->ports[port];
        for (std::size_t place = 0; place < directoryCount; ++place) {
            vm.controlMembers.push_back({VmId("directory-" + std::to_string(place)), this->ports[place]});
        }
        return vm;
    }

    auto directorySettings(std::size_t place) const -> settings::Settings
    {
        auto vm = this->seeded("directory-" + std::to_string(place), place);
        vm.operatorsOnly = true;
        return vm;
    }

    static auto started(const settings::Settings &vm) -> std::unique_ptr<Node>
    {
        auto node = makeNode(vm);
        node->start();
        return node;
    }

    std::vector<Endpoint> ports = freeEndpoints(directoryCount + controlCount + 1);
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("sapphirespool-directories-" + std::to_string(getpid()));
    std::array<std::unique_ptr<Node>, directoryCount> directories;
    std::array<std::unique_ptr<Node>, controlCount + 1> controlVms;
};

} // namespace

// Failure: all seeds are VMs without a disk. Nobody founds the group, or after a power loss of all VMs no proxy finds it again.
TEST_CASE("with seeds that are all directories a group is founded, found again after a restart of all, and joined at a new address")
{
    auto system = SeededSystem();
    system.startAll(true);
    REQUIRE(system.proxyGetsLease());
    REQUIRE(until([&system] {
        return system.groupAtDirectory().size() == controlCount;
    }));

    system.stopAll();
    system.startAll(false);
    REQUIRE(system.proxyGetsLease());

    system.stopControl(0);
    system.startControl(controlCount, false);
    CHECK(until([&system] {
        return system.groupAtDirectory() == std::set<std::string>{"control-1", "control-2", "control-3"};
    }));
    CHECK(system.proxyGetsLease());
}

} // namespace sapphirespool::node
