// dependencyguard.h: detects an overloaded service, so that requests of services which depend on it are refused early.
#pragma once

#include "sapphirespool/Decisions/settings.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>

namespace sapphirespool::decisions
{

/// Counts the admitted and refused requests of one service per window and decides whether services that depend on it are refused.
///
/// Load pattern: a service at the end of a dependency chain refuses most of its work. Each request of a dependent service first
/// takes slots and connections of its own service and is refused only in its last step.
/// Without it dependent services spend their capacity on work that cannot complete.
class DependencyGuard
{
public:
    explicit DependencyGuard(DependencySettings settings);

    auto recordAdmitted(TimePoint now) -> void;
    auto recordRefused(TimePoint now, Duration retryAfter) -> void;

    /// \return whether the service refused too large a fraction of its requests in the last complete window
    [[nodiscard]] auto isRefusing(TimePoint now) -> bool;

    /// Admits one request in probeEvery as a probe: without requests to the service its recovery would go unnoticed.
    /// \return whether this request is the probe
    [[nodiscard]] auto tryProbe() -> bool;

    /// \return the retry delay of the service's latest refusal
    [[nodiscard]] auto retryAfter() const -> Duration;

private:
    auto rollWindow(TimePoint now) -> void;

    DependencySettings settings;
    TimePoint windowStart{};
    std::uint32_t admitted = 0;
    std::uint32_t refused = 0;
    std::uint32_t requestsWhileRefusing = 0;
    bool refusedLastWindow = false;
    Duration lastRetryAfter{};
};

} // namespace sapphirespool::decisions
