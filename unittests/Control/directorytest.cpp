#include "sapphirespool/Control/directory.h"

#include "../../lib/Control/codec.h"
#include "../../lib/Control/ownentry.h"
#include "fakes.h"
#include "sapphirespool/Control/announcer.h"
#include "sapphirespool/Control/proxylink.h"
#include "sapphirespool/Rpc/connection.h"
#include "sapphirespool/Support/clock.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <utility>

namespace sapphirespool::control
{

namespace
{

using namespace std::chrono_literals;

/// \return whether \p condition holds within ten seconds
auto eventually(const std::function<bool()> &condition) -> bool
{
    const auto end = support::now() + 10s;
    while (!condition()) {
        if (support::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

/// A port that is bound and on which nobody answers: connections are accepted by the kernel only.
class MuteVm
{
public:
    explicit MuteVm(rpc::LoopThread &loop)
        : loop(loop)
    {
        runOn(this->loop, [this](rpc::LoopContext &context) {
            this->parsing = context.network.parseAddress("127.0.0.1", 0).then([this](kj::Own<kj::NetworkAddress> address) {
                this->receiver = address->listen();
                this->port = static_cast<std::uint16_t>(this->receiver->getPort());
            });
            this->parsing = this->parsing.eagerlyEvaluate(nullptr);
        });
        waitUntil([this] {
            return this->port != 0;
        });
    }

    ~MuteVm()
    {
        runOn(this->loop, [this](rpc::LoopContext &) {
            this->parsing = nullptr;
            this->receiver = nullptr;
        });
    }

    MuteVm(const MuteVm &) = delete;
    auto operator=(const MuteVm &) -> MuteVm & = delete;

    [[nodiscard]] auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", this->port};
    }

private:
    rpc::LoopThread &loop;
    kj::Promise<void> parsing = nullptr;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::atomic<std::uint16_t> port{0};
};

/// A control VM that leads and announces itself.
class AnnouncedVm
{
public:
    AnnouncedVm(rpc::LoopThread &loop, std::vector<Endpoint> seeds, const std::string &vm = "leader")
        : loop(loop)
    {
        this->replica.vm = VmId(vm);
        this->replica.leads = true;
        runOn(this->loop, [this](rpc::LoopContext &context) {
            this->server = serveControl(context, Endpoint{"127.0.0.1", 0}, this->replica, this->service);
        });
        this->replica.endpoint = portOf(this->loop, this->server);
        this->replica.leaderEndpoint = this->replica.endpoint;
        runOn(this->loop, [this, &seeds](rpc::LoopContext &context) {
            auto settings = AnnouncerSettings();
            settings.zone = ZoneId("z");
            settings.seeds = std::move(seeds);
            settings.directories = [this] {
                return this->directories;
            };
            this->announcer = makeAnnouncer(context, std::move(settings), this->replica);
        });
    }

    ~AnnouncedVm()
    {
        runOn(this->loop, [this](rpc::LoopContext &) {
            this->announcer.reset();
            this->server.reset();
        });
    }

    AnnouncedVm(const AnnouncedVm &) = delete;
    auto operator=(const AnnouncedVm &) -> AnnouncedVm & = delete;

    FakeReplica replica;
    FakeService service;
    /// Touched on the loop.
    std::vector<Endpoint> directories;

private:
    rpc::LoopThread &loop;
    std::unique_ptr<ControlServer> server;
    std::unique_ptr<Announcer> announcer;
};

/// A directory that can be restarted at its address.
class OneDirectory
{
public:
    explicit OneDirectory(rpc::LoopThread &loop, std::vector<Endpoint> seeds = {})
        : loop(loop)
        , seeds(std::move(seeds))
    {
        this->start();
    }

    ~OneDirectory()
    {
        this->stop();
    }

    OneDirectory(const OneDirectory &) = delete;
    auto operator=(const OneDirectory &) -> OneDirectory & = delete;

    auto start() -> void
    {
        runOn(this->loop, [this](rpc::LoopContext &context) {
            auto settings = DirectorySettings();
            settings.vm = VmId("directory");
            settings.endpoint = this->endpoint;
            settings.seeds = this->seeds;
            this->directory = serveDirectory(context, std::move(settings));
        });
        this->endpoint = portOf(this->loop, this->directory);
    }

    auto stop() -> void
    {
        runOn(this->loop, [this](rpc::LoopContext &) {
            this->directory.reset();
        });
    }

    auto noteLease(std::vector<Endpoint> controlVms) -> void
    {
        runOn(this->loop, [this, &controlVms](rpc::LoopContext &) {
            this->directory->noteLease(std::move(controlVms));
        });
    }

    Endpoint endpoint{"127.0.0.1", 0};

private:
    rpc::LoopThread &loop;
    std::vector<Endpoint> seeds;
    std::unique_ptr<Directory> directory;
};

/// A proxy that knows only \p seeds.
class SeededProxy
{
public:
    SeededProxy(rpc::LoopThread &loop, std::vector<Endpoint> seeds)
    {
        auto settings = ProxyLinkSettings{VmId("p"), ZoneId("z"), Incarnation(1)};
        settings.controlVms = std::move(seeds);
        settings.foundBySeeds = true;
        this->link = makeProxyLink(loop, settings, this->holder);
    }

    /// \return whether control grants it a lease within \p limit
    [[nodiscard]] auto getsLease(std::chrono::milliseconds limit = 10s) const -> bool
    {
        const auto end = support::now() + limit;
        while (!this->holder->leaseLive(support::now())) {
            if (support::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(1ms);
        }
        return true;
    }

    std::shared_ptr<membership::ViewHolder> holder = std::make_shared<membership::ViewHolder>();
    std::shared_ptr<membership::ControlLink> link;
};

/// \return what the redirect of the VM at \p endpoint names: the leader, then the other control VMs
auto redirectOf(rpc::LoopThread &loop, const Endpoint &endpoint) -> std::pair<Endpoint, std::vector<Endpoint>>
{
    auto result = std::promise<std::pair<Endpoint, std::vector<Endpoint>>>();
    auto call = kj::Promise<void>(nullptr);
    runOn(loop, [&](rpc::LoopContext &context) {
        call = rpc::connect(context, endpoint, rpc::connectLimit)
                   .then([&result](kj::Own<rpc::Connection> connected) {
                       auto request = connected->bootstrap().castAs<schema::Control>().heartbeatRequest();
                       return request.send()
                           .then([&result](capnp::Response<schema::Control::HeartbeatResults> &&response) {
                               const auto redirect = response.getAnswer().getRedirect();
                               result.set_value({read(redirect.getLeader()), readEndpoints(redirect.getControlVms())});
                           })
                           .attach(kj::mv(connected));
                   })
                   .eagerlyEvaluate(nullptr);
    });
    auto got = result.get_future().get();
    runOn(loop, [&](rpc::LoopContext &) {
        call = nullptr;
    });
    return got;
}

/// The directory and the control VMs share a loop, as no test needs them apart; the proxy has one of its own.
struct Loops
{
    rpc::LoopThread control;
    rpc::LoopThread proxy;
};

} // namespace

// Failure: all seeds of a proxy are VMs without a disk, and it never finds the control VMs.
TEST_CASE("a proxy whose seeds name only directories finds the leader that announced itself")
{
    auto loops = Loops();
    const auto directory = OneDirectory(loops.control);
    const auto leader = AnnouncedVm(loops.control, {directory.endpoint});
    const auto proxy = SeededProxy(loops.proxy, {directory.endpoint});
    CHECK(proxy.getsLease());
}

// Failure: a process calls a directory before it knows anything, and takes its answer for one of control.
TEST_CASE("a directory that knows nothing redirects nowhere")
{
    auto loops = Loops();
    const auto directory = OneDirectory(loops.control);
    const auto [leader, others] = redirectOf(loops.proxy, directory.endpoint);
    CHECK(leader.port == 0);
    CHECK(others.empty());
}

// Failure: a directory has restarted and knows nothing; the proxies that ask it do not ask another one.
TEST_CASE("a proxy passes by a directory that knows nothing")
{
    auto loops = Loops();
    const auto ignorant = OneDirectory(loops.control);
    const auto knowing = OneDirectory(loops.control);
    const auto leader = AnnouncedVm(loops.control, {knowing.endpoint});
    const auto proxy = SeededProxy(loops.proxy, {ignorant.endpoint, knowing.endpoint});
    CHECK(proxy.getsLease());
}

// Failure: a directory that restarts never learns of the control VMs again, which called it before.
TEST_CASE("a directory that restarts learns of the control VMs from their next announcement")
{
    auto loops = Loops();
    auto directory = OneDirectory(loops.control);
    const auto leader = AnnouncedVm(loops.control, {directory.endpoint});
    CHECK(SeededProxy(loops.proxy, {directory.endpoint}).getsLease());
    directory.stop();
    directory.start();
    CHECK(SeededProxy(loops.proxy, {directory.endpoint}).getsLease(3s));
}

// Failure: a directory at which no control VM announces itself stays without any, though another directory knows them.
TEST_CASE("directories learn from each other, whichever of them calls")
{
    auto loops = Loops();
    const auto told = OneDirectory(loops.control);
    const auto calling = OneDirectory(loops.control, {told.endpoint});
    const auto leader = AnnouncedVm(loops.control, {told.endpoint});
    CHECK(SeededProxy(loops.proxy, {calling.endpoint}).getsLease());

    const auto other = OneDirectory(loops.control);
    const auto alone = OneDirectory(loops.control, {other.endpoint});
    const auto second = AnnouncedVm(loops.control, {alone.endpoint});
    CHECK(SeededProxy(loops.proxy, {other.endpoint}).getsLease());
}

// Failure: control VMs were replaced, the seeds of the new ones name other directories, and this one is told nothing.
TEST_CASE("control VMs announce themselves to the directories of the replicated state")
{
    auto loops = Loops();
    const auto directory = OneDirectory(loops.control);
    auto leader = AnnouncedVm(loops.control, {});
    runOn(loops.control, [&](rpc::LoopContext &) {
        leader.directories = {directory.endpoint};
    });
    CHECK(SeededProxy(loops.proxy, {directory.endpoint}).getsLease());
}

// Failure: no control VM has the directory's address, but its own connection to control has a lease that names them.
TEST_CASE("a directory calls the control VMs of its lease and passes them on")
{
    auto loops = Loops();
    auto directory = OneDirectory(loops.control);
    const auto leader = AnnouncedVm(loops.control, {});
    directory.noteLease({leader.replica.endpoint});
    CHECK(redirectOf(loops.proxy, directory.endpoint).second == std::vector{leader.replica.endpoint});
    CHECK(eventually([&] {
        return redirectOf(loops.proxy, directory.endpoint).first == leader.replica.endpoint;
    }));
}

// Failure: a new leader is known to the directories only at the next regular announcement, and the proxies wait for it.
TEST_CASE("a control VM that begins to lead announces it at once")
{
    auto loops = Loops();
    const auto directory = OneDirectory(loops.control);
    auto vm = AnnouncedVm(loops.control, {directory.endpoint});
    const auto leads = [&] {
        return redirectOf(loops.proxy, directory.endpoint).first.port != 0;
    };
    REQUIRE(eventually(leads));
    vm.replica.leads = false;
    REQUIRE(eventually([&leads] {
        return !leads();
    }));
    // Several times in a row, as a regular announcement may come at the same moment.
    auto slowest = Duration();
    for (auto round = 0; round < 3; ++round) {
        const auto began = support::now();
        vm.replica.leads = true;
        REQUIRE(eventually(leads));
        slowest = std::max(slowest, support::now() - began);
        vm.replica.leads = false;
        REQUIRE(eventually([&leads] {
            return !leads();
        }));
    }
    CHECK(slowest < 600ms);
}

// Failure: the entry of a leader that froze or was cut off keeps the proxies from the other control VMs.
TEST_CASE("a redirect to a VM that does not respond costs one connection")
{
    auto loops = Loops();
    const auto mute = MuteVm(loops.control);
    const auto directory = OneDirectory(loops.control);
    auto leader = AnnouncedVm(loops.control, {directory.endpoint});
    auto stale = AnnouncedVm(loops.control, {directory.endpoint}, "a-stale");
    runOn(loops.control, [&](rpc::LoopContext &) {
        stale.replica.endpoint = mute.endpoint();
    });
    const auto proxy = SeededProxy(loops.proxy, {directory.endpoint});
    CHECK(proxy.getsLease(4s));
}

// Failure: two VMs that each take the other for the leader are called without end by each proxy.
TEST_CASE("two VMs that redirect to each other are not called in a busy loop")
{
    auto loops = Loops();
    auto first = AnnouncedVm(loops.control, {});
    auto second = AnnouncedVm(loops.control, {});
    runOn(loops.control, [&](rpc::LoopContext &) {
        first.replica.leads = false;
        second.replica.leads = false;
        std::swap(first.replica.leaderEndpoint, second.replica.leaderEndpoint);
    });
    const auto proxy = SeededProxy(loops.proxy, {first.replica.endpoint});
    std::this_thread::sleep_for(2s);
    // About eight sessions, each with a heartbeat and a watch.
    CHECK(first.replica.askedForLeader + second.replica.askedForLeader <= 30);
    // They agree at last.
    runOn(loops.control, [&](rpc::LoopContext &) {
        first.replica.leaderEndpoint = second.replica.endpoint;
        second.replica.leads = true;
    });
    CHECK(proxy.getsLease(4s));
}

// Failure: two control VMs founded a group each, and the one that is alone accepts changes that the other group never gets.
TEST_CASE("a VM in a group of one that sees the leader of a larger group suspends commands")
{
    auto loops = Loops();
    const auto directory = OneDirectory(loops.control);
    auto larger = AnnouncedVm(loops.control, {directory.endpoint}, "larger");
    runOn(loops.control, [&](rpc::LoopContext &) {
        larger.replica.otherMembers = {consensus::ControlMember{VmId("c"), {}, true}};
    });
    auto alone = AnnouncedVm(loops.control, {directory.endpoint}, "alone");
    CHECK(eventually([&] {
        return alone.replica.suspended.load();
    }));
    CHECK_FALSE(larger.replica.suspended);
}

TEST_CASE("a group of one is no second group beside its founder's own entry, a VM without a leader or another single VM")
{
    const auto entry = [](const std::string &vm, std::uint32_t groupSize, bool leads) {
        return ControlVmEntry{VmId(vm), ZoneId(), {"127.0.0.1", 1}, consensus::ReplicaId(1), groupSize, leads};
    };
    const auto sees = [](const ControlVmEntry &own, const ControlVmEntry &other) {
        const auto known = KnownControlVm{other, {}};
        return leaderOfOtherGroup(own, std::span(&known, 1)) != nullptr;
    };
    CHECK(sees(entry("a", 1, true), entry("b", 2, true)));
    CHECK_FALSE(sees(entry("a", 1, true), entry("a", 2, true)));
    CHECK_FALSE(sees(entry("a", 1, true), entry("b", 2, false)));
    CHECK_FALSE(sees(entry("a", 1, true), entry("b", 1, true)));
    CHECK_FALSE(sees(entry("a", 3, true), entry("b", 3, true)));
    CHECK_FALSE(sees(entry("a", 0, false), entry("b", 3, true)));
}

} // namespace sapphirespool::control
