// clientpool.h: keep-alive connections of the callers to one endpoint.
#pragma once

#include "sapphirespool/Http/client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace sapphirespool::load
{

/// Opens a connection for each request that finds none idle, as independent callers do.
class ClientPool
{
public:
    ClientPool(boost::asio::any_io_executor executor, Endpoint endpoint)
        : executor(std::move(executor))
        , endpoint(std::move(endpoint))
    {
    }

    auto exchange(http::Request request, TimePoint deadline) -> boost::asio::awaitable<http::ExchangeResult>
    {
        while (!this->idle.empty()) {
            auto client = std::move(this->idle.back());
            this->idle.pop_back();
            auto result = co_await client->exchange(request, deadline);
            if (result.error && !result.sent) {
                // The server closed it while it was idle.
                continue;
            }
            this->keep(std::move(client));
            co_return result;
        }
        auto client = http::makeClientConnection(this->executor);
        auto result = http::ExchangeResult();
        result.error = co_await client->connect(this->endpoint, deadline);
        if (!result.error) {
            result = co_await client->exchange(std::move(request), deadline);
            this->keep(std::move(client));
        }
        co_return result;
    }

private:
    auto keep(std::shared_ptr<http::ClientConnection> client) -> void
    {
        if (client->isOpen()) {
            this->idle.push_back(std::move(client));
        }
    }

    boost::asio::any_io_executor executor;
    Endpoint endpoint;
    std::vector<std::shared_ptr<http::ClientConnection>> idle;
};

} // namespace sapphirespool::load
