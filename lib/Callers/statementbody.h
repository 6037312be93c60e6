// statementbody.h: reads the JSON body of a statement.
#pragma once

#include "sapphirespool/Callers/requestparser.h"
#include "sapphirespool/Upstreams/statement.h"

#include <string_view>
#include <variant>

namespace sapphirespool::callers
{

using ParsedBody = std::variant<upstreams::Statement, BadRequest>;

[[nodiscard]] auto parseStatementBody(std::string_view body) -> ParsedBody;

/// \return what is wrong with the body of a request that needs none
[[nodiscard]] auto checkEmptyBody(std::string_view body) -> std::optional<BadRequest>;

} // namespace sapphirespool::callers
