#include "sapphirespool/Callers/handler.h"

#include "sapphirespool/Proxy/executor.h"

#include <boost/json/parse.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirespool::callers
{

namespace
{

namespace asio = boost::asio;

constexpr auto servicesPrefix = std::string_view("/v1/services/");
constexpr auto statementsSuffix = std::string_view("/statements");

auto problem(RefusalReason reason, Executed executed, std::string_view detail) -> http::Response
{
    const auto &description = describe(reason);
    auto body = boost::json::object();
    body["title"] = description.label;
    body["status"] = description.status;
    body["reason"] = description.label;
    body["detail"] = detail;
    body["executed"] = name(executed);
    body["remedy"] = description.remedy;
    auto response = http::jsonResponse(static_cast<http::Status>(description.status), body);
    response.set(boost::beast::http::field::content_type, "application/problem+json");
    return response;
}

/// Turns each way in which a request ends into its HTTP answer.
struct OutcomeRenderer
{
    auto operator()(const proxy::Answer &answer) const -> http::Response
    {
        auto body = boost::json::object();
        auto columns = boost::json::array();
        for (const auto &column : answer.result.columns) {
            columns.emplace_back(column);
        }
        body["columns"] = std::move(columns);
        body["rows"] = answer.result.rows;
        body["changes"] = answer.result.changes;
        auto response = http::jsonResponse(http::Status::ok, body);
        response.set("Sapphirespool-Served-By", answer.servedBy.value());
        return response;
    }

    auto operator()(const NotRun &refusal) const -> http::Response
    {
        auto response = problem(refusal.reason, Executed::No, refusal.detail);
        if (refusal.retryAfter) {
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
            response.set(boost::beast::http::field::retry_after, std::to_string(seconds.count()));
        }
        return response;
    }

    auto operator()(const OutcomeUnknown &unknown) const -> http::Response
    {
        return problem(unknown.reason, Executed::Unknown, unknown.detail);
    }

    auto operator()(const StatementError &error) const -> http::Response
    {
        return problem(error.reason, error.executed, error.detail);
    }
};

/// \return the service that \p target names, or nothing if it is no statements path
auto serviceOf(std::string_view target) -> std::optional<ServiceId>
{
    if (!target.starts_with(servicesPrefix) || !target.ends_with(statementsSuffix)) {
        return std::nullopt;
    }
    target.remove_prefix(servicesPrefix.size());
    target.remove_suffix(statementsSuffix.size());
    return ServiceId(std::string(target));
}

auto parseStatement(std::string_view text) -> std::optional<upstreams::Statement>
{
    auto error = boost::json::error_code();
    const auto value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const auto &object = value.as_object();
    const auto *const sql = object.if_contains("sql");
    const auto *const access = object.if_contains("access");
    if (sql == nullptr || !sql->is_string() || access == nullptr || !access->is_string()) {
        return std::nullopt;
    }
    auto statement = upstreams::Statement();
    statement.sql = sql->as_string().c_str();
    statement.access = access->as_string() == "write" ? Access::Write : Access::Read;
    statement.repeatable = statement.access == Access::Read;
    const auto *const params = object.if_contains("params");
    if (params != nullptr && params->is_array()) {
        statement.params = params->as_array();
    }
    return statement;
}

class CallerHandler : public http::Handler
{
public:
    explicit CallerHandler(std::shared_ptr<proxy::Executor> executor)
        : executor(std::move(executor))
    {
    }

    auto handle(http::Request request) -> asio::awaitable<http::Response> override
    {
        const auto service = serviceOf(request.target());
        if (!service) {
            co_return problem(RefusalReason::UnknownPath, Executed::No, "no such path");
        }
        auto statement = parseStatement(request.body());
        if (!statement) {
            co_return problem(RefusalReason::MalformedRequest, Executed::No, R"(the body is not {"sql": ..., "access": "read" or "write"})");
        }
        auto statementRequest = proxy::StatementRequest();
        statementRequest.service = *service;
        statementRequest.statement = std::move(*statement);
        const auto outcome = co_await this->executor->execute(std::move(statementRequest));
        co_return std::visit(OutcomeRenderer(), outcome);
    }

    auto reject(http::Status status, std::string_view detail) -> http::Response override
    {
        const auto tooLarge = status == http::Status::payload_too_large || status == http::Status::request_header_fields_too_large;
        return problem(tooLarge ? RefusalReason::RequestTooLarge : RefusalReason::MalformedRequest, Executed::No, detail);
    }

private:
    std::shared_ptr<proxy::Executor> executor;
};

} // namespace

auto makeHandler(std::shared_ptr<proxy::Executor> executor) -> std::shared_ptr<http::Handler>
{
    return std::make_shared<CallerHandler>(std::move(executor));
}

} // namespace sapphirespool::callers
