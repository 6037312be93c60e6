#include "sapphirespool/Decisions/retrybudget.h"

#include <algorithm>
#include <cassert>

namespace sapphirespool::decisions
{

namespace
{

/// Upper bound of the first delay: the time of a few statements, after which a slot may be available.
constexpr auto initialBound = std::chrono::microseconds(20'000);
/// Upper bound of all delays; instead of a longer delay the caller receives an answer with Retry-After.
constexpr auto maximumBound = std::chrono::microseconds(1'000'000);
constexpr std::uint32_t maximumDoublings = 10;

} // namespace

RetryBudget::RetryBudget(double ratio)
    : ratio(ratio)
{
}

auto RetryBudget::setRatio(double ratio) -> void
{
    this->ratio = ratio;
}

auto RetryBudget::recordFirstAttempt() -> void
{
    this->tokens = std::min(reserve, this->tokens + this->ratio);
}

auto RetryBudget::trySpend() -> bool
{
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

auto retryDelay(std::uint32_t attempt, double random) -> std::chrono::microseconds
{
    assert(attempt >= 1 && "retries are numbered from 1");
    assert(random >= 0 && random < 1 && "random is in [0, 1)");
    const auto doublings = std::min(attempt - 1, maximumDoublings);
    const auto bound = std::min(initialBound * (1 << doublings), maximumBound);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(bound.count()) * random));
}

} // namespace sapphirespool::decisions
