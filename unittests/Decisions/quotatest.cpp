#include "sapphirespool/Decisions/quotaallocator.h"
#include "sapphirespool/Decisions/tokenbucket.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>

namespace sapphirespool::decisions
{

namespace
{

using namespace std::chrono_literals;
using membership::Quota;

const auto start = TimePoint(std::chrono::hours(1));
const auto chefs = CustomerId("chefs");

/// \return how many of the operations that arrive every millisecond for \p time are granted
auto grantedIn(TokenBucket &bucket, TimePoint from, Duration time) -> int
{
    auto granted = 0;
    for (auto now = from; now < from + time; now += 1ms) {
        granted += bucket.tryTake(now) ? 1 : 0;
    }
    return granted;
}

} // namespace

TEST_CASE("a token bucket starts empty, fills to its burst and then follows its rate")
{
    auto bucket = TokenBucket(Quota{10, 5}, start);
    CHECK_FALSE(bucket.tryTake(start));
    CHECK(bucket.timeToToken(start) == 100ms);
    CHECK(grantedIn(bucket, start + 1h, 1ms) == 1);
    CHECK(grantedIn(bucket, start + 2h, 1s) >= 5 + 9);
    CHECK(grantedIn(bucket, start + 2h + 1s, 10s) <= 101);
}

TEST_CASE("a lower limit takes effect at once, and a clock that steps back gives no tokens")
{
    auto bucket = TokenBucket(Quota{100, 100}, start);
    bucket.setQuota(Quota{1, 2}, start + 1h);
    CHECK(grantedIn(bucket, start + 1h, 10ms) == 2);
    CHECK_FALSE(bucket.tryTake(start));
    CHECK_FALSE(bucket.tryTake(start + 1h + 10ms));
    auto none = TokenBucket(Quota{0, 0}, start);
    CHECK_FALSE(none.tryTake(start + 1h));
    CHECK(none.timeToToken(start + 1h) > 1s);
}

// A part that moves back and forth between two proxies must not give its burst anew each time.
TEST_CASE("a part that a proxy takes up starts without tokens, and one that stays keeps its own")
{
    auto allocator = QuotaAllocator();
    const auto parts = std::array{QuotaPart{chefs, {10, 10}}};
    CHECK(std::holds_alternative<NotAllocator>(allocator.take(chefs, start)));
    allocator.setParts(parts, start);
    CHECK(std::holds_alternative<QuotaExhausted>(allocator.take(chefs, start)));
    CHECK(std::holds_alternative<QuotaGranted>(allocator.take(chefs, start + 1s)));
    allocator.setParts(parts, start + 1s);
    CHECK(std::holds_alternative<QuotaGranted>(allocator.take(chefs, start + 1s)));
    allocator.setParts({}, start + 1s);
    CHECK(std::holds_alternative<NotAllocator>(allocator.take(chefs, start + 1s)));
    allocator.setParts(parts, start + 1s);
    const auto refused = allocator.take(chefs, start + 1s);
    REQUIRE(std::holds_alternative<QuotaExhausted>(refused));
    CHECK(std::get<QuotaExhausted>(refused).retryAfter == 100ms);
}

} // namespace sapphirespool::decisions
