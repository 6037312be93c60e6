#include "sapphirespool/Callers/requestparser.h"

#include "Sessions/properties.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool::callers
{

namespace
{

constexpr auto goodBody = std::string_view(R"json({"sql":"insert into booking values (?, ?)","params":[7,"shears"],"access":"write"})json");

auto rawStatement(std::string_view body = goodBody) -> RawRequest
{
    auto raw = RawRequest();
    raw.method = "POST";
    raw.target = "/v1/services/orders/statements";
    raw.body = body;
    return raw;
}

auto detailOf(const RawRequest &raw) -> std::string
{
    const auto parsed = parseStatementRequest(raw);
    const auto *const bad = std::get_if<BadRequest>(&parsed);
    return bad == nullptr ? "accepted" : bad->detail;
}

auto reasonAt(std::string_view target) -> std::optional<RefusalReason>
{
    auto raw = rawStatement();
    raw.target = target;
    const auto parsed = parseStatementRequest(raw);
    const auto *const bad = std::get_if<BadRequest>(&parsed);
    return bad == nullptr ? std::nullopt : std::optional(bad->reason);
}

auto statementOf(const RawRequest &raw) -> proxy::StatementRequest
{
    return std::get<proxy::StatementRequest>(parseStatementRequest(raw));
}

} // namespace

TEST_CASE("a whole statement request is read")
{
    auto raw = rawStatement();
    raw.session = "s-1";
    raw.key = "k1";
    raw.maxAge = "0";
    raw.timeout = "1500";
    const auto request = statementOf(raw);
    CHECK(request.service == ServiceId("orders"));
    CHECK(request.statement.sql == "insert into booking values (?, ?)");
    CHECK(boost::json::serialize(request.statement.params) == R"([7,"shears"])");
    CHECK(request.statement.access == Access::Write);
    CHECK_FALSE(request.statement.repeatable);
    CHECK(request.sessionToken == "s-1");
    CHECK(request.key == IdempotencyKey("k1"));
    CHECK(request.maxAge == std::chrono::milliseconds(0));
    CHECK(request.timeout == std::chrono::milliseconds(1500));
}

TEST_CASE("reads may be repeated and writes may not, unless the caller says otherwise")
{
    CHECK(statementOf(rawStatement(R"({"sql":"select 1","access":"read"})")).statement.repeatable);
    CHECK_FALSE(statementOf(rawStatement(R"({"sql":"select 1","access":"read","repeatable":false})")).statement.repeatable);
    CHECK(statementOf(rawStatement(R"({"sql":"x","access":"write","repeatable":true})")).statement.repeatable);
}

TEST_CASE("the session comes from the header or else from the cookie")
{
    auto raw = rawStatement();
    raw.cookie = "a=b; Sapphirespool-Session=s-2; c=d";
    CHECK(statementOf(raw).sessionToken == "s-2");
    raw.session = "s-1";
    CHECK(statementOf(raw).sessionToken == "s-1");
    raw.session.reset();
    raw.cookie = "Sapphirespool-SessionX=1; ; =; Sapphirespool-Session";
    CHECK(statementOf(raw).sessionToken.empty());
}

TEST_CASE("a body that is not what the API wants is refused with what is wrong")
{
    const auto cases = std::vector<std::pair<std::string_view, std::string_view>>{
        {"", "not JSON"},
        {"{", "not JSON"},
        {"[]", "not a JSON object"},
        {R"({"access":"read"})", "\"sql\""},
        {R"({"sql":"","access":"read"})", "\"sql\""},
        {R"({"sql":7,"access":"read"})", "\"sql\""},
        {R"({"sql":"x"})", "\"access\""},
        {R"({"sql":"x","access":"delete"})", "\"access\""},
        {R"({"sql":"x","access":"read","params":7})", "\"params\""},
        {R"({"sql":"x","access":"read","params":[[1]]})", "\"params\""},
        {R"({"sql":"x","access":"read","params":[{}]})", "\"params\""},
        {R"({"sql":"x","access":"read","repeatable":"no"})", "\"repeatable\""},
        {R"({"sql":"x","access":"read","timeout":5})", "unknown field \"timeout\""},
    };
    for (const auto &[body, words] : cases) {
        INFO(body);
        CHECK(detailOf(rawStatement(body)).find(words) != std::string::npos);
    }
}

TEST_CASE("a header with a bad value is refused by name")
{
    for (const auto *const bad : {"", "-1", "1.5", "x", "1s", " 1", "999999999999"}) {
        INFO(bad);
        auto age = rawStatement();
        age.maxAge = bad;
        CHECK(detailOf(age).find("Sapphirespool-Max-Age") != std::string::npos);
        auto timeout = rawStatement();
        timeout.timeout = bad;
        CHECK(detailOf(timeout).find("Sapphirespool-Timeout") != std::string::npos);
    }
    auto none = rawStatement();
    none.timeout = "0";
    CHECK(detailOf(none).find("Sapphirespool-Timeout") != std::string::npos);
    const auto longKey = std::string(longestKey + 1, 'k');
    for (const auto &key : {std::string(), std::string("a b"), std::string("\x01"), longKey}) {
        auto raw = rawStatement();
        raw.key = key;
        CHECK(detailOf(raw).find("Idempotency-Key") != std::string::npos);
    }
    auto twice = rawStatement();
    twice.repeatedHeader = "Idempotency-Key";
    CHECK(detailOf(twice).find("more than once") != std::string::npos);
}

TEST_CASE("paths lead to statements and transactions, and to nothing else")
{
    CHECK(reasonAt("/v1/services/orders/statements") == std::nullopt);
    CHECK(reasonAt("/v1/services/orders/transactions/vm1~1~s-0/statements") == std::nullopt);
    for (const auto *const target : {"",
                                     "/",
                                     "/v1/services",
                                     "/v1/services/",
                                     "/v1/services//statements",
                                     "/v1/services/orders",
                                     "/v1/services/orders/statements/",
                                     "/v1/services/a b/statements",
                                     "/v1/services/orders/statements?x=1",
                                     "/v1/services/%6frders/statements",
                                     "/v1/services/orders/transactions//commit",
                                     "/v1/services/orders/transactions/x/save"}) {
        INFO(target);
        CHECK(reasonAt(target) == RefusalReason::UnknownPath);
    }
    auto raw = rawStatement("");
    raw.target = "/v1/services/orders/transactions";
    CHECK(std::holds_alternative<proxy::BeginRequest>(parseStatementRequest(raw)));
    raw.target = "/v1/services/orders/transactions/vm1~1~s-0/commit";
    CHECK(std::get<proxy::TransactionRequest>(parseStatementRequest(raw)).step == proxy::TransactionStep::Commit);
    raw.body = R"({"sql":"x"})";
    CHECK(detailOf(raw).find("no fields") != std::string::npos);
    raw.body = "";
    raw.key = "k1";
    CHECK(detailOf(raw).find("Idempotency-Key") != std::string::npos);
    auto get = rawStatement();
    get.method = "GET";
    CHECK(detailOf(get).find("POST") != std::string::npos);
}

TEST_CASE("no input makes the parser fail otherwise than by a refusal")
{
    testing::checkProperty([](const std::string &target, const std::string &body, const std::string &value, std::uint8_t which) {
        auto raw = rawStatement((which & 1U) != 0 ? std::string_view(body) : goodBody);
        raw.target = (which & 2U) != 0 ? std::string_view(target) : raw.target;
        raw.cookie = value;
        raw.key = (which & 4U) != 0 ? std::optional<std::string_view>(value) : std::nullopt;
        raw.maxAge = (which & 8U) != 0 ? std::optional<std::string_view>(value) : std::nullopt;
        const auto parsed = parseStatementRequest(raw);
        const auto *const bad = std::get_if<BadRequest>(&parsed);
        const auto isExplained = bad == nullptr || !bad->detail.empty();
        RC_ASSERT(isExplained);
    });
}

} // namespace sapphirespool::callers
