#include "sapphirespool/Callers/handler.h"

#include "sapphirespool/Callers/answers.h"
#include "sapphirespool/Callers/requestparser.h"
#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Support/log.h"

#include <array>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirespool::callers
{

namespace
{

namespace asio = boost::asio;

/// Headers of which a second one would leave open which counts.
constexpr auto singleHeaders
    = std::to_array<std::string_view>({"Sapphirespool-Session", "Sapphirespool-Max-Age", "Sapphirespool-Timeout", "Idempotency-Key", "Cookie"});

auto header(const http::Request &request, std::string_view name) -> std::optional<std::string_view>
{
    const auto found = request.find(name);
    if (found == request.end()) {
        return std::nullopt;
    }
    return std::string_view(found->value());
}

auto toRaw(const http::Request &request) -> RawRequest
{
    auto raw = RawRequest();
    raw.method = request.method_string();
    raw.target = request.target();
    raw.session = header(request, "Sapphirespool-Session");
    raw.cookie = header(request, "Cookie");
    raw.key = header(request, "Idempotency-Key");
    raw.maxAge = header(request, "Sapphirespool-Max-Age");
    raw.timeout = header(request, "Sapphirespool-Timeout");
    raw.body = request.body();
    for (const auto name : singleHeaders) {
        if (request.count(name) > 1) {
            raw.repeatedHeader = name;
        }
    }
    return raw;
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
        auto failure = std::string();
        try {
            auto response = co_await this->run(std::move(request));
            co_return response;
        } catch (const std::exception &error) {
            failure = error.what();
        }
        // An exception that left the connection's coroutine would end the process and with it every other caller's request.
        support::log(support::Event::CallerRequestRefused, {{"reason", "internal"}, {"detail", failure}});
        co_return problem(RefusalReason::Internal, Executed::Unknown, "the proxy failed while it worked on the request");
    }

    auto reject(http::Status status, std::string_view detail) -> http::Response override
    {
        const auto tooLarge = status == http::Status::payload_too_large || status == http::Status::request_header_fields_too_large;
        auto response = problem(tooLarge ? RefusalReason::RequestTooLarge : RefusalReason::MalformedRequest, Executed::No, detail);
        response.result(status);
        return response;
    }

private:
    auto run(http::Request request) -> asio::awaitable<http::Response>
    {
        auto parsed = parseStatementRequest(toRaw(request));
        if (const auto *const bad = std::get_if<BadRequest>(&parsed)) {
            co_return problem(bad->reason, Executed::No, bad->detail);
        }
        if (auto *const statement = std::get_if<proxy::StatementRequest>(&parsed)) {
            const auto reply = co_await this->executor->execute(std::move(*statement));
            co_return render(reply);
        }
        if (auto *const step = std::get_if<proxy::TransactionRequest>(&parsed)) {
            const auto reply = co_await this->executor->run(std::move(*step));
            co_return render(reply);
        }
        auto &begin = std::get<proxy::BeginRequest>(parsed);
        const auto service = begin.service;
        const auto reply = co_await this->executor->begin(std::move(begin));
        co_return render(reply, service);
    }

    std::shared_ptr<proxy::Executor> executor;
};

class HealthHandler : public http::Handler
{
public:
    explicit HealthHandler(std::shared_ptr<const Readiness> readiness)
        : readiness(std::move(readiness))
    {
    }

    auto handle(http::Request request) -> asio::awaitable<http::Response> override
    {
        const auto target = std::string_view(request.target());
        if (target == "/healthz") {
            co_return http::textResponse(http::Status::ok, "live\n");
        }
        if (target != "/readyz") {
            co_return problem(RefusalReason::UnknownPath, Executed::No, "no such path");
        }
        const auto ready = this->readiness->ready.load();
        co_return http::textResponse(ready ? http::Status::ok : http::Status::service_unavailable, ready ? "ready\n" : "not ready\n");
    }

    auto reject(http::Status, std::string_view detail) -> http::Response override
    {
        return problem(RefusalReason::MalformedRequest, Executed::No, detail);
    }

private:
    std::shared_ptr<const Readiness> readiness;
};

} // namespace

auto makeHandler(std::shared_ptr<proxy::Executor> executor) -> std::shared_ptr<http::Handler>
{
    return std::make_shared<CallerHandler>(std::move(executor));
}

auto makeHealthHandler(std::shared_ptr<const Readiness> readiness) -> std::shared_ptr<http::Handler>
{
    return std::make_shared<HealthHandler>(std::move(readiness));
}

} // namespace sapphirespool::callers
