// gracefulshutdown.h: decides when a proxy that is asked to stop takes each step.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace sapphirespool::proxy
{

/// Steps of a stop, in their order.
enum class ShutdownPhase {
    Serving,
    /// The balancer is told to send nothing more; everything is still served, since it takes a while to notice.
    Unready,
    /// New callers are turned away; running requests and transactions go on.
    Finishing,
    /// Nothing more is sent to an upstream. What was sent is still answered; a request of an open transaction is refused, and the
    /// transaction rolled back.
    Answering,
    /// No work is left but answers on their way, which are written; the other connections close.
    Closing,
    Done,
};

/// When the steps of a stop begin at the latest, counted from the request to stop.
///
/// Invariant: nothing is sent to an upstream from `answering` on, and no connection with an unanswered request is closed before `done`. A
/// request that an upstream has run is therefore cut only if the upstream takes longer than the time between the two.
struct ShutdownTimes
{
    std::chrono::milliseconds finishing{0};
    std::chrono::milliseconds answering{0};
    std::chrono::milliseconds closing{0};
    std::chrono::milliseconds done{0};

    /// \return the times for a process that is killed after \p grace, of which callers are told that open transactions have the first half
    [[nodiscard]] static auto ofGrace(std::chrono::milliseconds grace) -> ShutdownTimes;

    /// \return the times for a process that nobody kills
    /// \param balancerDelay time that the balancer needs to see that this proxy is not ready
    /// \param drainTimeout time after it until work that still runs is cut
    [[nodiscard]] static auto ofDrain(std::chrono::milliseconds balancerDelay, std::chrono::milliseconds drainTimeout) -> ShutdownTimes;
};

/// What still runs.
struct RunningWork
{
    std::size_t requests = 0;
    std::size_t transactions = 0;
    /// Requests that were read and whose answer was not yet written.
    std::size_t unanswered = 0;
};

/// State machine of a stop. It reads no clock.
class GracefulShutdown
{
public:
    explicit GracefulShutdown(ShutdownTimes times);

    auto begin(TimePoint now) -> void;

    /// Takes at most one step.
    /// \return the phase that was entered, or nothing if the present one lasts
    [[nodiscard]] auto advance(RunningWork work, TimePoint now) -> std::optional<ShutdownPhase>;

    [[nodiscard]] auto phase() const -> ShutdownPhase;

    /// \return from when on nothing may be sent to an upstream; TimePoint::max() before the stop begins
    [[nodiscard]] auto forwardingEnd() const -> TimePoint;

private:
    [[nodiscard]] auto isStepDue(RunningWork work, TimePoint now) const -> bool;

    ShutdownTimes times;
    ShutdownPhase current = ShutdownPhase::Serving;
    TimePoint beganAt{};
};

} // namespace sapphirespool::proxy
