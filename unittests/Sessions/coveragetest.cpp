#include "sapphirespool/Sessions/coverage.h"

#include <catch2/catch.hpp>

namespace sapphirespool::sessions
{

namespace
{

auto at(std::uint64_t term, std::uint64_t position) -> TermPosition
{
    return {Term(term), LogPosition(position)};
}

/// Term 2 kept the log up to 10, term 3 up to 25.
auto promotedTwice() -> membership::GroupView
{
    auto group = membership::GroupView();
    group.term = Term(3);
    group.history = {{Term(1), LogPosition(0)}, {Term(2), LogPosition(10)}, {Term(3), LogPosition(25)}};
    return group;
}

} // namespace

TEST_CASE("a position that a promotion dropped is no debt")
{
    // A caller's write reached the old primary at position 14 and was never acknowledged; the caller's token names it all the
    // same, since an earlier read saw it. The new primary kept the log up to 10. No member will ever hold that entry 14, so a read
    // that waits for it would end at its deadline; what is due is what was kept.
    const auto group = promotedTwice();
    CHECK(standingDebt(group, at(1, 14)) == at(3, 10));
    CHECK(standingDebt(group, at(1, 8)) == at(3, 8));
    CHECK(standingDebt(group, at(2, 30)) == at(3, 25));
    CHECK(standingDebt(group, at(3, 30)) == at(3, 30));
}

TEST_CASE("a position of a term that the view does not know yet cannot be judged")
{
    CHECK(standingDebt(promotedTwice(), at(4, 1)) == std::nullopt);
}

TEST_CASE("a replica of an ended term does not cover by entries that were dropped")
{
    // The caller's booking is entry 26 of term 3. A replica that was cut off still shows term 2 up to entry 40. Compared by number
    // alone it covers entry 26, and the caller misses the booking; of term 2 only 25 entries still stand.
    const auto group = promotedTwice();
    CHECK_FALSE(covers(group, at(3, 26), at(2, 40)));
    CHECK(covers(group, at(3, 25), at(2, 40)));
    CHECK_FALSE(covers(group, at(3, 11), at(1, 40)));
}

TEST_CASE("an answer of the present or a later term covers by its position")
{
    const auto group = promotedTwice();
    CHECK(covers(group, at(3, 26), at(3, 26)));
    CHECK_FALSE(covers(group, at(3, 26), at(3, 25)));
    CHECK(covers(group, at(3, 26), at(4, 26)));
}

} // namespace sapphirespool::sessions
