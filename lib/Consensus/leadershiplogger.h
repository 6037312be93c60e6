// leadershiplogger.h: logs why leadership of the control group is lost or an election is started.
#pragma once

#include "sapphirespool/Consensus/core.h"

#include <string_view>

namespace sapphirespool::consensus
{

/// Compares the role of this replica with its previous role, and logs an event for each loss of leadership and each election that
/// this replica starts.
class LeadershipLogger
{
public:
    /// Must be called after each event that \p core handled.
    /// \param core the core in its state after the event
    auto update(const Core &core, TimePoint now) -> void;

private:
    [[nodiscard]] auto lossReason(const Core &core) const -> std::string_view;
    auto logLeadershipLost(const Core &core, TimePoint now) const -> void;

    CoreRole role = CoreRole::Follower;
    ElectionTerm term;
    /// When this replica, as leader, last had contact with a quorum. Kept here, as the core clears the progress of its peers when it
    /// steps down.
    TimePoint lastQuorumContactTime{};
};

} // namespace sapphirespool::consensus
