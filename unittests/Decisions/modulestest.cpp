#include "sapphirespool/Decisions/retrybudget.h"

#include <catch2/catch.hpp>

namespace sapphirespool::decisions
{

TEST_CASE("retries stop when the budget is exhausted and resume after first attempts")
{
    auto budget = RetryBudget(0.1);
    for (auto count = 0; count < static_cast<int>(RetryBudget::reserve); ++count) {
        CHECK(budget.trySpend());
    }
    CHECK_FALSE(budget.trySpend());
    for (auto count = 0; count < 11; ++count) {
        budget.recordFirstAttempt();
    }
    CHECK(budget.trySpend());
    CHECK_FALSE(budget.trySpend());
}

TEST_CASE("the retry delay is a random fraction of an exponentially growing bound")
{
    CHECK(retryDelay(1, 0.5) == std::chrono::milliseconds(10));
    CHECK(retryDelay(3, 0.5) == std::chrono::milliseconds(40));
    CHECK(retryDelay(50, 0.5) == std::chrono::milliseconds(500));
}

} // namespace sapphirespool::decisions
