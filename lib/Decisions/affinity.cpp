#include "sapphirespool/Decisions/affinity.h"

#include <xxhash.h>

namespace sapphirespool::decisions
{

auto affinity(const CustomerId &customer, std::string_view place) -> std::uint64_t
{
    const auto &name = customer.value();
    return XXH64(place.data(), place.size(), XXH64(name.data(), name.size(), 0));
}

} // namespace sapphirespool::decisions
