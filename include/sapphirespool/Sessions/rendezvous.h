// rendezvous.h: chooses the proxies that hold copies for a name; all proxies with the same view choose the same ones.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace sapphirespool::sessions
{

/// A proxy that holds a copy, as listed in the view.
struct Holder
{
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;

    auto operator==(const Holder &) const -> bool = default;
};

/// \return the proxies of \p view that are eligible as holders
[[nodiscard]] auto candidates(const membership::ClusterView &view) -> std::vector<Holder>;

/// Selects holders by rendezvous hashing: the highest score of each zone first, then others if there are fewer zones than copies.
///
/// A holder chosen from a set is also chosen from each subset that contains it.
/// \return at most \p copies holders for \p name; within each of these two steps, the highest score comes first
[[nodiscard]] auto chooseHolders(std::string_view name, std::span<const Holder> among, std::size_t copies) -> std::vector<Holder>;

} // namespace sapphirespool::sessions
