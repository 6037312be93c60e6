#include "sapphirespool/Callers/requestparser.h"

#include "statementbody.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

namespace sapphirespool::callers
{

namespace
{

using std::chrono::milliseconds;

constexpr auto servicesPrefix = std::string_view("/v1/services/");
/// Longest name of a service or id of a transaction.
constexpr auto longestName = std::size_t{200};
/// Longest duration in a header, in digits: eleven hold three years of milliseconds and cannot overflow.
constexpr auto longestNumber = std::size_t{11};

auto malformed(std::string detail) -> BadRequest
{
    return BadRequest{RefusalReason::MalformedRequest, std::move(detail)};
}

auto unknownPath(std::string_view target) -> BadRequest
{
    constexpr auto shown = std::size_t{100};
    return BadRequest{RefusalReason::UnknownPath, "no request at " + std::string(target.substr(0, shown))};
}

/// Letters, digits and the marks that need no escape in a path.
auto isName(std::string_view text) -> bool
{
    constexpr auto allowed = std::string_view("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~");
    return !text.empty() && text.size() <= longestName && text.find_first_not_of(allowed) == std::string_view::npos;
}

auto splitPath(std::string_view path) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view>();
    while (true) {
        const auto slash = path.find('/');
        parts.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return parts;
        }
        path.remove_prefix(slash + 1);
    }
}

/// What the headers say, whatever the path.
struct Headers
{
    std::string session;
    std::optional<IdempotencyKey> key;
    std::optional<milliseconds> maxAge;
    std::optional<milliseconds> timeout;
};

using ParsedHeaders = std::variant<Headers, BadRequest>;
using ParsedMilliseconds = std::variant<std::optional<milliseconds>, BadRequest>;

auto parseMilliseconds(std::string_view name, std::optional<std::string_view> text, std::int64_t least) -> ParsedMilliseconds
{
    if (!text) {
        return std::optional<milliseconds>();
    }
    auto number = std::int64_t{0};
    const auto *const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, number);
    const auto isWhole = parsed.ec == std::errc() && parsed.ptr == end && text->size() <= longestNumber;
    if (!isWhole || number < least) {
        return malformed("the header " + std::string(name) + " must be a number of milliseconds of at least " + std::to_string(least));
    }
    return std::optional(milliseconds(number));
}

auto parseKey(std::optional<std::string_view> text) -> std::variant<std::optional<IdempotencyKey>, BadRequest>
{
    if (!text) {
        return std::optional<IdempotencyKey>();
    }
    const auto isVisible = std::all_of(text->begin(), text->end(), [](char character) {
        return character > ' ' && character < '\x7f';
    });
    if (text->empty() || text->size() > longestKey || !isVisible) {
        return malformed("the header Idempotency-Key must be 1 to " + std::to_string(longestKey) + " visible ASCII characters");
    }
    return std::optional(IdempotencyKey(std::string(*text)));
}

/// \return the value of the session cookie; empty if there is none
auto cookieValue(std::string_view cookies) -> std::string_view
{
    while (!cookies.empty()) {
        const auto semicolon = cookies.find(';');
        auto pair = cookies.substr(0, semicolon);
        pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == sessionCookie) {
            return pair.substr(equals + 1);
        }
        cookies.remove_prefix(semicolon == std::string_view::npos ? cookies.size() : semicolon + 1);
    }
    return {};
}

auto parseHeaders(const RawRequest &raw) -> ParsedHeaders
{
    if (raw.repeatedHeader) {
        return malformed("the header " + std::string(*raw.repeatedHeader) + " came more than once");
    }
    auto headers = Headers();
    headers.session = std::string(raw.session ? *raw.session : cookieValue(raw.cookie.value_or("")));
    auto key = parseKey(raw.key);
    auto maxAge = parseMilliseconds("Sapphirespool-Max-Age", raw.maxAge, 0);
    auto timeout = parseMilliseconds("Sapphirespool-Timeout", raw.timeout, 1);
    if (auto *const bad = std::get_if<BadRequest>(&key)) {
        return std::move(*bad);
    }
    if (auto *const bad = std::get_if<BadRequest>(&maxAge)) {
        return std::move(*bad);
    }
    if (auto *const bad = std::get_if<BadRequest>(&timeout)) {
        return std::move(*bad);
    }
    headers.key = std::move(std::get<std::optional<IdempotencyKey>>(key));
    headers.maxAge = std::get<std::optional<milliseconds>>(maxAge);
    headers.timeout = std::get<std::optional<milliseconds>>(timeout);
    return headers;
}

