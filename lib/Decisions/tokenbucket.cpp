#include "sapphirespool/Decisions/tokenbucket.h"

#include <algorithm>
#include <chrono>

namespace sapphirespool::decisions
{

TokenBucket::TokenBucket(const membership::Quota &quota, TimePoint now)
    : quota(quota)
    , filledAt(now)
{
}

auto TokenBucket::setQuota(const membership::Quota &newQuota, TimePoint now) -> void
{
    this->refill(now);
    this->quota = newQuota;
    this->tokens = std::min(this->tokens, newQuota.burst);
}

auto TokenBucket::take(TimePoint now, Duration maxWait) -> std::optional<Duration>
{
    const auto wait = this->timeToToken(now);
    if (wait > maxWait) {
        return std::nullopt;
    }
    this->tokens -= 1.0;
    return wait;
}

auto TokenBucket::timeToToken(TimePoint now) -> Duration
{
    // A bucket that never fills again is asked about once in a while.
    constexpr auto longest = std::chrono::seconds(10);
    this->refill(now);
    if (this->tokens >= 1.0) {
        return Duration(0);
    }
    if (this->quota.ratePerSecond <= 0.0) {
        return longest;
    }
    const auto missing = std::chrono::duration<double>((1.0 - this->tokens) / this->quota.ratePerSecond);
    return std::min<Duration>(longest, std::chrono::ceil<Duration>(missing));
}

auto TokenBucket::refill(TimePoint now) -> void
{
    const auto elapsed = std::chrono::duration<double>(std::max<Duration>(Duration(0), now - this->filledAt));
    this->tokens = std::min(this->quota.burst, this->tokens + this->quota.ratePerSecond * elapsed.count());
    this->filledAt = std::max(this->filledAt, now);
}

} // namespace sapphirespool::decisions
