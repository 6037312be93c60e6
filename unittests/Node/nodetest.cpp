#include "sapphirespool/Node/node.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Operators/client.h"
#include "sapphirespool/Standin/member.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <functional>
#include <thread>

namespace sapphirespool::node
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Ends a test that hangs; nothing is measured against it.
constexpr auto patience = 60s;

/// Ports that were free a moment ago; each VM must know the others' before they start.
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

/// Three control VMs, two of them proxies, before one group of three members.
class System
{
public:
    System()
    {
        for (std::size_t place = 0; place < 3; ++place) {
            this->nodes.push_back(makeNode(this->settingsOf(place)));
            this->nodes.back()->start();
        }
        for (const auto *id : {"a", "b", "c"}) {
            auto settings = standin::MemberSettings();
            settings.group = GroupId("orders-1");
            settings.id = UpstreamId(id);
            settings.proxies = {this->callers(0), this->callers(1)};
            settings.seed = static_cast<std::uint64_t>(*id);
            this->members.push_back(standin::makeMember(this->io.get_executor(), settings));
            this->members.back()->start();
        }
        this->thread = std::thread([this] {
            this->io.run();
        });
    }

    ~System()
    {
        this->nodes.clear();
        this->io.stop();
        this->thread.join();
        std::filesystem::remove_all(this->folder);
    }

    System(const System &) = delete;
    auto operator=(const System &) -> System & = delete;

    auto callers(std::size_t proxy) const -> Endpoint
    {
        return this->ports[proxy];
    }

    auto restart(std::size_t place) -> void
    {
        this->nodes[place].reset();
        this->nodes[place] = makeNode(this->settingsOf(place));
        this->nodes[place]->start();
    }

    auto stopMember(std::size_t place) -> void
    {
        asio::post(this->io, [this, place] {
            this->members[place]->stop();
        });
    }

    /// Sends \p sql until it is answered with 200.
    auto run(std::size_t proxy, const std::string &sql, const std::string &access) -> std::string
    {
        auto answer = http::Response();
        const auto target = "/v1/services/orders/statements";
        const auto body = boost::json::object({{"sql", sql}, {"access", access}, {"repeatable", true}});
        REQUIRE(this->until([&] {
            answer = this->ask(this->callers(proxy), http::jsonRequest(http::Verb::post, target, body));
            return answer.result() == http::Status::ok;
        }));
        return answer.body();
    }

    auto apply(const std::string &text, std::uint64_t base, const std::string &change) -> operators::Reply
    {
        auto reply = operators::Reply();
        REQUIRE(this->until([&] {
            const auto outcome = operators::Client(this->callers(1), 5s).putConfiguration({text, base, change});
            const auto *const got = std::get_if<operators::Reply>(&outcome);
            reply = got == nullptr ? operators::Reply() : *got;
            return got != nullptr && got->status < 500;
        }));
        return reply;
    }

    auto until(const std::function<bool()> &condition) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    std::vector<std::unique_ptr<Node>> nodes;

private:
    auto settingsOf(std::size_t place) const -> settings::Settings
    {
        auto vm = settings::Settings();
        for (std::size_t member = 0; member < 3; ++member) {
            vm.controlMembers.push_back({VmId("vm-" + std::to_string(member)), this->ports[4 + member]});
        }
        vm.vm = vm.controlMembers[place].vm;
        vm.zone = ZoneId("zone-" + std::to_string(place));
        vm.control = true;
        vm.proxy = place < 2;
        vm.callers = this->ports[place];
        vm.peers = this->ports[2 + place];
        vm.dataFolder = this->folder / vm.vm.value();
        vm.shutdown = {0ms, 5'000ms};
        return vm;
    }

    auto ask(const Endpoint &endpoint, http::Request request) -> http::Response
    {
        auto loop = asio::io_context();
        auto answer = http::Response(http::Status::service_unavailable, 11);
        request.prepare_payload();
        asio::co_spawn(loop, exchange(loop.get_executor(), endpoint, std::move(request), answer), asio::detached);
        loop.run();
        return answer;
    }

    static auto exchange(asio::any_io_executor executor, Endpoint endpoint, http::Request request, http::Response &answer) -> asio::awaitable<void>
    {
        const auto deadline = std::chrono::steady_clock::now() + 10s;
        const auto client = http::makeClientConnection(std::move(executor));
        const auto refused = co_await client->connect(std::move(endpoint), deadline);
        if (refused) {
            co_return;
        }
        auto result = co_await client->exchange(std::move(request), deadline);
        if (!result.error) {
            answer = std::move(result.response);
        }
    }

    std::vector<Endpoint> ports = freeEndpoints(7);
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("sapphirespool-node-" + std::to_string(getpid()));
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->io);
    std::vector<std::shared_ptr<standin::Member>> members;
    std::thread thread;
};

constexpr auto text = "services: {orders: {group: orders-1}}";

} // namespace

TEST_CASE("a system takes a text, serves, survives a stopped primary and a restarted VM, and drains")
{
    // An operator applies the services; callers write through one proxy and read through the other. The first member, which is
    // the primary, ends; a control VM restarts; each time callers are served again, and the operator's resent change gets its first
    // answer.
    auto system = System();
    CHECK(system.apply(text, 0, "first").status == 200);
    system.run(0, "create table booking(id integer)", "write");
    system.run(0, "insert into booking values (1)", "write");
    CHECK(system.run(1, "select count(*) from booking", "read").find("[[1]]") != std::string::npos);

    system.stopMember(0);
    system.run(1, "insert into booking values (2)", "write");
    const auto rows = system.run(0, "select distinct id from booking order by id", "read");
    CHECK(rows.find("[[1],[2]]") != std::string::npos);

    system.restart(2);
    CHECK(system.apply(text, 0, "first").status == 200);
    CHECK(system.apply(text, 0, "second").status == 412);
    CHECK(system.apply(text, 1, "third").status == 200);
    for (const auto &node : system.nodes) {
        node->drain();
    }
}

TEST_CASE("a VM whose port is taken says so with a remedy")
{
    auto io = asio::io_context();
    const auto taken = asio::ip::tcp::acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto vm = settings::Settings();
    vm.vm = VmId("vm-0");
    vm.proxy = true;
    vm.callers = {"127.0.0.1", taken.local_endpoint().port()};
    vm.peers = {"127.0.0.1", 0};
    vm.controlMembers.push_back({VmId("vm-1"), freeEndpoints(1).front()});
    const auto node = makeNode(vm);
    CHECK_THROWS_WITH(node->start(), Catch::Contains("give the VM an address of its own that is free"));
}

} // namespace sapphirespool::node
