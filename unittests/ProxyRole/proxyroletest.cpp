#include "Proxy/fakes.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/ProxyRole/proxyrole.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool::proxy
{

namespace
{

namespace asio = boost::asio;

using std::chrono::milliseconds;
using testing::FakeDispatcher;
using testing::FakeGroup;
using testing::FakePool;
using testing::FakeRecorder;
using testing::FakeWatch;

constexpr auto statements = "/v1/services/orders/statements";
constexpr auto writeBody = R"({"sql":"book 7","access":"write"})";

/// One caller's connection with the answer to its last request.
struct Caller
{
    std::shared_ptr<http::ClientConnection> connection;
    std::optional<http::Response> answer;
    bool failed = false;
};

/// A whole proxy on one event loop, before a fake group; requests come over real connections.
class RoleSystem
{
public:
    asio::io_context io;
    std::shared_ptr<FakeRecorder> recorder = std::make_shared<FakeRecorder>();
    std::shared_ptr<FakeGroup> group = std::make_shared<FakeGroup>();
    std::shared_ptr<FakeWatch> watch = std::make_shared<FakeWatch>();
    std::shared_ptr<membership::ViewHolder> views = std::make_shared<membership::ViewHolder>();
    std::shared_ptr<ProxyRole> role;
    ProxyEndpoints endpoints;
    bool done = false;

    explicit RoleSystem(milliseconds balancerDelay = milliseconds(1))
    {
        auto settings = ProxyRoleSettings();
        settings.vm = VmId("vm0");
        settings.incarnation = Incarnation(1);
        settings.callers = {"127.0.0.1", 0};
        settings.peers = {"127.0.0.1", 0};
        settings.shutdown = ShutdownTimes::ofDrain(balancerDelay, std::chrono::seconds(30));
        settings.limits.keyWarmup = milliseconds(0);
        this->role = makeProxyRole(settings, this->parts());
        this->endpoints = this->role->start();
        this->views->extendLease(std::chrono::steady_clock::now() + std::chrono::hours(1));
        this->publish();
    }

    ~RoleSystem()
    {
        this->role->close();
        this->io.restart();
        this->io.poll();
    }

    auto send(Caller &caller, http::Verb verb, std::string target, std::string body = {}) -> void
    {
        caller.answer.reset();
        asio::co_spawn(this->io, this->exchange(caller, verb, std::move(target), std::move(body)), asio::detached);
    }

    auto ask(Caller &caller, http::Verb verb, std::string target, std::string body = {}) -> http::Response
    {
        this->send(caller, verb, std::move(target), std::move(body));
        this->runUntil([&caller] {
            return caller.answer.has_value() || caller.failed;
        });
        REQUIRE(caller.answer.has_value());
        return *caller.answer;
    }

    auto drain() -> void
    {
        this->role->drain([this] {
            this->done = true;
        });
    }

    template <typename Condition>
    auto runUntil(Condition condition) -> void
    {
        this->io.restart();
        while (!condition()) {
            this->io.run_one();
        }
    }

    /// Lets the stop take as many steps as it would in this time.
    auto pause(milliseconds time) -> void
    {
        auto timer = asio::steady_timer(this->io, time);
        auto over = false;
        timer.async_wait([&over](const boost::system::error_code &) {
            over = true;
        });
        this->runUntil([&over] {
            return over;
        });
    }

    auto readiness() -> http::Status
    {
        auto probe = Caller();
        return this->ask(probe, http::Verb::get, "/readyz").result();
    }

private:
    auto parts() -> ProxyRoleParts
    {
        auto parts = ProxyRoleParts();
        parts.views = this->views;
        parts.pool = std::make_shared<FakePool>(this->group);
        parts.watch = this->watch;
        parts.dispatcher = std::make_shared<FakeDispatcher>();
        parts.recorder = this->recorder;
        parts.dispatch = this->io.get_executor();
        parts.sessions = [executor = this->io.get_executor()] {
            return executor;
        };
        return parts;
    }

    auto publish() -> void
    {
        auto view = membership::ClusterView();
        view.revision = Revision(1);
        view.services.append({ServiceId("orders"), GroupId("orders-1")});
        auto groupView = membership::GroupView();
        groupView.id = GroupId("orders-1");
        groupView.term = Term(1);
        groupView.primary = UpstreamId("u1");
        groupView.members.push_back({UpstreamId("u1")});
        view.groups.push_back(groupView);
        view.proxies.push_back({VmId("vm0"), ZoneId("a"), Incarnation(1), this->endpoints.callers, this->endpoints.peers});
        this->views->publish(std::make_shared<const membership::ClusterView>(view));
        this->role->viewChanged();
    }

    auto exchange(Caller &caller, http::Verb verb, std::string target, std::string body) -> asio::awaitable<void>
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        if (caller.connection == nullptr || !caller.connection->isOpen()) {
            caller.connection = http::makeClientConnection(this->io.get_executor());
            co_await caller.connection->connect(this->endpoints.callers, deadline);
        }
        auto request = http::Request(verb, target, 11);
        request.body() = body;
        auto result = co_await caller.connection->exchange(std::move(request), deadline);
        caller.failed = static_cast<bool>(result.error);
        if (!caller.failed) {
            caller.answer = std::move(result.response);
        }
    }
};

auto reasonOf(const http::Response &response) -> std::string
{
    return boost::json::value_to<std::string>(boost::json::parse(response.body()).at("reason"));
}

} // namespace

