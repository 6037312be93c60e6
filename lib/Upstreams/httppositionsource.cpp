// httppositionsource.cpp: long polls of a member's position over HTTP.
#include "sapphirespool/Upstreams/positionwatch.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Platform/codec.h"

#include <string>
#include <utility>

namespace sapphirespool::upstreams
{

namespace
{

namespace asio = boost::asio;

/// Time for a poll beyond what the member may hold it; a member that is silent for longer counts as down.
constexpr auto answerTimeout = std::chrono::milliseconds(500);

class HttpPositionSource : public PositionSource
{
public:
    HttpPositionSource(asio::any_io_executor executor, Endpoint endpoint)
        : executor(std::move(executor))
        , endpoint(std::move(endpoint))
    {
    }

    auto poll(Term term, LogPosition above, std::chrono::milliseconds wait) -> asio::awaitable<std::optional<platform::PositionReport>> override
    {
        const auto deadline = std::chrono::steady_clock::now() + wait + answerTimeout;
        const auto target
            = "/v1/position?term=" + std::to_string(term.value()) + "&above=" + std::to_string(above.value()) + "&wait=" + std::to_string(wait.count());
        const auto reused = this->client != nullptr && this->client->isOpen();
        auto result = co_await this->ask(target, deadline);
        if (reused && result.error && !result.sent) {
            // The member closed the connection while the group was idle.
            result = co_await this->ask(target, deadline);
        }
        if (result.error || result.response.result() != http::Status::ok) {
            co_return std::nullopt;
        }
        co_return platform::fromJson<platform::PositionReport>(result.response.body());
    }

private:
    auto ask(std::string target, TimePoint deadline) -> asio::awaitable<http::ExchangeResult>
    {
        if (this->client == nullptr || !this->client->isOpen()) {
            this->client = http::makeClientConnection(this->executor);
            auto failed = http::ExchangeResult();
            failed.error = co_await this->client->connect(this->endpoint, deadline);
            if (failed.error) {
                co_return failed;
            }
        }
        auto request = http::Request(http::Verb::get, target, 11);
        co_return co_await this->client->exchange(std::move(request), deadline);
    }

    asio::any_io_executor executor;
    Endpoint endpoint;
    std::shared_ptr<http::ClientConnection> client;
};

} // namespace

auto makeHttpPositionWatch(asio::any_io_executor executor) -> std::shared_ptr<PositionWatch>
{
    return makePositionWatch(executor, [executor](const Endpoint &endpoint) {
        return std::make_shared<HttpPositionSource>(executor, endpoint);
    });
}

} // namespace sapphirespool::upstreams
