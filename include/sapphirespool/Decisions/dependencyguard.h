// dependencyguard.h: refuses a service early while a service that it depends on refuses.
#pragma once

#include "sapphirespool/Decisions/settings.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>

namespace sapphirespool::decisions
{

/// Counts one service's refusals in a window and says whether services above it should be refused.
///
/// Load pattern: a service at the bottom refuses most of its work. Each request of the services above it takes their slots and
/// connections first and is refused in its last step.
/// Without it the services above spend their capacity on work that cannot complete.
class DependencyGuard
{
public:
    explicit DependencyGuard(DependencySettings settings);

    auto recordAdmitted(TimePoint now) -> void;
    auto recordRefused(TimePoint now, Duration retryAfter) -> void;

    /// \return whether the service refuses now, judged by the last whole window
    [[nodiscard]] auto refusing(TimePoint now) -> bool;

    /// Lets one in probeEvery pass, since a service that gets no requests cannot be seen to recover.
    [[nodiscard]] auto probe() -> bool;

    /// \return when to come back, as the dependency last said
    [[nodiscard]] auto retryAfter() const -> Duration;

private:
    auto roll(TimePoint now) -> void;

    DependencySettings settings;
    TimePoint windowStart{};
    std::uint32_t admitted = 0;
    std::uint32_t refused = 0;
    std::uint32_t passed = 0;
    bool lastRefusing = false;
    Duration lastRetryAfter{};
};

} // namespace sapphirespool::decisions
