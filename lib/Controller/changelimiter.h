// changelimiter.h: rate limit of configuration changes.
#pragma once

#include "sapphirespool/Controller/controller.h"
#include "sapphirespool/Support/types.h"

#include <algorithm>
#include <chrono>

namespace sapphirespool::controller
{

/// Token bucket with a rate of changesPerSecond and a capacity of one second.
class ChangeLimiter
{
public:
    /// \return whether a change may be proposed at \p now
    auto tryTake(TimePoint now) -> bool
    {
        const auto passed = std::chrono::duration<double>(now - this->last).count();
        this->tokens = std::min<double>(changesPerSecond, this->tokens + passed * changesPerSecond);
        this->last = now;
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double tokens = changesPerSecond;
    TimePoint last{};
};

} // namespace sapphirespool::controller
