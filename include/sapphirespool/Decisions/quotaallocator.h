// quotaallocator.h: allocates one proxy's parts of the customers' quotas.
#pragma once

#include "sapphirespool/Decisions/tokenbucket.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <map>
#include <span>
#include <variant>

namespace sapphirespool::decisions
{

/// The part of a customer's quota that one proxy allocates.
struct QuotaPart
{
    CustomerId customer;
    membership::Quota quota;
};

/// The operation may run.
struct QuotaGranted
{
    /// Time until the token that it has reserved is there.
    Duration delay{};
};

/// This proxy allocates no part of the customer's quota.
struct NotAllocator
{
};

/// The part is used up.
struct QuotaExhausted
{
    Duration retryAfter{};
};

using QuotaDecision = std::variant<QuotaGranted, NotAllocator, QuotaExhausted>;

/// Token buckets of the parts that this proxy allocates.
///
/// Load pattern: a customer calls through all proxies, and each of them sees a few of its operations a second. A limit in each proxy
/// either refuses customers whose callers are spread unevenly, or lets one run many times its quota. Here a few proxies allocate a part of the quota
/// each, and all others ask them. A part that a proxy did not have before starts without tokens, so that a change of
/// allocators gives no second burst.
///
/// Load pattern: after an outage all callers return at once, and for a second or two there are more operations than tokens. Refused ones
/// come back at times of their own, and tokens go unused in between. An operation that may wait for a part of its objective reserves the
/// next token instead, so that none is lost and whoever is served is in time.
class QuotaAllocator
{
public:
    /// Replaces the parts. One that stays keeps its tokens, within the new limits.
    /// \param emptyAt when a part that is new here had no tokens; no proxy has allocated it since
    auto setParts(std::span<const QuotaPart> parts, TimePoint emptyAt, TimePoint now) -> void;

    /// \param maxWait longest time that the operation may wait for its token
    [[nodiscard]] auto take(const CustomerId &customer, TimePoint now, Duration maxWait = {}) -> QuotaDecision;

private:
    std::map<CustomerId, TokenBucket> buckets;
};

} // namespace sapphirespool::decisions
