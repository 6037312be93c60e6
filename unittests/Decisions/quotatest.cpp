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
        granted += bucket.take(now, 0ms) ? 1 : 0;
    }
    return granted;
}

} // namespace

TEST_CASE("a token bucket starts empty, fills to its burst and then follows its rate")
{
    auto bucket = TokenBucket(Quota{10, 5}, start);
    CHECK_FALSE(bucket.take(start, 0ms));
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
    CHECK_FALSE(bucket.take(start, 0ms));
    CHECK_FALSE(bucket.take(start + 1h + 10ms, 0ms));
    auto none = TokenBucket(Quota{0, 0}, start);
    CHECK_FALSE(none.take(start + 1h, 1s));
    CHECK(none.timeToToken(start + 1h) > 1s);
}

// A part that moves back and forth between two proxies must not give its burst anew each time.
TEST_CASE("a part that a proxy takes up starts without tokens, and one that stays keeps its own")
{
    auto allocator = QuotaAllocator();
    const auto parts = std::array{QuotaPart{chefs, {10, 10}}};
    CHECK(std::holds_alternative<NotAllocator>(allocator.take(chefs, start)));
    allocator.setParts(parts, start, start);
    CHECK(std::holds_alternative<QuotaExhausted>(allocator.take(chefs, start)));
    CHECK(std::holds_alternative<QuotaGranted>(allocator.take(chefs, start + 1s)));
    allocator.setParts(parts, start + 1s, start + 1s);
    CHECK(std::holds_alternative<QuotaGranted>(allocator.take(chefs, start + 1s)));
    allocator.setParts({}, start + 1s, start + 1s);
    CHECK(std::holds_alternative<NotAllocator>(allocator.take(chefs, start + 1s)));
    allocator.setParts(parts, start + 1s, start + 1s);
    const auto refused = allocator.take(chefs, start + 1s);
    REQUIRE(std::holds_alternative<QuotaExhausted>(refused));
    CHECK(std::get<QuotaExhausted>(refused).retryAfter == 100ms);
}

// After an outage there are more operations than tokens: refused ones come back at times of their own, and tokens would go unused.
TEST_CASE("operations that may wait reserve the tokens to come, in order and none of them twice")
{
    auto bucket = TokenBucket(Quota{100, 10}, start);
    CHECK(bucket.take(start, 50ms) == Duration(10ms));
    CHECK(bucket.take(start, 50ms) == Duration(20ms));
    CHECK_FALSE(bucket.take(start, 25ms));
    CHECK(bucket.timeToToken(start) == Duration(30ms));
    CHECK(bucket.take(start + 10ms, 50ms) == Duration(20ms));
    CHECK_FALSE(bucket.take(start + 30ms, 0ms));
    CHECK(bucket.take(start + 40ms, 0ms) == Duration(0));
}

// A burst: a customer calls at five times its rate for two seconds. All of its rate must be served, each operation within its wait.
TEST_CASE("in a burst beyond its quota a customer is served its whole rate, and no more")
{
    auto allocator = QuotaAllocator();
    allocator.setParts(std::array{QuotaPart{chefs, {50, 5}}}, start, start);
    auto served = 0;
    for (auto now = start; now < start + 2s; now += 4ms) {
        const auto decision = allocator.take(chefs, now, 100ms);
        if (const auto *const granted = std::get_if<QuotaGranted>(&decision)) {
            CHECK(granted->delay <= 100ms);
            served += now + granted->delay < start + 2s ? 1 : 0;
        }
    }
    CHECK(served >= 50 * 2 - 1);
    CHECK(served <= 50 * 2 + 5);
}

// After a power loss all allocators restart at once; with empty buckets they would refuse everybody although nothing ran meanwhile.
TEST_CASE("a restarted allocator counts the tokens since its start")
{
    auto allocator = QuotaAllocator();
    allocator.setParts(std::array{QuotaPart{chefs, {10, 10}}}, start, start + 300ms);
    CHECK(std::holds_alternative<QuotaGranted>(allocator.take(chefs, start + 300ms)));
    CHECK(std::holds_alternative<QuotaGranted>(allocator.take(chefs, start + 300ms)));
    CHECK(std::holds_alternative<QuotaGranted>(allocator.take(chefs, start + 300ms)));
    CHECK(std::holds_alternative<QuotaExhausted>(allocator.take(chefs, start + 300ms)));
}

} // namespace sapphirespool::decisions
