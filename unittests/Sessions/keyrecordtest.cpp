#include "sapphirespool/Sessions/keyattempt.h"

#include <catch2/catch.hpp>

namespace sapphirespool::sessions
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = TimePoint{};
constexpr auto life = seconds(600);

auto oneProxy(Duration warmup) -> HolderHistory
{
    auto history = HolderHistory(VmId("a1"), life, warmup, start);
    history.viewChanged(std::vector<Holder>{{VmId("a1"), ZoneId("a"), Incarnation(1)}}, start);
    return history;
}

auto startOf(const std::string &attempt, std::uint64_t fingerprint = 1) -> KeyStart
{
    return {KeyName("orders/k1"), Fingerprint(fingerprint), AttemptId(attempt), milliseconds(2000)};
}

auto replyOf(KeyState state, std::uint32_t proxies = 3) -> KeyReply
{
    return {state, state == KeyState::Finished ? "done" : "", proxies};
}

auto refusalOf(const KeyAttempt &attempt) -> KeyRefusal
{
    return std::get<KeyRefusal>(*attempt.decision());
}

} // namespace

TEST_CASE("a resend learns how the first attempt stands")
{
    const auto history = oneProxy(seconds(0));
    auto holder = KeyHolder(10, life);
    CHECK(holder.start(startOf("x"), history, start).state == KeyState::Started);
    CHECK(holder.start(startOf("y"), history, start + seconds(1)).state == KeyState::InProgress);
    CHECK(holder.start(startOf("y", 2), history, start + seconds(1)).state == KeyState::Reused);
    CHECK(holder.start(startOf("y"), history, start + seconds(3)).state == KeyState::OutcomeUnknown);
    holder.finish({KeyName("orders/k1"), AttemptId("x"), "booked"}, start + seconds(4));
    const auto reply = holder.start(startOf("y"), history, start + seconds(5));
    CHECK(reply.state == KeyState::Finished);
    CHECK(reply.outcome == "booked");
    CHECK(holder.start(startOf("z"), history, start + life).state == KeyState::Started);
}

TEST_CASE("an attempt that sent nothing leaves the key free, but not for another attempt's record")
{
    const auto history = oneProxy(seconds(0));
    auto holder = KeyHolder(10, life);
    holder.start(startOf("x"), history, start);
    holder.abandon({KeyName("orders/k1"), AttemptId("y")});
    CHECK(holder.start(startOf("y"), history, start).state == KeyState::InProgress);
    holder.abandon({KeyName("orders/k1"), AttemptId("x")});
    CHECK(holder.start(startOf("y"), history, start).state == KeyState::Started);
}

TEST_CASE("a restarted holder does not say that a key was never seen")
{
    // A booking with a key ran, and the proxy that held the key's record was restarted. The caller, who lost the answer, sends
    // it again. The empty memory of the restarted holder proves nothing; saying "never seen" would book a second courier.
    auto holder = KeyHolder(10, life);
    CHECK(holder.start(startOf("y"), oneProxy(life), start + seconds(1)).state == KeyState::StartedUnsure);
}

TEST_CASE("a full holder drops no live record")
{
    const auto history = oneProxy(seconds(0));
    auto holder = KeyHolder(1, life);
    holder.start(startOf("x"), history, start);
    auto other = startOf("y");
    other.key = KeyName("orders/k2");
    CHECK(holder.start(other, history, start).state == KeyState::Full);
    CHECK(holder.start(startOf("y"), history, start).state == KeyState::InProgress);
}

TEST_CASE("an attempt sends once a majority of the holders vouches")
{
    auto attempt = KeyAttempt(3);
    attempt.handle(0, replyOf(KeyState::Started));
    CHECK(attempt.decision() == std::nullopt);
    attempt.handle(0, replyOf(KeyState::Started));
    CHECK(attempt.decision() == std::nullopt);
    attempt.handle(2, replyOf(KeyState::Started));
    CHECK(std::holds_alternative<MaySend>(*attempt.decision()));
}

TEST_CASE("two holders of three that cannot vouch, or do not answer, stop an attempt")
{
    auto unsure = KeyAttempt(3);
    unsure.handle(0, replyOf(KeyState::Started));
    unsure.handle(1, replyOf(KeyState::StartedUnsure));
    unsure.handle(2, replyOf(KeyState::StartedUnsure));
    CHECK(refusalOf(unsure) == KeyRefusal::HoldersUnreachable);
    auto silent = KeyAttempt(3);
    silent.handle(0, replyOf(KeyState::Started));
    silent.handle(1, std::nullopt);
    silent.handle(2, std::nullopt);
    CHECK(refusalOf(silent) == KeyRefusal::HoldersUnreachable);
    CHECK(refusalOf(KeyAttempt(0)) == KeyRefusal::HoldersUnreachable);
}

TEST_CASE("what another attempt left decides a resend")
{
    auto finished = KeyAttempt(3);
    finished.handle(1, replyOf(KeyState::Finished));
    CHECK(std::get<AlreadyFinished>(*finished.decision()).outcome == "done");
    auto running = KeyAttempt(3);
    running.handle(0, replyOf(KeyState::InProgress));
    running.handle(1, replyOf(KeyState::Started));
    running.handle(2, std::nullopt);
    CHECK(refusalOf(running) == KeyRefusal::InProgress);
    auto lost = KeyAttempt(2);
    lost.handle(0, replyOf(KeyState::OutcomeUnknown));
    lost.handle(1, replyOf(KeyState::StartedUnsure));
    CHECK(refusalOf(lost) == KeyRefusal::OutcomeUnknown);
}

TEST_CASE("where there were never more than two proxies, the one that stayed vouches for both")
{
    auto attempt = KeyAttempt(2);
    attempt.handle(0, replyOf(KeyState::Started, 2));
    CHECK(attempt.decision() == std::nullopt);
    attempt.handle(1, replyOf(KeyState::StartedUnsure, 2));
    CHECK(std::holds_alternative<MaySend>(*attempt.decision()));
    auto shrunk = KeyAttempt(2);
    shrunk.handle(0, replyOf(KeyState::Started, 3));
    shrunk.handle(1, replyOf(KeyState::StartedUnsure, 3));
    CHECK(refusalOf(shrunk) == KeyRefusal::HoldersUnreachable);
}

TEST_CASE("a single holder that is left of three does not vouch alone")
{
    // A start was recorded by two of three holders, and both left the system. The third was never told; if it alone allowed a
    // send, because it is now the only holder, the resend would run a second time.
    auto alone = KeyAttempt(1);
    alone.handle(0, replyOf(KeyState::Started, 3));
    CHECK(refusalOf(alone) == KeyRefusal::HoldersUnreachable);
    auto always = KeyAttempt(1);
    always.handle(0, replyOf(KeyState::Started, 1));
    CHECK(std::holds_alternative<MaySend>(*always.decision()));
}

} // namespace sapphirespool::sessions
