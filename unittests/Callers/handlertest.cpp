#include "Callers/fakeexecutor.h"

#include "sapphirespool/Callers/handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool::callers
{

namespace
{

namespace asio = boost::asio;

auto postTo(std::string_view target, std::string_view body) -> http::Request
{
    auto request = http::Request(http::Verb::post, target, 11);
    request.body() = body;
    return request;
}

auto statement() -> http::Request
{
    return postTo("/v1/services/orders/statements", R"({"sql":"select 1","access":"read"})");
}

auto store(std::shared_ptr<http::Handler> handler, http::Request request, http::Response &response) -> asio::awaitable<void>
{
    response = co_await handler->handle(std::move(request));
}

auto ask(const std::shared_ptr<http::Handler> &handler, http::Request request) -> http::Response
{
    auto io = asio::io_context();
    auto response = http::Response();
    asio::co_spawn(io, store(handler, std::move(request), response), asio::detached);
    io.run();
    return response;
}

struct Api
{
    std::shared_ptr<testing::FakeExecutor> executor = std::make_shared<testing::FakeExecutor>();
    std::shared_ptr<http::Handler> handler = makeHandler(this->executor);
};

} // namespace

TEST_CASE("an answer carries the session twice, and who served it")
{
    auto api = Api();
    const auto response = ask(api.handler, statement());
    CHECK(response.result() == http::Status::ok);
    CHECK(response["Sapphirespool-Session"] == "s-0000000000000001.aa");
    CHECK(response["Set-Cookie"] == "Sapphirespool-Session=s-0000000000000001.aa; Path=/; HttpOnly; SameSite=Lax");
    CHECK(response["Sapphirespool-Served-By"] == "u1");
    CHECK(response["Sapphirespool-Served-Role"] == "replica");
}

TEST_CASE("each error says whether the request ran, why, and what to do")
{
    auto api = Api();
    api.executor->reply.outcome = NotRun{RefusalReason::QueueFull, "full", std::chrono::milliseconds(1200)};
    const auto refused = ask(api.handler, statement());
    CHECK(refused.result() == http::Status::service_unavailable);
    CHECK(refused["Content-Type"] == "application/problem+json");
    CHECK(refused["Retry-After"] == "2");
    CHECK(refused["Sapphirespool-Session"] == "s-0000000000000001.aa");
    const auto body = boost::json::parse(refused.body());
    CHECK(body.at("reason") == "queue_full");
    CHECK(body.at("executed") == "no");
    CHECK(body.at("remedy").as_string() == std::string(describe(RefusalReason::QueueFull).remedy));
    api.executor->reply.outcome = OutcomeUnknown{RefusalReason::KeyInProgress, "runs"};
    const auto running = ask(api.handler, statement());
    CHECK(running["Retry-After"] == "1");
    CHECK(boost::json::parse(running.body()).at("executed") == "unknown");
    api.executor->reply.outcome = StatementError{RefusalReason::AnswerLost, "ran", Executed::Yes};
    CHECK(boost::json::parse(ask(api.handler, statement()).body()).at("executed") == "yes");
}

TEST_CASE("a transaction is begun and its steps reach the executor")
{
    auto api = Api();
    const auto begun = ask(api.handler, postTo("/v1/services/orders/transactions", ""));
    CHECK(begun.result() == http::Status::created);
    CHECK(begun["Location"] == "/v1/services/orders/transactions/vm1~1~s-0");
    CHECK(boost::json::parse(begun.body()).at("transaction") == "vm1~1~s-0");
    ask(api.handler, postTo("/v1/services/orders/transactions/vm1~1~s-0/rollback", "{}"));
    REQUIRE(api.executor->steps.size() == 1);
    CHECK(api.executor->steps.front().id == TransactionId("vm1~1~s-0"));
    CHECK(api.executor->steps.front().step == proxy::TransactionStep::Rollback);
}

TEST_CASE("a fault in the proxy ends one request, as unknown")
{
    auto api = Api();
    api.executor->throws = true;
    const auto response = ask(api.handler, statement());
    CHECK(response.result() == http::Status::internal_server_error);
    CHECK(boost::json::parse(response.body()).at("executed") == "unknown");
}

TEST_CASE("a header that comes twice is refused with nothing run")
{
    auto api = Api();
    auto request = statement();
    request.insert("Idempotency-Key", "k1");
    request.insert("Idempotency-Key", "k2");
    const auto response = ask(api.handler, std::move(request));
    CHECK(response.result() == http::Status::bad_request);
    CHECK(api.executor->statements.empty());
}

TEST_CASE("liveness and readiness are told apart")
{
    const auto readiness = std::make_shared<Readiness>();
    const auto handler = makeHealthHandler(readiness);
    const auto get = [&handler](std::string_view target) {
        return ask(handler, http::Request(http::Verb::get, target, 11)).result();
    };
    CHECK(get("/healthz") == http::Status::ok);
    CHECK(get("/readyz") == http::Status::service_unavailable);
    readiness->ready = true;
    CHECK(get("/readyz") == http::Status::ok);
    CHECK(get("/readyzz") == http::Status::not_found);
}

} // namespace sapphirespool::callers
