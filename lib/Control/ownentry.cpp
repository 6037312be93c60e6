#include "ownentry.h"

#include <algorithm>

namespace sapphirespool::control
{

auto ownEntry(const consensus::Replica &replica, const ZoneId &zone, TimePoint now) -> ControlVmEntry
{
    const auto self = replica.selfMember();
    return {self.vm, zone, self.endpoint, self.replica, static_cast<std::uint32_t>(replica.members().size()), replica.holdsLeaderLease(now)};
}

auto leaderOfOtherGroup(const ControlVmEntry &own, std::span<const KnownControlVm> known) -> const ControlVmEntry *
{
    if (own.groupSize != 1) {
        return nullptr;
    }
    const auto found = std::find_if(known.begin(), known.end(), [&own](const KnownControlVm &other) {
        return other.entry.vm != own.vm && other.entry.leads && other.entry.groupSize > own.groupSize;
    });
    return found == known.end() ? nullptr : &found->entry;
}

} // namespace sapphirespool::control
