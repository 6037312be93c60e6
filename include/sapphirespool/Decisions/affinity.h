// affinity.h: rendezvous hashing of customers to the places where they have open connections.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <string_view>

namespace sapphirespool::decisions
{

/// Load pattern: a connection serves one customer, and there are more customers than connections. If each proxy sends a customer's
/// statements somewhere else, every place opens a connection for every customer and closes another one's for it; half of the statements
/// then pay for a handshake, which takes a slot of the upstream for as long as a short statement. Where all proxies prefer the same
/// place for a customer, most statements find a connection open.
///
/// \return how much \p customer prefers \p place; the highest of several places is the preferred one, and stays so if others come or go
[[nodiscard]] auto affinity(const CustomerId &customer, std::string_view place) -> std::uint64_t;

} // namespace sapphirespool::decisions
