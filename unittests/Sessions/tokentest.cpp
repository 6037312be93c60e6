#include "sapphirespool/Sessions/token.h"

#include "Sessions/properties.h"

#include <catch2/catch.hpp>

namespace sapphirespool::sessions
{

namespace
{

auto seenIn(std::string group, std::uint64_t term, std::uint64_t position) -> SeenPosition
{
    return {GroupId(std::move(group)), Term(term), LogPosition(position)};
}

auto sampleToken() -> SessionToken
{
    auto token = SessionToken(makeSessionId(7));
    token.merge(seenIn("orders-1", 3, 900));
    token.merge(seenIn("intake-1", 1, 12));
    return token;
}

auto errorOf(std::string_view text) -> TokenError
{
    return std::get<TokenError>(decode(text));
}

} // namespace

TEST_CASE("a token round-trips through its text, which is valid in a cookie")
{
    testing::checkProperty([](std::uint64_t id, const std::vector<std::pair<std::string, std::pair<std::uint64_t, std::uint64_t>>> &entries) {
        auto token = SessionToken(makeSessionId(id));
        for (const auto &[group, seen] : entries) {
            token.merge(seenIn(group, seen.first, seen.second));
        }
        const auto text = encode(token);
        RC_ASSERT(text.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyz-.") == std::string::npos);
        RC_ASSERT(std::get<SessionToken>(decode(text)) == token);
    });
}

TEST_CASE("merge keeps the later position in a group, comparing by term first")
{
    auto token = sampleToken();
    token.merge(seenIn("orders-1", 3, 100));
    CHECK(token.find(GroupId("orders-1"))->position == LogPosition(900));
    token.merge(seenIn("orders-1", 4, 5));
    CHECK(*token.find(GroupId("orders-1")) == seenIn("orders-1", 4, 5));
}

TEST_CASE("a token with more groups than its limit is marked as incomplete")
{
    // A caller that uses more groups than the limit would not read its own write in a group whose position was dropped, if the
    // missing entry were taken as "never written". Because of the mark such reads go to the primary.
    auto token = sampleToken();
    for (auto group = std::size_t{0}; group < SessionToken::groupLimit; ++group) {
        token.merge(seenIn("group-" + std::to_string(group), 1, group));
    }
    const auto again = std::get<SessionToken>(decode(encode(token)));
    CHECK(again.positions().size() == SessionToken::groupLimit);
    CHECK(again.find(GroupId("orders-1")) == nullptr);
    CHECK_FALSE(again.isComplete());
}

TEST_CASE("a session id alone decodes to an incomplete token without positions")
{
    const auto token = std::get<SessionToken>(decode(makeSessionId(7).value()));
    CHECK(token.id() == makeSessionId(7));
    CHECK(token.positions().empty());
    CHECK_FALSE(token.isComplete());
}

TEST_CASE("altered and malformed texts are rejected")
{
    const auto text = encode(sampleToken());
    auto altered = text;
    altered.back() = altered.back() == '0' ? '1' : '0';
    CHECK(errorOf(altered) == TokenError::ChecksumMismatch);
    auto otherSession = text;
    otherSession.replace(0, makeSessionId(7).value().size(), makeSessionId(8).value());
    CHECK(errorOf(otherSession) == TokenError::ChecksumMismatch);
    CHECK(errorOf(text.substr(0, text.size() - 1)) == TokenError::Malformed);
    CHECK(errorOf("") == TokenError::Malformed);
    CHECK(errorOf("s-0123456789abcdef.") == TokenError::Malformed);
    CHECK(errorOf("s-0123456789abcdeg") == TokenError::Malformed);
    testing::checkProperty([](const std::string &noise) {
        RC_ASSERT(std::holds_alternative<TokenError>(decode("s-0123456789abcdef." + noise)));
    });
}

} // namespace sapphirespool::sessions
