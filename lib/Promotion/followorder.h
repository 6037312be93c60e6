// followorder.h: orders to members to follow a primary.
#pragma once

#include "sapphirespool/Promotion/messages.h"
#include "sapphirespool/State/records.h"

namespace sapphirespool::promotion
{

/// \return the order to \p member to receive the writes of \p primary
[[nodiscard]] auto followOf(const state::GroupRecord &group, const membership::UpstreamView &member, const membership::UpstreamView &primary) -> SendFollow;

} // namespace sapphirespool::promotion
