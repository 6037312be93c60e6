#include "sapphirespool/Load/sessionhistory.h"

#include <catch2/catch.hpp>

namespace sapphirespool::load
{

namespace
{

auto check(const SessionHistory &history, const std::map<WriteNumber, std::uint64_t> &stored) -> Violations
{
    auto violations = Violations();
    history.check(stored, violations);
    return violations;
}

} // namespace

TEST_CASE("a read must see what the session was told of, and nothing else is asked of it")
{
    auto history = SessionHistory();
    history.endWrite(history.beginWrite(), ReplyKind::Answered);
    history.endWrite(history.beginWrite(), ReplyKind::Unknown);
    CHECK(history.floor() == 1);
    history.endRead(1, 2);
    history.endRead(1, 1);
    CHECK(check(history, {{1, 1}}).staleReads == 0);
    history.endRead(1, 0);
    CHECK(check(history, {{1, 1}}).staleReads == 1);
}

TEST_CASE("writes are compared with what the database holds")
{
    auto history = SessionHistory();
    history.endWrite(history.beginWrite(), ReplyKind::Answered);
    history.endWrite(history.beginWrite(), ReplyKind::NotRun);
    history.endWrite(history.beginWrite(), ReplyKind::Unknown);
    SECTION("an unknown one may stand there or not")
    {
        CHECK(keptPromises(check(history, {{1, 1}})));
        CHECK(keptPromises(check(history, {{1, 1}, {3, 1}})));
    }
    SECTION("an acknowledged one must stand there")
    {
        CHECK(check(history, {}).lostWrites == 1);
    }
    SECTION("none may stand there twice")
    {
        CHECK(check(history, {{1, 2}, {3, 2}}).doubledWrites == 2);
    }
    SECTION("one that was not run must not stand there")
    {
        CHECK(check(history, {{1, 1}, {2, 1}}).untrueRefusals == 1);
    }
}

} // namespace sapphirespool::load
