// handler.h: the HTTP API that callers use.
#pragma once

#include "sapphirespool/Http/server.h"

#include <atomic>
#include <memory>

namespace sapphirespool::proxy
{
class Executor;
}

namespace sapphirespool::callers
{

/// \return a handler for `/v1/services/...` that runs statements and transactions by \p executor
[[nodiscard]] auto makeHandler(std::shared_ptr<proxy::Executor> executor) -> std::shared_ptr<http::Handler>;

/// What the balancer is told; set from any thread.
struct Readiness
{
    std::atomic<bool> ready = false;
};

/// \return a handler for `/healthz`, which answers as long as the process does, and `/readyz`, which answers 503 unless \p readiness says ready
[[nodiscard]] auto makeHealthHandler(std::shared_ptr<const Readiness> readiness) -> std::shared_ptr<http::Handler>;

} // namespace sapphirespool::callers
