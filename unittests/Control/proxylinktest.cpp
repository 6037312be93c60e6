#include "sapphirespool/Control/proxylink.h"

#include "fakes.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <string>

namespace sapphirespool::control
{

namespace
{

/// Two control VMs of which one leads, and a proxy that knows only the other.
class TwoControlVms
{
public:
    TwoControlVms()
    {
        this->leading.leads = true;
        this->leading.leaderEndpoint = this->serve(this->leading, this->service, this->leadingServer);
        this->following.leaderEndpoint = this->leading.leaderEndpoint;
        const auto known = this->serve(this->following, this->otherService, this->followingServer);
        auto settings = ProxyLinkSettings{VmId("p"), ZoneId("z"), Incarnation(1)};
        settings.controlVms = {known};
        this->link = makeProxyLink(this->proxyLoop, settings, this->holder);
    }

    ~TwoControlVms()
    {
        this->link.reset();
        this->onControl([this](rpc::LoopContext &) {
            this->leadingServer.reset();
            this->followingServer.reset();
        });
    }

    /// Runs \p work on the control thread and waits for it.
    auto onControl(const std::function<void(rpc::LoopContext &)> &work) -> void
    {
        runOn(this->controlLoop, work);
    }

    auto change(const membership::ClusterView &view) -> void
    {
        this->onControl([this, &view](rpc::LoopContext &) {
            this->service.change(view);
        });
    }

    auto awaitRevision(std::uint64_t revision) -> void
    {
        waitUntil([this, revision] {
            return this->holder->current()->revision == Revision(revision);
        });
    }

    [[nodiscard]] auto leaseLive() const -> bool
    {
        return this->holder->leaseLive(std::chrono::steady_clock::now());
    }

