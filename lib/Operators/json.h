// json.h: the JSON forms of the operators' API.
#pragma once

#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Support/refusal.h"

#include <boost/json/object.hpp>

#include <string_view>

namespace sapphirespool::operators
{

[[nodiscard]] auto statusJson(const membership::ClusterStatus &status) -> boost::json::object;

/// \return a problem as RFC 9457 has it
[[nodiscard]] auto problemJson(RefusalReason reason, std::string_view detail, Executed executed) -> boost::json::object;

} // namespace sapphirespool::operators
