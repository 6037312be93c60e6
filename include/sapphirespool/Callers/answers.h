// answers.h: turns each way in which a request ends into its HTTP answer.
#pragma once

#include "sapphirespool/Http/message.h"
#include "sapphirespool/Proxy/executor.h"

#include <string_view>

namespace sapphirespool::callers
{

/// \return an `application/problem+json` answer
[[nodiscard]] auto problem(RefusalReason reason, Executed executed, std::string_view detail) -> http::Response;

[[nodiscard]] auto render(const proxy::Reply &reply) -> http::Response;

/// \param service in whose path the transaction is found
[[nodiscard]] auto render(const proxy::BeginReply &reply, const ServiceId &service) -> http::Response;

} // namespace sapphirespool::callers
