// outcomecodec.h: the text form of replies that are kept for a key or sent to another proxy.
#pragma once

#include "sapphirespool/Proxy/executor.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespool::proxy
{

[[nodiscard]] auto encodeReply(const Reply &reply) -> std::string;

/// \return what encodeReply() wrote, or nothing if \p text is something else
[[nodiscard]] auto decodeReply(std::string_view text) -> std::optional<Reply>;

} // namespace sapphirespool::proxy
