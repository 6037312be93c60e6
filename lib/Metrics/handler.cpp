#include "sapphirespool/Metrics/handler.h"

#include <utility>

namespace sapphirespool::metrics
{

namespace
{

namespace asio = boost::asio;

class MetricsHandler : public http::Handler
{
public:
    explicit MetricsHandler(std::shared_ptr<const Metrics> metrics)
        : metrics(std::move(metrics))
    {
    }

    auto handle(http::Request request) -> asio::awaitable<http::Response> override
    {
        if (request.method() != http::Verb::get) {
            co_return this->reject(http::Status::method_not_allowed, "metrics are read with GET");
        }
        auto response = http::textResponse(http::Status::ok, this->metrics->prometheusText());
        response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
        co_return response;
    }

    auto reject(http::Status status, std::string_view detail) -> http::Response override
    {
        return http::textResponse(status, detail);
    }

private:
    std::shared_ptr<const Metrics> metrics;
};

} // namespace

auto makeMetricsHandler(std::shared_ptr<const Metrics> metrics) -> std::shared_ptr<http::Handler>
{
    return std::make_shared<MetricsHandler>(std::move(metrics));
}

} // namespace sapphirespool::metrics
