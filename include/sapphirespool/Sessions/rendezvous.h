// rendezvous.h: chooses the proxies that keep something for a name, the same on each proxy of one view.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace sapphirespool::sessions
{

/// A proxy that keeps a copy, as this view knows it.
struct Holder
{
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;

    auto operator==(const Holder &) const -> bool = default;
};

/// \return the proxies of \p view that may keep copies
[[nodiscard]] auto candidates(const membership::ClusterView &view) -> std::vector<Holder>;

/// Picks by rendezvous hash: the best of each zone first, then others if there are fewer zones than copies.
///
/// A holder of a set is also a holder of each smaller set that still contains it.
/// \return at most \p copies holders for \p name, best first
[[nodiscard]] auto chooseHolders(std::string_view name, std::span<const Holder> among, std::size_t copies) -> std::vector<Holder>;

} // namespace sapphirespool::sessions
