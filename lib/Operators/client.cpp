#include "sapphirespool/Operators/client.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Operators/handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <utility>

namespace sapphirespool::operators
{

namespace
{

namespace asio = boost::asio;

constexpr auto httpVersion = 11U;

auto exchange(asio::any_io_executor executor, Endpoint server, http::Request request, TimePoint deadline, ReplyOutcome &outcome) -> asio::awaitable<void>
{
    const auto client = http::makeClientConnection(std::move(executor));
    const auto refused = co_await client->connect(std::move(server), deadline);
    if (refused) {
        outcome = Unreachable{refused.message()};
        co_return;
    }
    auto result = co_await client->exchange(std::move(request), deadline);
    client->close();
    if (result.error) {
        outcome = Unreachable{result.error.message()};
        co_return;
    }
    outcome = Reply{result.response.result_int(), std::move(result.response.body())};
}

auto run(const Endpoint &server, std::chrono::milliseconds timeout, http::Request request) -> ReplyOutcome
{
    auto io = asio::io_context();
    auto outcome = ReplyOutcome(Unreachable{"no answer"});
    request.set(boost::beast::http::field::host, server.address);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    asio::co_spawn(io, exchange(io.get_executor(), server, std::move(request), deadline, outcome), asio::detached);
    io.run();
    return outcome;
}

auto requestOf(http::Verb verb, std::string_view path) -> http::Request
{
    return {verb, path, httpVersion};
}

} // namespace

Client::Client(Endpoint server, std::chrono::milliseconds timeout)
    : server(std::move(server))
    , timeout(timeout)
{
}

auto Client::putConfiguration(const TextChange &change) const -> ReplyOutcome
{
    auto request = requestOf(http::Verb::put, configurationPath);
    request.set(boost::beast::http::field::if_match, "\"" + std::to_string(change.base) + "\"");
    request.set("Idempotency-Key", change.change);
    request.set(boost::beast::http::field::content_type, "application/yaml");
    request.body() = change.text;
    request.prepare_payload();
    return run(this->server, this->timeout, std::move(request));
}

auto Client::getConfiguration() const -> ReplyOutcome
{
    return run(this->server, this->timeout, requestOf(http::Verb::get, configurationPath));
}

auto Client::getStatus() const -> ReplyOutcome
{
    return run(this->server, this->timeout, requestOf(http::Verb::get, statusPath));
}

} // namespace sapphirespool::operators
