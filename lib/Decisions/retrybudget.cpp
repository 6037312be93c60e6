#include "sapphirespool/Decisions/retrybudget.h"

#include <algorithm>
#include <cassert>

namespace sapphirespool::decisions
{

namespace
{

/// Bound of the first wait: a few statements' time, so that a slot may have come free.
constexpr auto firstBound = std::chrono::microseconds(20'000);
/// Bound of all waits; beyond it a caller is better served by an answer with Retry-After.
constexpr auto longestBound = std::chrono::microseconds(1'000'000);
constexpr std::uint32_t mostDoublings = 10;

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
    assert(attempt >= 1 && "the first attempt does not wait");
    assert(random >= 0 && random < 1 && "a random number in [0, 1)");
    const auto doublings = std::min(attempt - 1, mostDoublings);
    const auto bound = std::min(firstBound * (1 << doublings), longestBound);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(bound.count()) * random));
}

} // namespace sapphirespool::decisions
