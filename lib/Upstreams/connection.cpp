#include "sapphirespool/Upstreams/connection.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Platform/codec.h"
#include "sapphirespool/Support/log.h"

#include <utility>

namespace sapphirespool::upstreams
{

namespace
{

namespace asio = boost::asio;

class HttpConnection : public Connection
{
public:
    explicit HttpConnection(std::shared_ptr<http::ClientConnection> client)
        : client(std::move(client))
    {
    }

    auto execute(platform::ExecuteRequest request, TimePoint deadline) -> asio::awaitable<ExchangeOutcome> override
    {
        request.request = ++this->lastRequest;
        this->busy = true;
        auto message = http::jsonRequest(http::Verb::post, "/v1/execute", platform::toJson(request));
        auto result = co_await this->client->exchange(std::move(message), deadline);
        this->busy = false;
        if (result.error) {
            co_return ExchangeFailure{result.sent, result.error.message()};
        }
        auto reply = platform::fromJson<platform::ExecuteReply>(result.response.body());
        if (!reply || reply->request != request.request) {
            co_return this->dropCrossedAnswer();
        }
        this->noteTransaction(request.operation, reply->status);
        co_return std::move(*reply);
    }

    [[nodiscard]] auto isClean() const -> bool override
    {
        return this->client->isOpen() && !this->busy && !this->inTransaction;
    }

    auto close() -> void override
    {
        this->client->close();
    }

private:
    // An answer that carries another number belongs to another request. Handed out, a caller would read another caller's
    // booking. Closing the connection drops whatever else is on its way on it.
    auto dropCrossedAnswer() -> ExchangeFailure
    {
        support::log(support::Event::UpstreamConnectionClosed, {{"reason", "crossed_answer"}});
        this->client->close();
        return ExchangeFailure{true, "the answer was not that of the request"};
    }

    auto noteTransaction(platform::Operation operation, platform::ExecuteStatus status) -> void
    {
        if (operation == platform::Operation::Statement || status != platform::ExecuteStatus::Done) {
            return;
        }
        this->inTransaction = operation == platform::Operation::Begin;
    }

    std::shared_ptr<http::ClientConnection> client;
    std::uint64_t lastRequest = 0;
    bool busy = false;
    bool inTransaction = false;
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
        auto client = http::makeClientConnection(this->executor);
        const auto error = co_await client->connect(std::move(endpoint), deadline);
        if (error) {
            co_return nullptr;
        }
        co_return std::make_shared<HttpConnection>(std::move(client));
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
