// tokenbucket.h: limits a rate with room for bursts.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

namespace sapphirespool::decisions
{

/// Token bucket. It starts empty: whatever allocated the same quota before may have given out the whole burst a moment ago.
class TokenBucket
{
public:
    TokenBucket(const membership::Quota &quota, TimePoint now);

    /// Changes the limits; the tokens that exceed the new burst are lost.
    auto setQuota(const membership::Quota &newQuota, TimePoint now) -> void;

    /// Takes one token.
    /// \return false if there is none
    [[nodiscard]] auto tryTake(TimePoint now) -> bool;

    /// \return time until the next token is there
    [[nodiscard]] auto timeToToken(TimePoint now) -> Duration;

private:
    auto refill(TimePoint now) -> void;

    membership::Quota quota;
    double tokens = 0.0;
    TimePoint filledAt;
};

} // namespace sapphirespool::decisions
