// logbudget.h: bounds the lines that one kind of event may write.
#pragma once

#include "sapphirespool/Support/types.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sapphirespool::support
{

/// Token bucket that holds two seconds' worth of lines.
///
/// Failure: an upstream is lost, and each of thousands of statements a second writes a line about it. The lines take the processor time
/// and the output that serving needs, and drown the one line that tells the cause. Lines above the budget are counted, and the next
/// line that fits says how many there were.
class LogBudget
{
public:
    explicit LogBudget(double linesPerSecond)
        : rate(linesPerSecond)
        , tokens(2.0 * linesPerSecond)
    {
    }

    /// \return whether a line may be written at \p now
    auto tryTake(TimePoint now) -> bool
    {
        if (this->last != TimePoint{}) {
            const auto passed = std::chrono::duration<double>(now - this->last).count();
            this->tokens = std::min(2.0 * this->rate, this->tokens + passed * this->rate);
        }
        this->last = now;
        if (this->tokens < 1.0) {
            ++this->dropped;
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

    /// \return the lines that were left out since the last call
    auto takeDropped() -> std::uint64_t
    {
        const auto count = this->dropped;
        this->dropped = 0;
        return count;
    }

private:
    double rate;
    double tokens;
    TimePoint last{};
    std::uint64_t dropped = 0;
};

} // namespace sapphirespool::support
