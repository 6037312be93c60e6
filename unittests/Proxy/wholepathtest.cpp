#include "sapphirespool/Callers/handler.h"
#include "sapphirespool/Http/client.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Standin/member.h"
#include "sapphirespool/Upstreams/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool
{

namespace
{

namespace asio = boost::asio;

auto onlyGroup(const Endpoint &upstream) -> std::shared_ptr<const membership::ClusterView>
{
    auto view = membership::ClusterView();
    view.revision = Revision(1);
    view.services.push_back({ServiceId("orders"), GroupId("orders-1")});
    auto group = membership::GroupView();
    group.id = GroupId("orders-1");
    group.term = Term(1);
    group.primary = UpstreamId("u1");
    auto member = membership::UpstreamView();
    member.id = UpstreamId("u1");
    member.endpoint = upstream;
    group.members.push_back(member);
    view.groups.push_back(group);
    return std::make_shared<const membership::ClusterView>(view);
}

/// One proxy before one stand-in, on ephemeral ports of one event loop.
struct WholePath
{
    asio::io_context io;
    std::shared_ptr<http::Server> upstream = this->server(standin::makeMemberHandler());
    std::shared_ptr<membership::ViewHolder> views = std::make_shared<membership::ViewHolder>();
    std::shared_ptr<proxy::Executor> executor = proxy::makeExecutor(this->views, upstreams::makeHttpConnector(this->io.get_executor()));
    std::shared_ptr<http::Server> proxy = this->server(callers::makeHandler(this->executor));
    Endpoint entry;

    WholePath()
    {
        this->views->publish(onlyGroup(this->upstream->listen({"127.0.0.1", 0})));
        this->entry = this->proxy->listen({"127.0.0.1", 0});
    }

    auto server(std::shared_ptr<http::Handler> handler) -> std::shared_ptr<http::Server>
    {
        const auto executor = this->io.get_executor();
        return http::makeServer(
            executor,
            [executor] {
                return executor;
            },
            http::ServerLimits(),
            std::move(handler));
    }

    auto ask(std::string_view target, std::string_view body) -> http::Response
    {
        auto response = http::Response();
        asio::co_spawn(this->io, this->exchange(std::string(target), std::string(body), response), asio::detached);
        this->io.restart();
        while (!this->answered) {
            this->io.run_one();
        }
        this->answered = false;
        return response;
    }

private:
    auto exchange(std::string target, std::string body, http::Response &response) -> asio::awaitable<void>
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        const auto client = http::makeClientConnection(this->io.get_executor());
        co_await client->connect(this->entry, deadline);
        auto request = http::Request(http::Verb::post, target, 11);
        request.body() = body;
        auto result = co_await client->exchange(std::move(request), deadline);
        response = std::move(result.response);
        this->answered = true;
    }

    bool answered = false;
};

} // namespace

TEST_CASE("a write and a read go from the caller to the upstream and back")
{
    auto path = WholePath();
    const auto target = "/v1/services/orders/statements";
    CHECK(path.ask(target, R"json({"sql":"create table booking(id integer, label text)","access":"write"})json").result() == http::Status::ok);
    const auto written = path.ask(target, R"json({"sql":"insert into booking values (?, ?)","params":[7,"shears"],"access":"write"})json");
    CHECK(boost::json::parse(written.body()).at("changes") == 1);
    const auto read = path.ask(target, R"({"sql":"select id, label from booking","access":"read"})");
    CHECK(boost::json::parse(read.body()).at("rows") == boost::json::parse(R"([[7,"shears"]])"));
    CHECK(read["Sapphirespool-Served-By"] == "u1");
}

TEST_CASE("an unknown service is refused as not run")
{
    auto path = WholePath();
    const auto response = path.ask("/v1/services/nobody/statements", R"({"sql":"select 1","access":"read"})");
    CHECK(response.result() == http::Status::not_found);
    const auto problem = boost::json::parse(response.body());
    CHECK(problem.at("reason") == "unknown_service");
    CHECK(problem.at("executed") == "no");
}

} // namespace sapphirespool
