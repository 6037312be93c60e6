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
    /// New work is refused as not run; running requests and transactions go on.
    Finishing,
    /// No work is left; answers on their way are written, then connections close.
    Closing,
    Done,
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
    GracefulShutdown(std::chrono::milliseconds balancerDelay, std::chrono::milliseconds drainTimeout);

    auto begin(TimePoint now) -> void;

    /// Takes at most one step.
    /// \return the phase that was entered, or nothing if the present one lasts
    [[nodiscard]] auto advance(RunningWork work, TimePoint now) -> std::optional<ShutdownPhase>;

    [[nodiscard]] auto phase() const -> ShutdownPhase;

private:
    [[nodiscard]] auto isStepDue(RunningWork work, TimePoint now) const -> bool;

    std::chrono::milliseconds balancerDelay;
    std::chrono::milliseconds drainTimeout;
    ShutdownPhase current = ShutdownPhase::Serving;
    TimePoint finishAt{};
    TimePoint cutAt{};
};

} // namespace sapphirespool::proxy
