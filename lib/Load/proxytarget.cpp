// proxytarget.cpp: asks a proxy over the callers' API.
#include "sapphirespool/Load/target.h"

#include "clientpool.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <string_view>
#include <utility>

namespace sapphirespool::load
{

namespace
{

namespace asio = boost::asio;

/// Time beyond the caller's own in which the proxy's refusal may arrive.
constexpr auto refusalGrace = std::chrono::milliseconds(500);

auto textOf(const boost::json::object &object, std::string_view name) -> std::string
{
    const auto *const value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

auto brokenReply(const http::ExchangeResult &result) -> Reply
{
    auto reply = Reply();
    reply.kind = result.sent ? ReplyKind::Unknown : ReplyKind::NotRun;
    reply.reason = result.sent ? "client_no_answer" : "client_no_connection";
    return reply;
}

auto refusalReply(const boost::json::object &problem, Reply reply) -> Reply
{
    reply.kind = textOf(problem, "executed") == "no" ? ReplyKind::NotRun : ReplyKind::Unknown;
    reply.reason = textOf(problem, "reason");
    return reply;
}

auto readReply(const http::Response &response, std::string session) -> Reply
{
    auto reply = Reply();
    reply.session = std::move(session);
    const auto token = response.find("Sapphirespool-Session");
    if (token != response.end()) {
        reply.session = std::string(token->value());
    }
    auto error = boost::json::error_code();
    const auto value = boost::json::parse(response.body(), error);
    if (error || !value.is_object()) {
        reply.reason = "client_not_understood";
        return reply;
    }
    if (response.result() != http::Status::ok) {
        return refusalReply(value.as_object(), std::move(reply));
    }
    reply.kind = ReplyKind::Answered;
    reply.fromReplica = response["Sapphirespool-Served-Role"] == "replica";
    const auto *const rows = value.as_object().if_contains("rows");
    if (rows != nullptr && rows->is_array()) {
        reply.rows = rows->as_array();
    }
    return reply;
}

class ProxyTarget : public Target
{
public:
    ProxyTarget(asio::any_io_executor executor, Endpoint proxy, const ServiceId &service)
        : clients(std::move(executor), std::move(proxy))
        , path("/v1/services/" + service.value() + "/statements")
    {
    }

    auto ask(Question question) -> asio::awaitable<Reply> override
    {
        const auto deadline = std::chrono::steady_clock::now() + question.timeout + refusalGrace;
        auto message = this->messageFor(question);
        const auto result = co_await this->clients.exchange(std::move(message), deadline);
        if (result.error) {
            auto reply = brokenReply(result);
            reply.session = question.session;
            co_return reply;
        }
        co_return readReply(result.response, question.session);
    }

private:
    auto messageFor(const Question &question) -> http::Request
    {
        auto body = boost::json::object();
        body["sql"] = question.sql;
        body["params"] = question.params;
        body["access"] = question.access == Access::Write ? "write" : "read";
        auto message = http::jsonRequest(http::Verb::post, this->path, body);
        message.set("Sapphirespool-Timeout", std::to_string(question.timeout.count()));
        if (!question.session.empty()) {
            message.set("Sapphirespool-Session", question.session);
        }
        if (question.key) {
            message.set("Idempotency-Key", *question.key);
        }
        if (question.maxAge) {
            message.set("Sapphirespool-Max-Age", std::to_string(question.maxAge->count()));
        }
        return message;
    }

    ClientPool clients;
    std::string path;
};

} // namespace

auto isLocal(const Endpoint &endpoint) -> bool
{
    auto error = boost::system::error_code();
    const auto address = asio::ip::make_address(endpoint.address, error);
    return !error && address.is_loopback();
}

auto makeProxyTarget(asio::any_io_executor executor, Endpoint proxy, ServiceId service) -> std::shared_ptr<Target>
{
    return std::make_shared<ProxyTarget>(std::move(executor), std::move(proxy), service);
}

} // namespace sapphirespool::load
