// retrybudget.h: retry budget of a service and randomized exponential backoff.
#pragma once

#include <chrono>
#include <cstdint>

namespace sapphirespool::decisions
{

/// Token bucket that limits retries to a fraction of first attempts.
///
/// Load pattern: an upstream slows down, each attempt times out and is retried.
/// Without the budget the retries double the load of an upstream that is already overloaded, and it does not recover.
class RetryBudget
{
public:
    /// Initial tokens and capacity of the bucket: a service without recent traffic may retry this often. Ten covers the burst of
    /// retries after the loss of one connection pool.
    static constexpr double reserve = 10;

    /// \param ratio tokens added by each first attempt, 0 to 1
    explicit RetryBudget(double ratio);

    auto setRatio(double ratio) -> void;

    auto recordFirstAttempt() -> void;

    /// Takes one token for a retry.
    /// \return false if the budget is exhausted; the caller then receives the error of the first attempt
    [[nodiscard]] auto trySpend() -> bool;

private:
    double ratio;
    double tokens = reserve;
};

/// Exponential backoff with full jitter: a uniformly distributed delay below an exponentially growing bound.
///
/// Load pattern: an upstream drops a hundred statements in the same millisecond.
/// Without the jitter all of them are retried in the same millisecond, again and again.
/// \param attempt number of the retry, from 1
/// \param random uniform in [0, 1)
/// \return time to wait before the retry
[[nodiscard]] auto retryDelay(std::uint32_t attempt, double random) -> std::chrono::microseconds;

} // namespace sapphirespool::decisions
