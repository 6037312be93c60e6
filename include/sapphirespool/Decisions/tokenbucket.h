// tokenbucket.h: limits a rate with room for bursts.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <optional>

namespace sapphirespool::decisions
{

/// Token bucket. It starts empty: whatever allocated the same quota before may have given out the whole burst a moment ago.
class TokenBucket
{
public:
    TokenBucket(const membership::Quota &quota, TimePoint now);

    /// Changes the limits; the tokens that exceed the new burst are lost.
    auto setQuota(const membership::Quota &newQuota, TimePoint now) -> void;

    /// Takes one token, or reserves the next one that comes.
    /// \param maxWait longest time that the operation may wait for its token
    /// \return the time until the operation may run; nothing if that is longer than \p maxWait
    [[nodiscard]] auto take(TimePoint now, Duration maxWait) -> std::optional<Duration>;

    /// \return time until there is a token that nobody has reserved
    [[nodiscard]] auto timeToToken(TimePoint now) -> Duration;

private:
    auto refill(TimePoint now) -> void;

    membership::Quota quota;
    /// Below zero if tokens are reserved.
    double tokens = 0.0;
    TimePoint filledAt;
};

} // namespace sapphirespool::decisions
