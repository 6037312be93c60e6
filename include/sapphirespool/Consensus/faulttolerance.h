// faulttolerance.h: how many losses the voters of the control group tolerate, and when a shortfall is reported.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/Support/types.h"

#include <functional>
#include <optional>
#include <span>

namespace sapphirespool::consensus
{

/// Longer than a repair by a learner takes, so that a shortfall that is being repaired is not reported.
constexpr auto shortfallReportDelay = std::chrono::seconds(5);

/// Fault tolerance of the control group at one time.
struct FaultTolerance
{
    /// Voters that may be lost in addition while the remaining ones are still a quorum.
    std::size_t survived = 0;
    std::size_t voters = 0;
    /// Availability zones that have a voter.
    std::size_t zones = 0;
};

/// \param responds whether a voter currently responds to the leader
[[nodiscard]] auto toleranceOf(std::span<const ControlMember> members, const std::function<bool(ReplicaId)> &responds) -> FaultTolerance;

/// Decides on the leader when a shortfall is reported: once fewer losses than promised have been tolerated for shortfallReportDelay, then
/// for each change, the last time when the promise is kept again.
class ShortfallMonitor
{
public:
    explicit ShortfallMonitor(std::size_t promised);

    /// \param survived number of losses that are tolerated at \p now
    /// \return whether to report it
    [[nodiscard]] auto update(std::size_t survived, TimePoint now) -> bool;

    /// To be called when this VM is not the leader.
    auto reset() -> void;

private:
    std::size_t promised;
    std::optional<TimePoint> shortSince;
    std::optional<std::size_t> reported;
};

} // namespace sapphirespool::consensus
