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

TEST_CASE("reads do not wait for a position that a promotion discarded")
{
    // A write reached the old primary at position 14 and was never acknowledged, but the caller's token contains the position
    // because an earlier read saw it. The new primary kept the log up to 10. No member will ever hold that entry 14, so a read
    // that waited for it would exceed its deadline; it must wait only for the entries that were kept.
    const auto group = promotedTwice();
    CHECK(requiredPosition(group, at(1, 14)) == at(3, 10));
    CHECK(requiredPosition(group, at(1, 8)) == at(3, 8));
    CHECK(requiredPosition(group, at(2, 30)) == at(3, 25));
    CHECK(requiredPosition(group, at(3, 30)) == at(3, 30));
}

TEST_CASE("a position of a term later than the view's has no required position")
{
    CHECK(requiredPosition(promotedTwice(), at(4, 1)) == std::nullopt);
}

TEST_CASE("discarded entries of a replica in an ended term do not cover a position")
{
    // The caller's write is entry 26 of term 3. A partitioned replica still serves term 2 up to entry 40. Compared by position alone
    // it would cover entry 26, and the caller would not read its own write. Of the replica's log only the first 25 entries are still
    // valid.
    const auto group = promotedTwice();
    CHECK_FALSE(covers(group, at(3, 26), at(2, 40)));
    CHECK(covers(group, at(3, 25), at(2, 40)));
    CHECK_FALSE(covers(group, at(3, 11), at(1, 40)));
}

TEST_CASE("an answer of the current or a later term is compared by position")
{
    const auto group = promotedTwice();
    CHECK(covers(group, at(3, 26), at(3, 26)));
    CHECK_FALSE(covers(group, at(3, 26), at(3, 25)));
    CHECK(covers(group, at(3, 26), at(4, 26)));
}

} // namespace sapphirespool::sessions
