// serviceestimate.h: moving estimate of service times.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstdint>

namespace sapphirespool::decisions
{

/// Moving mean and mean deviation of measured service times.
///
/// Service times are unknown in advance; without an estimate, admission and routing could not predict a wait, nor ejection detect a slow
/// upstream.
/// By default a new value has the weights that TCP uses for its round trip time (1/8 for the mean and 1/4 for the deviation): the
/// estimate follows a change of level within about eight answers, and a single long statement moves the mean by an eighth of the
/// difference.
class ServiceEstimate
{
public:
    static constexpr double defaultWeight = 1.0 / 8;

    /// \param weight weight of a new value in the mean; its weight in the deviation is twice as large
    explicit ServiceEstimate(double weight = defaultWeight);

    auto record(Duration measured) -> void;

    /// \return the mean, or a default of 5 ms until the first value is recorded
    [[nodiscard]] auto mean() const -> Duration;

    /// \return a time that few statements exceed: the mean plus four mean deviations
    [[nodiscard]] auto upperEstimate() const -> Duration;

    [[nodiscard]] auto samples() const -> std::uint32_t;

    auto reset() -> void;

private:
    double weight;
    double meanSeconds = 0.005;
    double deviationSeconds = 0.0025;
    std::uint32_t count = 0;
};

} // namespace sapphirespool::decisions
