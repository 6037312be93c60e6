#include "sapphirespool/Upstreams/connectionstate.h"

#include <catch2/catch.hpp>

namespace sapphirespool::upstreams
{

namespace
{

using platform::ExecuteStatus;
using platform::Operation;

auto exchange(ConnectionState &state, Operation operation, ExecuteStatus status = ExecuteStatus::Done) -> ConnectionPhase
{
    state.requestSent();
    state.answered(operation, status);
    return state.phase();
}

} // namespace

TEST_CASE("a connection goes through its phases")
{
    auto state = ConnectionState();
    CHECK(state.phase() == ConnectionPhase::Connecting);
    state.connected();
    CHECK(state.phase() == ConnectionPhase::Idle);
    state.requestSent();
    CHECK(state.phase() == ConnectionPhase::Busy);
    state.answered(Operation::Statement, ExecuteStatus::Done);
    CHECK(state.phase() == ConnectionPhase::Idle);
    CHECK(exchange(state, Operation::Begin, ExecuteStatus::WrongTerm) == ConnectionPhase::Idle);
    CHECK(exchange(state, Operation::Begin) == ConnectionPhase::InTransaction);
    state.requestSent();
    CHECK(state.phase() == ConnectionPhase::BusyInTransaction);
    state.answered(Operation::Statement, ExecuteStatus::Failed);
    CHECK(state.phase() == ConnectionPhase::InTransaction);
    CHECK(exchange(state, Operation::Commit) == ConnectionPhase::Idle);
    state.broken();
    CHECK(state.phase() == ConnectionPhase::Closed);
    state.broken();
    CHECK(state.phase() == ConnectionPhase::Closed);
}

TEST_CASE("a commit that did not succeed leaves the connection unclean")
{
    // The upstream refuses the commit. Whether its transaction has ended is not proven, so the next session must not get the
    // connection: its statements could run inside the first one's transaction.
    const auto status = GENERATE(ExecuteStatus::Failed, ExecuteStatus::WrongTerm, ExecuteStatus::Busy);
    auto state = ConnectionState();
    state.connected();
    exchange(state, Operation::Begin);
    CHECK(exchange(state, Operation::Commit, status) == ConnectionPhase::InTransaction);
    CHECK(exchange(state, Operation::Rollback) == ConnectionPhase::Idle);
}

} // namespace sapphirespool::upstreams
