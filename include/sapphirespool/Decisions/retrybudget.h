// retrybudget.h: limits the retries that a service adds to its own load, and spreads them.
#pragma once

#include <chrono>
#include <cstdint>

namespace sapphirespool::decisions
{

/// Token bucket that ties retries to first attempts.
///
/// Load pattern: an upstream slows down, each attempt times out and is sent again.
/// Without it the retries double the load of an upstream that is already late, and it does not recover.
class RetryBudget
{
public:
    /// Retries that a quiet service may make without having earned them, and the most that it can save up: ten is the burst
    /// of one lost connection pool.
    static constexpr double reserve = 10;

    /// \param ratio retries earned by one first attempt, 0 to 1
    explicit RetryBudget(double ratio);

    auto setRatio(double ratio) -> void;

    auto recordFirstAttempt() -> void;

    /// \return false if the budget is spent; the caller then gets the first error
    [[nodiscard]] auto trySpend() -> bool;

private:
    double ratio;
    double tokens = reserve;
};

/// Full jitter: a uniform part of an exponentially growing bound.
///
/// Load pattern: an upstream drops a hundred statements in the same millisecond.
/// Without the jitter all of them return in the same millisecond, again and again.
/// \param attempt number of the retry, from 1
/// \param random uniform in [0, 1)
/// \return time to wait before the retry
[[nodiscard]] auto retryDelay(std::uint32_t attempt, double random) -> std::chrono::microseconds;

} // namespace sapphirespool::decisions
