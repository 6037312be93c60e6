// directexecutor.h: runs each statement of the demo on a connection of its own, with none of the promises of the traffic path.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Upstreams/connection.h"

#include <memory>

namespace sapphirespool::tool
{

[[nodiscard]] auto makeDirectExecutor(std::shared_ptr<membership::ViewHolder> views, std::shared_ptr<upstreams::Connector> connector)
    -> std::shared_ptr<proxy::Executor>;

} // namespace sapphirespool::tool