auto parseStatement(ServiceId service, const RawRequest &raw, Headers headers) -> ParsedRequest
{
    auto body = parseStatementBody(raw.body);
    if (auto *const bad = std::get_if<BadRequest>(&body)) {
        return std::move(*bad);
    }
    auto request = proxy::StatementRequest();
    request.service = std::move(service);
    request.statement = std::move(std::get<upstreams::Statement>(body));
    request.sessionToken = std::move(headers.session);
    request.key = std::move(headers.key);
    request.maxAge = headers.maxAge;
    request.timeout = headers.timeout;
    return request;
}

/// A key would promise that a resend runs at most once, which a transaction cannot keep beyond its connection.
auto keyInTransaction() -> BadRequest
{
    return malformed("Idempotency-Key is for single statements; a commit may be sent again without it");
}

auto parseBegin(ServiceId service, const RawRequest &raw, Headers headers) -> ParsedRequest
{
    if (headers.key) {
        return keyInTransaction();
    }
    auto bad = checkEmptyBody(raw.body);
    if (bad) {
        return std::move(*bad);
    }
    return proxy::BeginRequest{std::move(service), std::move(headers.session), headers.timeout, {}};
}

auto parseStep(proxy::TransactionRequest request, const RawRequest &raw, Headers headers) -> ParsedRequest
{
    if (headers.key) {
        return keyInTransaction();
    }
    request.sessionToken = std::move(headers.session);
    request.timeout = headers.timeout;
    if (request.step != proxy::TransactionStep::Statement) {
        auto bad = checkEmptyBody(raw.body);
        if (bad) {
            return std::move(*bad);
        }
        return request;
    }
    auto body = parseStatementBody(raw.body);
    if (auto *const bad = std::get_if<BadRequest>(&body)) {
        return std::move(*bad);
    }
    request.statement = std::move(std::get<upstreams::Statement>(body));
    return request;
}

auto stepNamed(std::string_view name) -> std::optional<proxy::TransactionStep>
{
    if (name == "statements") {
        return proxy::TransactionStep::Statement;
    }
    if (name == "commit") {
        return proxy::TransactionStep::Commit;
    }
    if (name == "rollback") {
        return proxy::TransactionStep::Rollback;
    }
    return std::nullopt;
}

} // namespace

auto parseStatementRequest(const RawRequest &raw) -> ParsedRequest
{
    if (!raw.target.starts_with(servicesPrefix)) {
        return unknownPath(raw.target);
    }
    const auto parts = splitPath(raw.target.substr(servicesPrefix.size()));
    if (parts.size() < 2 || !isName(parts[0])) {
        return unknownPath(raw.target);
    }
    if (raw.method != "POST") {
        return BadRequest{RefusalReason::UnknownPath, "this path takes POST only"};
    }
    auto parsedHeaders = parseHeaders(raw);
    if (auto *const bad = std::get_if<BadRequest>(&parsedHeaders)) {
        return std::move(*bad);
    }
    auto &headers = std::get<Headers>(parsedHeaders);
    auto service = ServiceId(std::string(parts[0]));
    if (parts.size() == 2 && parts[1] == "statements") {
        return parseStatement(std::move(service), raw, std::move(headers));
    }
    if (parts.size() == 2 && parts[1] == "transactions") {
        return parseBegin(std::move(service), raw, std::move(headers));
    }
    const auto step = parts.size() == 4 && parts[1] == "transactions" && isName(parts[2]) ? stepNamed(parts[3]) : std::nullopt;
    if (!step) {
        return unknownPath(raw.target);
    }
    auto request = proxy::TransactionRequest();
    request.service = std::move(service);
    request.id = TransactionId(std::string(parts[2]));
    request.step = *step;
    return parseStep(std::move(request), raw, std::move(headers));
}

} // namespace sapphirespool::callers
