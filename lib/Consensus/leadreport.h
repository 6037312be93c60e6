// leadreport.h: logs lost leadership and started elections of the control group.
#pragma once

#include "sapphirespool/Consensus/core.h"

namespace sapphirespool::consensus
{

/// Compares the role of this replica with its previous role, and logs an event for each loss of leadership and each election that
/// this replica starts.
class LeadReport
{
public:
    /// Must be called after each event that \p core handled.
    /// \param core the core in its state after the event
    auto note(const Core &core, TimePoint now) -> void;

private:
    auto noteLost(const Core &core, TimePoint now) const -> void;

    CoreRole role = CoreRole::Follower;
    ElectionTerm term;
    /// When this replica, as leader, last had contact with a quorum. Copied, as the core clears it when it steps down.
    TimePoint quorumHeardAt{};
};

} // namespace sapphirespool::consensus
