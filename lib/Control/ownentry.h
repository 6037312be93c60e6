// ownentry.h: what a control VM announces of itself.
#pragma once

#include "directorytable.h"
#include "sapphirespool/Consensus/replica.h"
#include "sapphirespool/Support/types.h"

namespace sapphirespool::control
{

/// \return the entry of the VM of \p replica
[[nodiscard]] auto ownEntry(const consensus::Replica &replica, const ZoneId &zone, TimePoint now) -> ControlVmEntry;

/// \return the leader of a group of several members that \p own, in a group of one, is not part of; null if there is none.
///
/// Two groups exist if a founder was not seen by the VM that founded another one. A learner that the group of one just removed is no such
/// group: it has no leader.
[[nodiscard]] auto leaderOfOtherGroup(const ControlVmEntry &own, std::span<const KnownControlVm> known) -> const ControlVmEntry *;

} // namespace sapphirespool::control
