#include "sapphirespool/Http/router.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::http
{

Router::Router(std::shared_ptr<Handler> fallback)
    : fallback(std::move(fallback))
{
}

auto Router::add(std::string prefix, std::shared_ptr<Handler> handler) -> void
{
    this->routes.push_back({std::move(prefix), std::move(handler)});
    std::sort(this->routes.begin(), this->routes.end(), [](const Route &left, const Route &right) {
        return left.prefix.size() > right.prefix.size();
    });
}

auto Router::handle(Request request) -> boost::asio::awaitable<Response>
{
    const auto handler = this->handlerFor(request.target());
    auto response = co_await handler->handle(std::move(request));
    co_return response;
}

auto Router::reject(Status status, std::string_view detail) -> Response
{
    return this->fallback->reject(status, detail);
}

auto Router::handlerFor(std::string_view target) const -> const std::shared_ptr<Handler> &
{
    const auto found = std::find_if(this->routes.begin(), this->routes.end(), [target](const Route &route) {
        return target.starts_with(route.prefix);
    });
    return found == this->routes.end() ? this->fallback : found->handler;
}

} // namespace sapphirespool::http
