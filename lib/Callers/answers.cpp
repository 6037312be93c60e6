#include "sapphirespool/Callers/answers.h"

#include "sapphirespool/Callers/requestparser.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sapphirespool::callers
{

namespace
{

using std::chrono::milliseconds;
namespace field = boost::beast::http;

/// When a resend of a request that still runs has a chance; a statement rarely takes longer.
constexpr auto inProgressRetry = milliseconds(1000);

auto setRetryAfter(http::Response &response, milliseconds retryAfter) -> void
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(std::max(retryAfter, milliseconds(0)));
    response.set(field::field::retry_after, std::to_string(seconds.count()));
    response.set("Sapphirespool-Retry-After", std::to_string(retryAfter.count()));
}

auto setSession(http::Response &response, const std::string &token) -> void
{
    if (token.empty()) {
        return;
    }
    response.set("Sapphirespool-Session", token);
    response.set(field::field::set_cookie, std::string(sessionCookie) + "=" + token + "; Path=/; HttpOnly; SameSite=Lax");
}

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
        response.set("Sapphirespool-Served-Role", answer.servedRole == platform::Role::Primary ? "primary" : "replica");
        return response;
    }

    auto operator()(const NotRun &refusal) const -> http::Response
    {
        auto response = problem(refusal.reason, Executed::No, refusal.detail);
        if (refusal.retryAfter) {
            setRetryAfter(response, *refusal.retryAfter);
        }
        return response;
    }

    auto operator()(const OutcomeUnknown &unknown) const -> http::Response
    {
        auto response = problem(unknown.reason, Executed::Unknown, unknown.detail);
        if (unknown.reason == RefusalReason::KeyInProgress) {
            setRetryAfter(response, inProgressRetry);
        }
        return response;
    }

    auto operator()(const StatementError &error) const -> http::Response
    {
        return problem(error.reason, error.executed, error.detail);
    }
};

} // namespace

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
    response.set(field::field::content_type, "application/problem+json");
    return response;
}

auto render(const proxy::Reply &reply) -> http::Response
{
    auto response = std::visit(OutcomeRenderer(), reply.outcome);
    setSession(response, reply.sessionToken);
    return response;
}

auto render(const proxy::BeginReply &reply, const ServiceId &service) -> http::Response
{
    const auto *const begun = std::get_if<proxy::TransactionBegun>(&reply.outcome);
    if (begun == nullptr) {
        const auto *const refusal = std::get_if<NotRun>(&reply.outcome);
        auto outcome = refusal != nullptr ? proxy::Outcome(*refusal) : proxy::Outcome(std::get<StatementError>(reply.outcome));
        return render(proxy::Reply{std::move(outcome), reply.sessionToken});
    }
    auto body = boost::json::object();
    body["transaction"] = begun->id.value();
    auto response = http::jsonResponse(http::Status::created, body);
    response.set(field::field::location, "/v1/services/" + service.value() + "/transactions/" + begun->id.value());
    response.set("Sapphirespool-Served-By", begun->servedBy.value());
    setSession(response, reply.sessionToken);
    return response;
}

} // namespace sapphirespool::callers
