// leadreport.h: logs why the lead of the control group is lost or sought.
#pragma once

#include "sapphirespool/Consensus/core.h"

namespace sapphirespool::consensus
{

/// Compares the part that this replica plays with the one before. One line for each lead lost and each election begun here.
class LeadReport
{
public:
    /// \param core after each event that it handled
    auto note(const Core &core, TimePoint now) -> void;

private:
    auto noteLost(const Core &core, TimePoint now) const -> void;

    CoreRole role = CoreRole::Follower;
    ElectionTerm term;
    /// While this replica led: when it last had a quorum. The core forgets it with the lead.
    TimePoint quorumHeardAt{};
};

} // namespace sapphirespool::consensus
