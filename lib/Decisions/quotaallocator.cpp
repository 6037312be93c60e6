#include "sapphirespool/Decisions/quotaallocator.h"

#include <utility>

namespace sapphirespool::decisions
{

auto QuotaAllocator::setParts(std::span<const QuotaPart> parts, TimePoint emptyAt, TimePoint now) -> void
{
    auto kept = std::map<CustomerId, TokenBucket>();
    for (const auto &part : parts) {
        const auto former = this->buckets.find(part.customer);
        auto bucket = former == this->buckets.end() ? TokenBucket(part.quota, emptyAt) : former->second;
        bucket.setQuota(part.quota, now);
        kept.emplace(part.customer, bucket);
    }
    this->buckets = std::move(kept);
}

auto QuotaAllocator::take(const CustomerId &customer, TimePoint now, Duration maxWait) -> QuotaDecision
{
    const auto found = this->buckets.find(customer);
    if (found == this->buckets.end()) {
        return NotAllocator();
    }
    if (const auto delay = found->second.take(now, maxWait)) {
        return QuotaGranted{*delay};
    }
    return QuotaExhausted{found->second.timeToToken(now)};
}

} // namespace sapphirespool::decisions
