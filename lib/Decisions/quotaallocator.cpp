#include "sapphirespool/Decisions/quotaallocator.h"

#include <utility>

namespace sapphirespool::decisions
{

auto QuotaAllocator::setParts(std::span<const QuotaPart> parts, TimePoint now) -> void
{
    auto kept = std::map<CustomerId, TokenBucket>();
    for (const auto &part : parts) {
        const auto former = this->buckets.find(part.customer);
        auto bucket = former == this->buckets.end() ? TokenBucket(part.quota, now) : former->second;
        bucket.setQuota(part.quota, now);
        kept.emplace(part.customer, bucket);
    }
    this->buckets = std::move(kept);
}

auto QuotaAllocator::take(const CustomerId &customer, TimePoint now) -> QuotaDecision
{
    const auto found = this->buckets.find(customer);
    if (found == this->buckets.end()) {
        return NotAllocator();
    }
    if (found->second.tryTake(now)) {
        return QuotaGranted();
    }
    return QuotaExhausted{found->second.timeToToken(now)};
}

} // namespace sapphirespool::decisions