TEST_CASE("a write and a read go through a whole proxy, with the session in a cookie")
{
    auto system = RoleSystem();
    auto caller = Caller();
    const auto written = system.ask(caller, http::Verb::post, statements, writeBody);
    CHECK(written.result() == http::Status::ok);
    CHECK(written["Sapphirespool-Served-By"] == "u1");
    CHECK(std::string(written["Set-Cookie"]).starts_with("Sapphirespool-Session=s-"));
    CHECK(system.group->count("book 7") == 1);
    const auto unknown = system.ask(caller, http::Verb::post, "/v1/services/nobody/statements", writeBody);
    CHECK(unknown.result() == http::Status::not_found);
    CHECK(reasonOf(unknown) == "unknown_service");
}

TEST_CASE("the metrics are told how many connections there are in each state")
{
    auto system = RoleSystem();
    auto caller = Caller();
    system.ask(caller, http::Verb::post, statements, writeBody);
    auto &states = system.recorder->states;
    system.runUntil([&states] {
        return states[metrics::ConnectionState::CallerOpen] == 1 && states[metrics::ConnectionState::UpstreamIdle] == 1;
    });
    CHECK(states.contains(metrics::ConnectionState::CallerRunning));
    CHECK(states.contains(metrics::ConnectionState::UpstreamConnecting));
    CHECK(states.contains(metrics::ConnectionState::UpstreamBusy));
}

TEST_CASE("a graceful shutdown cuts no request and no transaction")
{
    // A VM is stopped while one caller's booking waits for its confirmation and another caller is in the middle of a transaction.
    // First the balancer is told; then new work is refused as not run; the booking is answered, the transaction goes on to its
    // commit; and only then the proxy says that it is done.
    auto system = RoleSystem();
    auto booking = Caller();
    auto clerk = Caller();
    auto newcomer = Caller();
    const auto begun = system.ask(clerk, http::Verb::post, "/v1/services/orders/transactions");
    const auto transaction = std::string(begun["Location"]);
    CHECK(system.readiness() == http::Status::ok);
    auto drainBegan = false;
    system.watch->before = [&system, &drainBegan] {
        if (!std::exchange(drainBegan, true)) {
            system.drain();
        }
    };
    system.send(booking, http::Verb::post, statements, writeBody);
    system.runUntil([&booking] {
        return booking.answer.has_value();
    });
    CHECK(booking.answer->result() == http::Status::ok);
    CHECK(system.readiness() == http::Status::service_unavailable);
    auto refused = http::Response();
    while (refused.result() != http::Status::service_unavailable) {
        refused = system.ask(newcomer, http::Verb::post, statements, writeBody);
    }
    CHECK(reasonOf(refused) == "draining");
    system.pause(milliseconds(100));
    CHECK_FALSE(system.done);
    CHECK(system.ask(clerk, http::Verb::post, transaction + "/statements", R"({"sql":"enrol A","access":"write"})").result() == http::Status::ok);
    auto reconnected = Caller();
    CHECK(system.ask(reconnected, http::Verb::post, transaction + "/commit").result() == http::Status::ok);
    CHECK(system.group->count("enrol A") == 1);
    system.runUntil([&system] {
        return system.done;
    });
}

TEST_CASE("a proxy without a view or a lease says that it is not ready")
{
    auto system = RoleSystem();
    CHECK(system.readiness() == http::Status::ok);
    std::destroy_at(system.views.get());
    std::construct_at(system.views.get());
    auto status = http::Status::ok;
    while (status == http::Status::ok) {
        status = system.readiness();
    }
    CHECK(status == http::Status::service_unavailable);
}

} // namespace sapphirespool::proxy
