#include "sapphirespool/Operators/handler.h"

#include "json.h"
#include "sapphirespool/Operators/awaitcallback.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace sapphirespool::operators
{

namespace
{

namespace asio = boost::asio;

using membership::ClusterStatus;
using membership::ClusterStatusOutcome;
using membership::ConfigurationAccepted;
using membership::ConfigurationChange;
using membership::ConfigurationOutcome;
using membership::ConfigurationReadOutcome;
using membership::ConfigurationText;

/// \return the revision in for example `"12"`, `12` or `W/"12"`
auto parseTag(std::string_view tag) -> std::optional<Revision>
{
    if (tag.starts_with("W/")) {
        tag.remove_prefix(2);
    }
    if (tag.size() >= 2 && tag.starts_with('"') && tag.ends_with('"')) {
        tag = tag.substr(1, tag.size() - 2);
    }
    auto number = std::uint64_t{0};
    const auto parsed = std::from_chars(tag.data(), tag.data() + tag.size(), number);
    if (tag.empty() || parsed.ec != std::errc() || parsed.ptr != tag.data() + tag.size()) {
        return std::nullopt;
    }
    return Revision(number);
}

auto tagOf(Revision revision) -> std::string
{
    return "\"" + std::to_string(revision.value()) + "\"";
}

auto problem(RefusalReason reason, std::string_view detail, Executed executed) -> http::Response
{
    const auto status = static_cast<http::Status>(describe(reason).status);
    auto response = http::jsonResponse(status, problemJson(reason, detail, executed));
    response.set("Content-Type", "application/problem+json");
    return response;
}

auto problem(const NotRun &refusal) -> http::Response
{
    auto response = problem(refusal.reason, refusal.detail, Executed::No);
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        response.set("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

struct PutAnswer
{
    auto operator()(const ConfigurationAccepted &accepted) const -> http::Response
    {
        auto response = http::jsonResponse(http::Status::ok, {{"revision", accepted.revision.value()}});
        response.set("ETag", tagOf(accepted.revision));
        return response;
    }

    auto operator()(const NotRun &refusal) const -> http::Response
    {
        return problem(refusal);
    }

    auto operator()(const OutcomeUnknown &unknown) const -> http::Response
    {
        return problem(unknown.reason, unknown.detail, Executed::Unknown);
    }
};

struct GetAnswer
{
    auto operator()(const ConfigurationText &text) const -> http::Response
    {
        auto response = http::textResponse(http::Status::ok, text.text);
        response.set("Content-Type", "application/yaml");
        response.set("ETag", tagOf(text.revision));
        return response;
    }

    auto operator()(const NotRun &refusal) const -> http::Response
    {
        return problem(refusal);
    }
};

struct StatusAnswer
{
    auto operator()(const ClusterStatus &status) const -> http::Response
    {
        return http::jsonResponse(http::Status::ok, statusJson(status));
    }

    auto operator()(const NotRun &refusal) const -> http::Response
    {
        return problem(refusal);
    }
};

class OperatorHandler : public http::Handler
{
public:
    explicit OperatorHandler(std::shared_ptr<membership::ControlLink> control)
        : control(std::move(control))
    {
    }

    auto handle(http::Request request) -> asio::awaitable<http::Response> override
    {
        const auto target = std::string(request.target());
        const auto path = target.substr(0, target.find('?'));
        const auto isGet = request.method() == http::Verb::get;
        if (path == configurationPath && request.method() == http::Verb::put) {
            return this->put(std::move(request));
        }
        if (path == configurationPath && isGet) {
            return this->get();
        }
        if (path == statusPath && isGet) {
            return this->status();
        }
        return answer(problem(RefusalReason::UnknownPath, "no operation " + std::string(request.method_string()) + " " + path, Executed::No));
    }

    auto reject(http::Status, std::string_view detail) -> http::Response override
    {
        return problem(RefusalReason::MalformedRequest, detail, Executed::No);
    }

private:
    static auto answer(http::Response response) -> asio::awaitable<http::Response>
    {
        co_return response;
    }

    auto put(http::Request request) -> asio::awaitable<http::Response>
    {
        // Without a base two operators would overwrite each other; without a change id a resend would be a second change.
        const auto base = parseTag(request[boost::beast::http::field::if_match]);
        if (!base) {
            co_return problem(RefusalReason::MalformedRequest, "If-Match does not name the revision that was edited", Executed::No);
        }
        const auto change = std::string(request["Idempotency-Key"]);
        if (change.empty()) {
            co_return problem(RefusalReason::MalformedRequest, "Idempotency-Key does not name the change", Executed::No);
        }
        auto message = ConfigurationChange{ChangeId(change), *base, std::move(request.body())};
        const auto link = this->control;
        const auto start = [link, message](auto done) {
            link->changeConfiguration(message, std::move(done));
        };
        const auto outcome = co_await awaitCallback<ConfigurationOutcome>(start);
        co_return std::visit(PutAnswer(), outcome);
    }

    auto get() -> asio::awaitable<http::Response>
    {
        const auto link = this->control;
        const auto start = [link](auto done) {
            link->readConfiguration(std::move(done));
        };
        const auto outcome = co_await awaitCallback<ConfigurationReadOutcome>(start);
        co_return std::visit(GetAnswer(), outcome);
    }

    auto status() -> asio::awaitable<http::Response>
    {
        const auto link = this->control;
        const auto start = [link](auto done) {
            link->readStatus(std::move(done));
        };
        const auto outcome = co_await awaitCallback<ClusterStatusOutcome>(start);
        co_return std::visit(StatusAnswer(), outcome);
    }

    std::shared_ptr<membership::ControlLink> control;
};

} // namespace

auto makeHandler(std::shared_ptr<membership::ControlLink> control) -> std::shared_ptr<http::Handler>
{
    return std::make_shared<OperatorHandler>(std::move(control));
}

} // namespace sapphirespool::operators
