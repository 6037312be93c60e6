// router.h: hands each request to the handler of its path.
#pragma once

#include "sapphirespool/Http/server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespool::http
{

/// Picks a handler by the longest path prefix that was added. Add all of them before the server listens.
class Router : public Handler
{
public:
    /// \param fallback answers paths that nobody added, and bytes that are no request
    explicit Router(std::shared_ptr<Handler> fallback);

    /// Hands requests whose path begins with \p prefix to \p handler.
    auto add(std::string prefix, std::shared_ptr<Handler> handler) -> void;

    auto handle(Request request) -> boost::asio::awaitable<Response> override;
    auto reject(Status status, std::string_view detail) -> Response override;

private:
    struct Route
    {
        std::string prefix;
        std::shared_ptr<Handler> handler;
    };

    [[nodiscard]] auto handlerFor(std::string_view target) const -> const std::shared_ptr<Handler> &;

    std::vector<Route> routes;
    std::shared_ptr<Handler> fallback;
};

} // namespace sapphirespool::http
