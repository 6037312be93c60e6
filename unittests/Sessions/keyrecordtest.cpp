#include "sapphirespool/Sessions/keyattempt.h"

#include <catch2/catch.hpp>

namespace sapphirespool::sessions
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = TimePoint{};
constexpr auto retention = seconds(600);

auto oneProxy(Duration warmup) -> HolderHistory
{
    auto history = HolderHistory(VmId("a1"), retention, warmup, start);
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

TEST_CASE("a resend gets the state of the first attempt")
{
    const auto history = oneProxy(seconds(0));
    auto holder = KeyHolder(10, retention);
    CHECK(holder.start(startOf("x"), history, start).state == KeyState::Started);
    CHECK(holder.start(startOf("y"), history, start + seconds(1)).state == KeyState::InProgress);
    CHECK(holder.start(startOf("y", 2), history, start + seconds(1)).state == KeyState::Reused);
    CHECK(holder.start(startOf("y"), history, start + seconds(3)).state == KeyState::OutcomeUnknown);
    holder.finish({KeyName("orders/k1"), AttemptId("x"), "booked"}, start + seconds(4));
    const auto reply = holder.start(startOf("y"), history, start + seconds(5));
    CHECK(reply.state == KeyState::Finished);
    CHECK(reply.outcome == "booked");
    CHECK(holder.start(startOf("z"), history, start + retention).state == KeyState::Started);
}

TEST_CASE("an abandoned attempt releases its key, but not the record of another attempt")
{
    const auto history = oneProxy(seconds(0));
    auto holder = KeyHolder(10, retention);
    holder.start(startOf("x"), history, start);
    holder.abandon({KeyName("orders/k1"), AttemptId("y")});
    CHECK(holder.start(startOf("y"), history, start).state == KeyState::InProgress);
    holder.abandon({KeyName("orders/k1"), AttemptId("x")});
    CHECK(holder.start(startOf("y"), history, start).state == KeyState::Started);
}

TEST_CASE("a restarted holder does not report a key as never seen")
{
    // A request with a key ran, and the proxy that held the key's record was restarted. The caller lost the answer and resends the
    // request. The restarted holder has lost its records; if it replied "never seen", the request would run twice.
    auto holder = KeyHolder(10, retention);
    CHECK(holder.start(startOf("y"), oneProxy(retention), start + seconds(1)).state == KeyState::StartedUnsure);
}

TEST_CASE("a full holder does not evict an unexpired record")
{
    const auto history = oneProxy(seconds(0));
    auto holder = KeyHolder(1, retention);
    holder.start(startOf("x"), history, start);
    auto other = startOf("y");
    other.key = KeyName("orders/k2");
    CHECK(holder.start(other, history, start).state == KeyState::Full);
    CHECK(holder.start(startOf("y"), history, start).state == KeyState::InProgress);
}

TEST_CASE("an attempt is sent once a majority of the holders is authoritative")
{
    auto attempt = KeyAttempt(3);
    attempt.handle(0, replyOf(KeyState::Started));
    CHECK(attempt.decision() == std::nullopt);
    attempt.handle(0, replyOf(KeyState::Started));
    CHECK(attempt.decision() == std::nullopt);
    attempt.handle(2, replyOf(KeyState::Started));
    CHECK(std::holds_alternative<MaySend>(*attempt.decision()));
}

TEST_CASE("an attempt is refused if two of three holders are not authoritative or do not reply")
{
    auto unsure = KeyAttempt(3);
    unsure.handle(0, replyOf(KeyState::Started));
    unsure.handle(1, replyOf(KeyState::StartedUnsure));
    unsure.handle(2, replyOf(KeyState::StartedUnsure));
    CHECK(refusalOf(unsure) == KeyRefusal::HoldersUnreachable);
    auto unresponsive = KeyAttempt(3);
    unresponsive.handle(0, replyOf(KeyState::Started));
    unresponsive.handle(1, std::nullopt);
    unresponsive.handle(2, std::nullopt);
    CHECK(refusalOf(unresponsive) == KeyRefusal::HoldersUnreachable);
    CHECK(refusalOf(KeyAttempt(0)) == KeyRefusal::HoldersUnreachable);
}

TEST_CASE("the recorded state of another attempt decides a resend")
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

TEST_CASE("with never more than two proxies, one authoritative reply is enough")
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

TEST_CASE("the last holder of three is not sufficient alone")
{
    // A start was recorded by two of three holders, and both left the system. The third never received it; if its reply alone
    // allowed a send, because it is now the only holder, the resend would run a second time.
    auto alone = KeyAttempt(1);
    alone.handle(0, replyOf(KeyState::Started, 3));
    CHECK(refusalOf(alone) == KeyRefusal::HoldersUnreachable);
    auto always = KeyAttempt(1);
    always.handle(0, replyOf(KeyState::Started, 1));
    CHECK(std::holds_alternative<MaySend>(*always.decision()));
}

} // namespace sapphirespool::sessions
