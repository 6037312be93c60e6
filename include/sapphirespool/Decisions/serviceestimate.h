// serviceestimate.h: learns how long statements take.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstdint>

namespace sapphirespool::decisions
{

/// Moving mean and mean deviation of measured service times.
///
/// The weights of a new value are by default those that TCP uses for its round trip time (1/8 and 1/4): a change of level is
/// followed within about eight answers, and a single long statement moves the mean by an eighth.
class ServiceEstimate
{
public:
    static constexpr double defaultWeight = 1.0 / 8;

    /// \param weight part of a new value in the mean; the deviation moves twice as fast
    explicit ServiceEstimate(double weight = defaultWeight);

    auto record(Duration measured) -> void;

    /// \return the mean, or a guess of 5 ms as long as nothing was measured
    [[nodiscard]] auto mean() const -> Duration;

    /// \return a time that few statements exceed: the mean and four mean deviations
    [[nodiscard]] auto high() const -> Duration;

    [[nodiscard]] auto samples() const -> std::uint32_t;

    auto reset() -> void;

private:
    double weight;
    double meanSeconds = 0.005;
    double deviationSeconds = 0.0025;
    std::uint32_t count = 0;
};

} // namespace sapphirespool::decisions
