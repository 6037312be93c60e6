// departures.h: control VMs that were asked to stop.
#pragma once

#include "sapphirespool/Consensus/messages.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <map>

namespace sapphirespool::consensus
{

/// The replicas that have asked to end, as far as their requests reached this VM.
///
/// Each VM keeps them, so that a new leader knows which voters will not return to it.
class Departures
{
public:
    /// Requests are repeated several times in this time. One that is not repeated comes from a process that has ended.
    static constexpr auto requestLifetime = std::chrono::milliseconds(1'000);

    auto recordRequest(ReplicaId replica, TimePoint now) -> void;

    /// Records a message of \p replica. If its process had ended, a new one has started, and the request no longer counts.
    auto recordMessage(ReplicaId replica, TimePoint now) -> void;

    /// Records that \p replica was told that it may end.
    auto recordRelease(ReplicaId replica) -> void;

    /// \return whether \p replica is about to end
    [[nodiscard]] auto isStopping(ReplicaId replica, TimePoint now) const -> bool;

    /// \return whether \p replica was told that it may end, and did not start again since
    [[nodiscard]] auto isReleased(ReplicaId replica) const -> bool;

    /// \return whether \p replica has ended after it asked to
    /// \param silence time since its last message
    [[nodiscard]] auto hasEnded(ReplicaId replica, Duration silence, TimePoint now) const -> bool;

private:
    struct Request
    {
        TimePoint at;
        bool released = false;
    };

    std::map<ReplicaId, Request> requests;
};

} // namespace sapphirespool::consensus
