#include "sapphirespool/Upstreams/connection.h"

#include "sapphirespool/Upstreams/connectionstate.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Platform/codec.h"
#include "sapphirespool/Support/log.h"

#include <utility>

namespace sapphirespool::upstreams
{

namespace
{

namespace asio = boost::asio;

class HttpConnection : public Connection, public std::enable_shared_from_this<HttpConnection>
{
public:
    explicit HttpConnection(asio::any_io_executor executor)
        : client(http::makeClientConnection(std::move(executor)))
    {
    }

    auto connect(Endpoint endpoint, TimePoint deadline) -> asio::awaitable<bool>
    {
        const auto self = this->shared_from_this();
        const auto error = co_await this->client->connect(std::move(endpoint), deadline);
        if (error) {
            this->state.broken();
            co_return false;
        }
        this->state.connected();
        co_return true;
    }

    auto execute(platform::ExecuteRequest request, TimePoint deadline) -> asio::awaitable<ExchangeOutcome> override
    {
        const auto self = this->shared_from_this();
        if (this->state.phase() == ConnectionPhase::Closed) {
            co_return ExchangeFailure{false, "the connection is closed"};
        }
        this->state.requestSent();
        request.request = ++this->lastRequest;
        auto message = http::jsonRequest(http::Verb::post, "/v1/execute", platform::toJson(request));
        auto result = co_await this->client->exchange(std::move(message), deadline);
        if (result.error) {
            co_return this->drop({result.sent, result.error.message()}, result.sent ? "answer_lost" : "not_sent");
        }
        auto reply = platform::fromJson<platform::ExecuteReply>(result.response.body());
        if (!reply || reply->request != request.request) {
            // An answer that carries another number belongs to another request. Handed out, a caller would read another
            // caller's booking. Closing the connection drops whatever else is on its way on it.
            co_return this->drop({true, "the answer was not that of the request"}, "crossed_answer");
        }
        this->state.answered(request.operation, reply->status);
        if (!this->client->isOpen()) {
            this->state.broken();
        }
        co_return std::move(*reply);
    }

    [[nodiscard]] auto isClean() const -> bool override
    {
        return this->client->isOpen() && this->state.phase() == ConnectionPhase::Idle;
    }

    auto close() -> void override
    {
        this->state.broken();
        this->client->close();
    }

private:
    auto drop(ExchangeFailure failure, std::string_view reason) -> ExchangeFailure
    {
        support::log(support::Event::UpstreamConnectionClosed, {{"reason", reason}, {"detail", failure.detail}});
        this->close();
        return failure;
    }

    std::shared_ptr<http::ClientConnection> client;
    ConnectionState state;
    std::uint64_t lastRequest = 0;
};

class HttpConnector : public Connector
{
public:
    explicit HttpConnector(asio::any_io_executor executor)
        : executor(std::move(executor))
    {
    }

    auto connect(Endpoint endpoint, TimePoint deadline) -> asio::awaitable<std::shared_ptr<Connection>> override
    {
        const auto connection = std::make_shared<HttpConnection>(this->executor);
        const auto connected = co_await connection->connect(std::move(endpoint), deadline);
        if (!connected) {
            co_return nullptr;
        }
        co_return connection;
    }

private:
    asio::any_io_executor executor;
};

} // namespace

auto makeHttpConnector(boost::asio::any_io_executor executor) -> std::shared_ptr<Connector>
{
    return std::make_shared<HttpConnector>(std::move(executor));
}

} // namespace sapphirespool::upstreams
