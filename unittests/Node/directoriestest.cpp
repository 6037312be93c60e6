#include "sapphirespool/Configuration/reader.h"
#include "sapphirespool/Control/proxylink.h"
#include "sapphirespool/Node/edge.h"
#include "sapphirespool/Node/node.h"
#include "sapphirespool/Operators/handler.h"
#include "sapphirespool/Platform/httpgroupoperator.h"
#include "sapphirespool/Rpc/connection.h"
#include "sapphirespool/Support/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <control.capnp.h>

#include <unistd.h>

#include <algorithm>
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
/// Its directory comes after those of the control VMs and their replacement, then its address for operators.
constexpr auto outsiderPlace = directoryCount + controlCount + 1;

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

/// The operators' interface of a directory; nothing else of the world around.
class OperatorsEdge : public Edge
{
public:
    [[nodiscard]] auto configurationReader() -> std::shared_ptr<const configuration::Reader> override
    {
        return configuration::makeYamlReader();
    }

    [[nodiscard]] auto groupOperator(const asio::any_io_executor &executor, const settings::Settings &) -> std::shared_ptr<platform::GroupOperator> override
    {
        return platform::makeHttpGroupOperator(executor);
    }

    [[nodiscard]] auto controlHandler(std::shared_ptr<membership::ControlLink> control, std::shared_ptr<membership::ViewHolder>)
        -> std::shared_ptr<http::Handler> override
    {
        return operators::makeHandler(std::move(control));
    }

    [[nodiscard]] auto upstreamConnector(const asio::any_io_executor &) -> std::shared_ptr<interactive::UpstreamConnector> override
    {
        return nullptr;
    }

    [[nodiscard]] auto callerServer(const asio::any_io_executor &, std::shared_ptr<interactive::SessionService>) -> std::shared_ptr<CallerServer> override
    {
        return nullptr;
    }
};

/// Three directories, which are the seeds of all but of control VMs at the first start, when one is the first control VM; and three control VMs, of which
/// a further one may take the place of another.
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

    auto stopSeeds() -> void
    {
        for (auto &node : this->directories) {
            node.reset();
        }
    }

    /// Starts a directory, or starts it anew, that is nobody's seed and has an interface for operators.
    auto startOutsider() -> void
    {
        this->outsider.reset();
        auto vm = this->seeded("outsider", outsiderPlace);
        vm.operatorsOnly = true;
        vm.operators = this->ports[outsiderPlace + 1];
        this->outsider = makeNode(vm, std::make_shared<OperatorsEdge>());
        this->outsider->start();
    }

    auto stopAll() -> void
    {
        this->outsider.reset();
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
        if (firstStart) {
            vm.controlMembers.back() = {VmId("control-0"), this->ports[directoryCount]};
        }
        this->controlVms[place] = this->started(vm);
    }

    auto stopControl(std::size_t place) -> void
    {
        this->controlVms[place].reset();
    }

    /// Asks a control VM to stop, as an operator does.
    auto drainControl(std::size_t place) -> void
    {
        this->controlVms[place]->drain();
        this->controlVms[place].reset();
    }

    /// Starts a control VM anew with an empty disk.
    auto loseDisk(std::size_t place) -> void
    {
        this->controlVms[place].reset();
        std::filesystem::remove_all(this->folder / ("control-" + std::to_string(place)));
        this->startControl(place, false);
    }

    /// \return whether a proxy that has just started gets a lease
    auto proxyGetsLease() const -> bool
    {
        return this->withProxy([](membership::ControlLink &) {});
    }

    /// \return whether the outsider has registered
    auto outsiderIsRegistered() const -> bool
    {
        auto registered = false;
        const auto asked = this->withProxy([&registered](membership::ControlLink &link) {
            auto answer = std::promise<membership::ClusterStatusOutcome>();
            link.readStatus([&answer](membership::ClusterStatusOutcome outcome) {
                answer.set_value(std::move(outcome));
            });
            const auto status = std::get<membership::ClusterStatus>(answer.get_future().get());
            registered = std::any_of(status.vms.begin(), status.vms.end(), [](const membership::VmStatus &vm) {
                return vm.vm == VmId("outsider-operators");
            });
        });
        return asked && registered;
    }

    /// Runs \p work with the link of a proxy that has just started, once it has a lease.
    /// \return whether it gets one
    auto withProxy(const std::function<void(membership::ControlLink &)> &work) const -> bool
    {
        auto loop = rpc::LoopThread();
        auto settings = control::ProxyLinkSettings{VmId("proxy"), ZoneId("zone"), Incarnation(1), {"127.0.0.1", 1}, {"127.0.0.1", 2}};
        settings.controlVms.assign(this->ports.begin(), this->ports.begin() + directoryCount);
        settings.foundBySeeds = true;
        const auto holder = std::make_shared<membership::ViewHolder>();
        const auto link = control::makeProxyLink(loop, settings, holder);
        const auto served = until([&holder] {
            return holder->leaseLive(support::now());
        });
        if (served) {
            work(*link);
        }
        return served;
    }

    /// \return the VMs that a directory knows to be in the group; none if it does not answer
    auto groupAtDirectory(std::size_t place = 0) const -> std::set<std::string>
    {
        auto loop = rpc::LoopThread();
        auto names = std::promise<std::set<std::string>>();
        auto call = kj::Promise<void>(nullptr);
        loop.post([&](rpc::LoopContext &context) {
            call = rpc::connect(context, this->ports[place], rpc::connectLimit)
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
                       .catch_([&names](kj::Exception &&) {
                           names.set_value({});
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

    std::vector<Endpoint> ports = freeEndpoints(outsiderPlace + 2);
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("sapphirespool-directories-" + std::to_string(getpid()));
    std::array<std::unique_ptr<Node>, directoryCount> directories;
    std::array<std::unique_ptr<Node>, controlCount + 1> controlVms;
    std::unique_ptr<Node> outsider;
};

} // namespace

// Failure: all seeds are VMs without a disk since a change of the seeds, and after a power loss of all VMs no proxy finds the group again.
TEST_CASE("a group founded with one control VM among the seeds is found and joined by directories alone after a restart of all")
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

// Failure: a control VM that was replaced as planned still counts as a voter when the next disk is lost, and nobody can accept a configuration again.
TEST_CASE("a control VM that is replaced as planned ends once its successor votes, and the next lost disk is borne")
{
    auto system = SeededSystem();
    system.startAll(true);
    REQUIRE(system.proxyGetsLease());
    system.startControl(controlCount, false);
    REQUIRE(until([&system] {
        return system.groupAtDirectory().size() == controlCount + 1;
    }));
    // The VM may end before the limit only with the consent of the group.
    const auto begin = support::now();
    system.drainControl(2);
    CHECK(support::now() - begin < 4s);
    system.loseDisk(0);
    CHECK(system.proxyGetsLease());
}

// Failure: a directory restarts while all its seeds are down, and neither it nor those who ask it find the control VMs again.
TEST_CASE("control VMs announce themselves to a directory that registered, whatever became of its seeds")
{
    auto system = SeededSystem();
    system.startAll(true);
    system.startOutsider();
    REQUIRE(until([&system] {
        return system.outsiderIsRegistered();
    }));
    system.stopSeeds();
    system.startOutsider();
    CHECK(until([&system] {
        return system.groupAtDirectory(outsiderPlace).size() == controlCount;
    }));
}

} // namespace sapphirespool::node