    FakeReplica leading;
    FakeReplica following;
    FakeService service;
    FakeService otherService;
    std::shared_ptr<membership::ViewHolder> holder = std::make_shared<membership::ViewHolder>();
    std::unique_ptr<ControlServer> leadingServer;
    std::unique_ptr<ControlServer> followingServer;
    rpc::LoopThread controlLoop;
    rpc::LoopThread proxyLoop;
    std::shared_ptr<membership::ControlLink> link;

private:
    auto serve(FakeReplica &replica, FakeService &service, std::unique_ptr<ControlServer> &server) -> Endpoint
    {
        this->onControl([&](rpc::LoopContext &context) {
            server = serveControl(context, Endpoint{"127.0.0.1", 0}, replica, service);
        });
        return portOf(this->controlLoop, server);
    }
};

} // namespace

TEST_CASE("a proxy is pointed to the leader, follows each change of the view and serves under its lease")
{
    auto vms = TwoControlVms();
    CHECK_FALSE(vms.leaseLive());
    vms.change(viewOf(1, "bookings"));
    vms.awaitRevision(1);
    vms.change(viewOf(2, "intake"));
    vms.awaitRevision(2);
    CHECK(*vms.holder->current() == viewOf(2, "intake"));
    waitUntil([&vms] {
        return vms.leaseLive() && vms.service.confirmed == 2;
    });
    CHECK(vms.otherService.heartbeats == 0);
}

TEST_CASE("a view larger than a part arrives whole, and so does the change after it")
{
    // Failure: a large view on a thin link holds up the answers to heartbeats until the connection ends, each time anew.
    auto vms = TwoControlVms();
    auto large = viewOf(1, "bookings");
    for (std::uint64_t number = 0; number < 5'000; ++number) {
        // Names that do not compress.
        large.services.append({ServiceId(std::to_string(number * 0x9e3779b97f4a7c15U)), GroupId("g")});
    }
    vms.change(large);
    vms.awaitRevision(1);
    CHECK(vms.holder->current()->services.size() == 5'001);
    auto next = large;
    next.revision = Revision(2);
    next.configuration = Revision(2);
    next.services.append({ServiceId("zz"), GroupId("g")});
    vms.change(next);
    vms.awaitRevision(2);
    CHECK(vms.holder->current()->findService(ServiceId("zz")) != nullptr);
    waitUntil([&vms] {
        return vms.leaseLive() && vms.service.confirmed == 2;
    });
}

TEST_CASE("a control VM that no longer leads grants no lease")
{
    // The caller sees: a write acknowledged by a proxy whose primary was replaced.
    // The leader is cut off and another one promotes a primary; the proxy still reaches the former leader.
    // That one answers only under its leader lease, so the proxy's lease runs out.
    auto vms = TwoControlVms();
    vms.change(viewOf(1, "bookings"));
    waitUntil([&vms] {
        return vms.leaseLive();
    });
    vms.leading.leads = false;
    waitUntil([&vms] {
        return !vms.leaseLive();
    });
    const auto heartbeats = vms.service.heartbeats.load();
    vms.leading.leads = true;
    waitUntil([&vms, heartbeats] {
        return vms.leaseLive() && vms.service.heartbeats > heartbeats;
    });
}

TEST_CASE("a lease for a newer view does not extend that of an older one")
{
    // The caller sees: a write acknowledged under the old primary after a promotion.
    // Control commits a new term and grants leases for it; the heartbeat's answer overtakes the view.
    // The grant names the revision that it holds for, and waits for it.
    auto vms = TwoControlVms();
    vms.onControl([&vms](rpc::LoopContext &) {
        vms.service.floor = Revision(2);
    });
    vms.change(viewOf(1, "bookings"));
    vms.awaitRevision(1);
    const auto heartbeats = vms.service.heartbeats.load();
    waitUntil([&vms, heartbeats] {
        return vms.service.heartbeats > heartbeats + 2;
    });
    CHECK_FALSE(vms.leaseLive());
    vms.change(viewOf(2, "bookings"));
    waitUntil([&vms] {
        return vms.leaseLive();
    });
}

TEST_CASE("a change of the configuration with an unknown outcome is sent again under the same change id")
{
    auto vms = TwoControlVms();
    auto outcome = std::promise<membership::ConfigurationOutcome>();
    vms.link->changeConfiguration({ChangeId("c1"), Revision(3), "services: []"}, [&outcome](membership::ConfigurationOutcome given) {
        outcome.set_value(std::move(given));
    });
    const auto given = outcome.get_future().get();
    REQUIRE(std::holds_alternative<membership::ConfigurationAccepted>(given));
    CHECK(std::get<membership::ConfigurationAccepted>(given).revision == Revision(7));
    CHECK(vms.service.changes == std::vector<ChangeId>{ChangeId("c1"), ChangeId("c1")});
}

TEST_CASE("announcements, suspicions, the text and the status go through the link")
{
    auto vms = TwoControlVms();
    auto announcement = platform::Announcement();
    announcement.id = "u1";
    vms.link->announce(announcement);
    vms.link->suspect({GroupId("g"), Term(1), UpstreamId("u1")});
    waitUntil([&vms] {
        return vms.service.announcements >= 1 && vms.service.suspicions >= 1;
    });
    auto text = std::promise<membership::ConfigurationReadOutcome>();
    vms.link->readConfiguration([&text](membership::ConfigurationReadOutcome given) {
        text.set_value(std::move(given));
    });
    CHECK(std::get<membership::ConfigurationText>(text.get_future().get()).text == "services: []");
    auto status = std::promise<membership::ClusterStatusOutcome>();
    vms.link->readStatus([&status](membership::ClusterStatusOutcome given) {
        status.set_value(std::move(given));
    });
    const auto given = std::get<membership::ClusterStatus>(status.get_future().get());
    CHECK(given.inForce);
    REQUIRE(given.vms.size() == 1);
    CHECK(given.vms.front().confirmed == Revision(7));
}

// The thread of the link must not use views that the process has already given up while it stops.
TEST_CASE("the views live as long as the loop of a link that was given up")
{
    auto views = std::make_shared<membership::ViewHolder>();
    const auto watched = std::weak_ptr<membership::ViewHolder>(views);
    auto busy = std::promise<void>();
    auto begun = std::promise<void>();
    {
        auto loop = rpc::LoopThread();
        auto settings = ProxyLinkSettings();
        settings.vm = VmId("proxy");
        settings.controlVms = {Endpoint{"127.0.0.1", 1}};
        auto link = makeProxyLink(loop, settings, views);
        loop.post([&begun, free = busy.get_future().share()](rpc::LoopContext &) {
            begun.set_value();
            free.wait();
        });
        begun.get_future().wait();
        link.reset();
        views.reset();
        CHECK_FALSE(watched.expired());
        busy.set_value();
    }
    CHECK(watched.expired());
}

} // namespace sapphirespool::control
