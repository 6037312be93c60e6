#include "../../lib/Forwarding/codec.h"

#include "sapphirespool/Rpc/listlength.h"

#include <catch2/catch.hpp>

#include <random>

namespace sapphirespool::forwarding
{

namespace
{

auto sample() -> Message
{
    auto command = interactive::Command();
    command.kind = interactive::CommandKind::Prepare;
    command.id = "5c0e";
    command.name = "p1";
    command.text = "a b";
    command.shape = {true, "q2c"};
    command.after = interactive::DataPosition{Term(3), LogPosition(1207)};
    return {7, Exchange{{command}, std::chrono::milliseconds(250)}};
}

} // namespace

TEST_CASE("messages between proxies survive encoding and decoding")
{
    const auto message = decode(encode(sample()));
    REQUIRE(message);
    CHECK(message->lease == 7);
    const auto &exchange = std::get<Exchange>(message->body);
    REQUIRE(exchange.commands.size() == 1);
    CHECK(exchange.commands.front().shape == interactive::PreparedShape{true, "q2c"});
    CHECK(exchange.commands.front().after == interactive::DataPosition{Term(3), LogPosition(1207)});
    CHECK(exchange.limit == std::chrono::milliseconds(250));
    auto result = interactive::CommandResult();
    result.rows = {"a", "b c"};
    result.failure = interactive::FailureReply{interactive::Failure::Lagging, "behind", std::chrono::milliseconds(5)};
    result.status = interactive::TransactionStatus::Open;
    auto answer = Exchanged();
    answer.result.results.push_back(result);
    answer.result.sent = true;
    const auto decodedAnswer = decode(encode(Message{8, answer}));
    REQUIRE(decodedAnswer);
    const auto &read = std::get<Exchanged>(decodedAnswer->body).result;
    REQUIRE(read.results.size() == 1);
    CHECK(read.sent);
    CHECK(read.results.front().rows == result.rows);
    CHECK(read.results.front().failure->failure == interactive::Failure::Lagging);
    CHECK(read.results.front().status == interactive::TransactionStatus::Open);
}

TEST_CASE("a proof request and its answer survive encoding and decoding")
{
    const auto question = decode(encode(Message{9, Prove{GroupId("g"), UpstreamId("a"), std::chrono::milliseconds(750), std::chrono::milliseconds(100)}}));
    REQUIRE(question);
    const auto &prove = std::get<Prove>(question->body);
    CHECK(prove.group == GroupId("g"));
    CHECK(prove.upstream == UpstreamId("a"));
    CHECK(prove.maxAge == std::chrono::milliseconds(750));
    CHECK(prove.limit == std::chrono::milliseconds(100));
    const auto answer = decode(encode(Message{9, Proved{interactive::DataPosition{Term(2), LogPosition(5)}, std::chrono::milliseconds(3)}}));
    REQUIRE(answer);
    CHECK(std::get<Proved>(answer->body).position == interactive::DataPosition{Term(2), LogPosition(5)});
    CHECK(std::get<Proved>(answer->body).age == std::chrono::milliseconds(3));
    const auto none = decode(encode(Message{9, Proved()}));
    REQUIRE(none);
    CHECK_FALSE(std::get<Proved>(none->body).position);
}

TEST_CASE("decoding rejects an oversized command list but accepts an answer with many rows")
{
    // Empty commands take hardly a byte in the packed form, so a small message can declare more of them than fit into memory. Rows are
    // the caller's data and not bounded.
    auto exchange = Exchange();
    exchange.commands.resize(rpc::longestList + 1);
    CHECK_FALSE(decode(encode(Message{8, exchange})));
    auto result = interactive::CommandResult();
    result.rows.resize(rpc::longestList + 1);
    auto answer = Exchanged();
    answer.result.results.push_back(std::move(result));
    CHECK(decode(encode(Message{8, answer})));
}

TEST_CASE("decoding truncated or corrupted bytes fails cleanly or gives another message")
{
    const auto bytes = encode(sample());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        static_cast<void>(decode(std::string_view(bytes).substr(0, length)));
    }
    auto random = std::mt19937(1);
    for (auto trial = 0; trial < 2'000; ++trial) {
        auto changed = bytes;
        changed[random() % changed.size()] = static_cast<char>(random());
        static_cast<void>(decode(changed));
    }
}

TEST_CASE("a request for quota and each of its answers survive encoding and decoding")
{
    const auto question = decode(encode(Message{9, TakeQuota{CustomerId("chefs"), std::chrono::milliseconds(75)}}));
    REQUIRE(question);
    CHECK(std::get<TakeQuota>(question->body).customer == CustomerId("chefs"));
    CHECK(std::get<TakeQuota>(question->body).maxWait == std::chrono::milliseconds(75));
    const auto answered = [](const decisions::QuotaDecision &decision) {
        return std::get<QuotaTaken>(decode(encode(Message{9, QuotaTaken{decision}}))->body).decision;
    };
    const auto granted = answered(decisions::QuotaGranted{std::chrono::milliseconds(30)});
    CHECK(std::get<decisions::QuotaGranted>(granted).delay == std::chrono::milliseconds(30));
    CHECK(std::holds_alternative<decisions::NotAllocator>(answered(decisions::NotAllocator())));
    const auto exhausted = answered(decisions::QuotaExhausted{std::chrono::milliseconds(70)});
    CHECK(std::get<decisions::QuotaExhausted>(exhausted).retryAfter == std::chrono::milliseconds(70));
}

// A delay of centuries would overflow when it is added to a time.
TEST_CASE("an absurd delay in an answer on quota is cut to a minute")
{
    const auto granted = decisions::QuotaGranted{std::chrono::hours(24 * 365)};
    const auto answer = decode(encode(Message{9, QuotaTaken{granted}}));
    REQUIRE(answer);
    CHECK(std::get<decisions::QuotaGranted>(std::get<QuotaTaken>(answer->body).decision).delay == std::chrono::minutes(1));
}

TEST_CASE("a request for a connection names its customer")
{
    auto request = Acquire();
    request.customer = CustomerId("chefs");
    CHECK(std::get<Acquire>(decode(encode(Message{1, request}))->body).customer == CustomerId("chefs"));
}

} // namespace sapphirespool::forwarding
