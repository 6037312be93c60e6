#include "sapphirespool/Decisions/serviceestimate.h"

#include <algorithm>
#include <cmath>

namespace sapphirespool::decisions
{

namespace
{

constexpr auto deviationFactor = 4.0;

auto secondsToDuration(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

ServiceEstimate::ServiceEstimate(double weight)
    : weight(weight)
{
}

auto ServiceEstimate::record(Duration measured) -> void
{
    const auto value = std::chrono::duration<double>(measured).count();
    if (this->count == 0) {
        this->meanSeconds = value;
        this->deviationSeconds = value / 2;
    } else {
        this->deviationSeconds += 2 * this->weight * (std::abs(value - this->meanSeconds) - this->deviationSeconds);
        this->meanSeconds += this->weight * (value - this->meanSeconds);
    }
    ++this->count;
}

auto ServiceEstimate::mean() const -> Duration
{
    return secondsToDuration(this->meanSeconds);
}

auto ServiceEstimate::upperEstimate() const -> Duration
{
    return secondsToDuration(this->meanSeconds + deviationFactor * this->deviationSeconds);
}

auto ServiceEstimate::samples() const -> std::uint32_t
{
    return this->count;
}

auto ServiceEstimate::reset() -> void
{
    *this = ServiceEstimate(this->weight);
}

} // namespace sapphirespool::decisions
