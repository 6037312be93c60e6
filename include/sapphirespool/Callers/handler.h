// handler.h: the HTTP API that callers use.
#pragma once

#include "sapphirespool/Http/server.h"

#include <memory>

namespace sapphirespool::proxy
{
class Executor;
}

namespace sapphirespool::callers
{

/// \return a handler for `/v1/services/...` that runs statements by \p executor
[[nodiscard]] auto makeHandler(std::shared_ptr<proxy::Executor> executor) -> std::shared_ptr<http::Handler>;

} // namespace sapphirespool::callers
