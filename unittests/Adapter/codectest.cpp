#include "platform/callercodec.h"
#include "platform/upstreamcodec.h"
#include "platform/wirelines.h"

#include <catch2/catch.hpp>

#include <array>

namespace sapphirespool::adapter
{

namespace
{

using interactive::Command;
using interactive::CommandKind;
using interactive::Failure;
using interactive::Statement;
using interactive::StatementKind;
using interactive::TransactionStatus;

auto statementIn(std::string_view line) -> Statement
{
    const auto message = readCallerLine(line);
    REQUIRE(std::holds_alternative<Statement>(message));
    return std::get<Statement>(message);
}

auto isUnreadable(std::string_view line) -> bool
{
    return std::holds_alternative<UnreadableLine>(readCallerLine(line));
}

/// \return the results in \p lines, and whether all of them could be read
auto answersIn(std::span<const std::string_view> lines) -> std::pair<std::vector<interactive::CommandResult>, bool>
{
    auto reader = AnswerReader();
    auto results = std::vector<interactive::CommandResult>();
    for (const auto line : lines) {
        if (!reader.take(line)) {
            return {results, false};
        }
        if (auto result = reader.finished()) {
            results.push_back(*std::move(result));
        }
    }
    return {results, true};
}

} // namespace

TEST_CASE("a session begins with the caller's key, and a connection with its customer's name")
{
    const auto message = readCallerLine("STARTUP lepu270 iikdrbn4");
    REQUIRE(std::holds_alternative<SessionStart>(message));
    CHECK(std::get<SessionStart>(message).key == "iikdrbn4");
    CHECK(std::get<SessionStart>(readCallerLine("STARTUP lepu270")).key.empty());
    CHECK(writeStartup(GroupId("huvo11a"), UpstreamId("i-7f3a"), CustomerId("miny420")) == "STARTUP huvo11a miny420 i-7f3a\r\n");
    CHECK(codeOf(Failure::Denied) == "DENIED");
    CHECK(codeOf(Failure::OverQuota) == "BUSY");
}

TEST_CASE("bytes are cut into lines wherever they are split")
{
    auto buffer = LineBuffer();
    buffer.append("STARTUP lepu270 u3f1\r");
    CHECK_FALSE(buffer.next());
    buffer.append("\nQUERY 1 BEGIN\r\nQUE");
    CHECK(buffer.next() == "STARTUP lepu270 u3f1");
    CHECK(buffer.next() == "QUERY 1 BEGIN");
    CHECK_FALSE(buffer.next());
    CHECK(buffer.pending() == 3);
    buffer.shrink();
    buffer.append("RY 2 COMMIT\r\n");
    CHECK(buffer.next() == "QUERY 2 COMMIT");
    buffer.append(std::string(longestLine + 1, 'x'));
    CHECK(buffer.isOverlong());
}

TEST_CASE("callers' lines become the product's statements")
{
    CHECK(std::get<SessionStart>(readCallerLine("STARTUP lepu270 u3f1")).database == "lepu270");
    CHECK(std::holds_alternative<SessionEnd>(readCallerLine("TERMINATE")));
    CHECK(statementIn("QUERY 5c0e BEGIN").kind == StatementKind::Begin);
    CHECK(statementIn("QUERY 5c0e BEGIN FETCH").kind == StatementKind::BeginReadOnly);
    CHECK(statementIn("QUERY 5c0e COMMIT").kind == StatementKind::Commit);
    CHECK(statementIn("QUERY 5c0e ROLLBACK").kind == StatementKind::Rollback);
    const auto read = statementIn("QUERY 5c0e FETCH 1a4");
    CHECK(read.kind == StatementKind::Read);
    CHECK(read.id == "5c0e");
    CHECK(read.text == "FETCH 1a4");
    const auto write = statementIn("QUERY 5c0e STORE 1a4 xk  q pw");
    CHECK(write.kind == StatementKind::Write);
    CHECK(write.text == "STORE 1a4 xk  q pw");
    const auto value = statementIn("QUERY 5c0e SET zone may pen");
    CHECK(value.name == "zone");
    CHECK(value.text == "may pen");
    const auto prepared = statementIn("QUERY 5c0e PARSE s1 STORE q2c");
    CHECK(prepared.name == "s1");
    CHECK(prepared.shape == interactive::PreparedShape{true, "q2c"});
    const auto execute = statementIn("QUERY 5c0e EXECUTE s1 1a4 xkqpwnzd");
    CHECK(execute.name == "s1");
    CHECK(execute.text == "1a4 xkqpwnzd");
    CHECK(statementIn("QUERY 5c0e CLOSE s1").kind == StatementKind::Deallocate);
}

TEST_CASE("lines that are no message are told apart")
{
    for (const auto *const line : {"",
                                   "HELLO",
                                   "STARTUP",
                                   "STARTUP ",
                                   "QUERY",
                                   "QUERY 1",
                                   "QUERY  FETCH a",
                                   "QUERY 1 FETCH",
                                   "QUERY 1 STORE a",
                                   "QUERY 1 SET a",
                                   "QUERY 1 PARSE s",
                                   "QUERY 1 PARSE s DROP q",
                                   "QUERY 1 EXECUTE s",
                                   "QUERY 1 CLOSE",
                                   "QUERY 1 begin",
                                   "QUERY 1 AFTER 3.1 FETCH a"}) {
        INFO(line);
        CHECK(isUnreadable(line));
    }
}

TEST_CASE("replies are written with their rows, outcome and state")
{
    auto reply = interactive::Reply();
    reply.rows = {"qhzk"};
    reply.signature = "7.1f3.c";
    reply.position = interactive::DataPosition{Term(3), LogPosition(1209)};
    CHECK(writeReply(reply) == "DATAROW qhzk\r\nCOMPLETE 7.1f3.c\r\nREADY I 3.1209\r\n");
    CHECK(writeReply(interactive::Reply()) == "COMPLETE -\r\nREADY I -\r\n");
    auto refused = interactive::Reply();
    refused.status = TransactionStatus::Failed;
    refused.failure = interactive::FailureReply{Failure::Aborted, "rolled back", std::chrono::milliseconds(50)};
    CHECK(writeReply(refused) == "ERROR ABORTED rolled back; retry after 50 ms\r\nREADY E -\r\n");
}

TEST_CASE("commands are written with the caller's id and text unchanged, the proxy's own with a dash")
{
    auto read = Command();
    read.id = "5c0e";
    read.text = "FETCH 1a4";
    read.after = interactive::DataPosition{Term(3), LogPosition(1207)};
    auto begin = Command();
    begin.kind = CommandKind::Begin;
    auto prepare = Command();
    prepare.kind = CommandKind::Prepare;
    prepare.name = "p1";
    prepare.shape = {true, "q2c"};
    const auto commands = std::array{read, begin, prepare};
    CHECK(writeCommands(commands) == "QUERY 5c0e AFTER 3.1207 FETCH 1a4\r\nQUERY - BEGIN\r\nQUERY - PARSE p1 STORE q2c\r\n");
    CHECK(writeStartup(GroupId("huvo11a"), UpstreamId("i-7f3a"), CustomerId()) == "STARTUP huvo11a sapphirespool i-7f3a\r\n");
}

TEST_CASE("answers are whole or nothing")
{
    const auto whole = answersIn(
        std::array<std::string_view, 6>{"DATAROW q h", "COMPLETE 7.1f3", "READY T 3.1209", "ERROR READONLY i-7f3a91c2", "READY E 3.1209", "DATAROW x"});
    REQUIRE(whole.second);
    REQUIRE(whole.first.size() == 2);
    CHECK(whole.first[0].rows == std::vector<std::string>{"q h"});
    CHECK(whole.first[0].status == TransactionStatus::Open);
    CHECK(whole.first[1].failure->failure == Failure::ReadOnly);
    CHECK(whole.first[1].status == TransactionStatus::Failed);
    CHECK_FALSE(answersIn(std::array<std::string_view, 1>{"READY I -"}).second);
    CHECK_FALSE(answersIn(std::array<std::string_view, 2>{"COMPLETE x", "DATAROW y"}).second);
    CHECK_FALSE(answersIn(std::array<std::string_view, 2>{"COMPLETE x", "READY Q -"}).second);
    CHECK(failureOf("SOMETHING") == Failure::Failed);
}

TEST_CASE("a database's status is read from its row")
{
    const auto status = readStatus("replica 3 3.1209 0 12 2 17");
    REQUIRE(status);
    CHECK_FALSE(status->isPrimary);
    CHECK(status->term == Term(3));
    CHECK(status->received == interactive::DataPosition{Term(3), LogPosition(1209)});
    CHECK_FALSE(readStatus("witness 3 3.1209 0 12 2 17"));
    CHECK_FALSE(readStatus("replica x 3.1209"));
    CHECK_FALSE(readStatus("replica 3 31209"));
}

} // namespace sapphirespool::adapter
