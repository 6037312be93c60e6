#include "statementbody.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sapphirespool::callers
{

namespace
{

namespace json = boost::json;

constexpr auto fields = std::to_array<std::string_view>({"sql", "params", "access", "repeatable"});

auto malformed(std::string detail) -> BadRequest
{
    return BadRequest{RefusalReason::MalformedRequest, std::move(detail)};
}

auto parseObject(std::string_view body) -> std::variant<json::object, BadRequest>
{
    auto error = json::error_code();
    auto value = json::parse(body, error);
    if (error) {
        return malformed("the body is not JSON: " + error.message());
    }
    if (!value.is_object()) {
        return malformed("the body is not a JSON object");
    }
    return std::move(value.as_object());
}

auto findUnknownField(const json::object &object) -> std::optional<BadRequest>
{
    for (const auto &field : object) {
        if (std::find(fields.begin(), fields.end(), std::string_view(field.key())) == fields.end()) {
            return malformed("unknown field \"" + std::string(field.key()) + "\"; the fields are sql, params, access and repeatable");
        }
    }
    return std::nullopt;
}

auto isPlainValue(const json::value &value) -> bool
{
    return !value.is_array() && !value.is_object();
}

auto readSql(const json::object &object, upstreams::Statement &statement) -> std::optional<BadRequest>
{
    const auto *const sql = object.if_contains("sql");
    if (sql == nullptr || !sql->is_string() || sql->as_string().empty()) {
        return malformed("the field \"sql\" must be a text that is not empty");
    }
    statement.sql = std::string(sql->as_string());
    return std::nullopt;
}

auto readAccess(const json::object &object, upstreams::Statement &statement) -> std::optional<BadRequest>
{
    const auto *const access = object.if_contains("access");
    const auto isText = access != nullptr && access->is_string();
    if (!isText || (access->as_string() != "read" && access->as_string() != "write")) {
        return malformed(R"(the field "access" must be "read" or "write")");
    }
    statement.access = access->as_string() == "write" ? Access::Write : Access::Read;
    return std::nullopt;
}

auto readParams(const json::object &object, upstreams::Statement &statement) -> std::optional<BadRequest>
{
    const auto *const params = object.if_contains("params");
    if (params == nullptr) {
        return std::nullopt;
    }
    const auto isFlat = params->is_array() && std::all_of(params->as_array().begin(), params->as_array().end(), isPlainValue);
    if (!isFlat) {
        return malformed("the field \"params\" must be an array of texts, numbers, booleans and nulls");
    }
    statement.params = params->as_array();
    return std::nullopt;
}

auto readRepeatable(const json::object &object, upstreams::Statement &statement) -> std::optional<BadRequest>
{
    statement.repeatable = statement.access == Access::Read;
    const auto *const repeatable = object.if_contains("repeatable");
    if (repeatable == nullptr) {
        return std::nullopt;
    }
    if (!repeatable->is_bool()) {
        return malformed("the field \"repeatable\" must be true or false");
    }
    statement.repeatable = repeatable->as_bool();
    return std::nullopt;
}

} // namespace

auto parseStatementBody(std::string_view body) -> ParsedBody
{
    auto parsed = parseObject(body);
    if (auto *const bad = std::get_if<BadRequest>(&parsed)) {
        return std::move(*bad);
    }
    const auto &object = std::get<json::object>(parsed);
    auto statement = upstreams::Statement();
    auto problem = findUnknownField(object);
    for (const auto read : {readSql, readAccess, readParams, readRepeatable}) {
        if (!problem) {
            problem = read(object, statement);
        }
    }
    if (problem) {
        return std::move(*problem);
    }
    return statement;
}

auto checkEmptyBody(std::string_view body) -> std::optional<BadRequest>
{
    if (body.empty()) {
        return std::nullopt;
    }
    const auto parsed = parseObject(body);
    if (const auto *const bad = std::get_if<BadRequest>(&parsed)) {
        return *bad;
    }
    if (!std::get<json::object>(parsed).empty()) {
        return malformed("this request takes no fields; send an empty body");
    }
    return std::nullopt;
}

} // namespace sapphirespool::callers
