#include "memberhandler.h"

#include "memberlife.h"

#include "sapphirespool/Platform/codec.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;

/// Longest time for which a long poll is held, whatever it asks.
constexpr auto longestPoll = std::chrono::milliseconds(10'000);

using FaultSetter = std::function<void(const Faults &)>;

auto timeNow() -> TimePoint
{
    return std::chrono::steady_clock::now();
}

/// \return the number that \p name has in the query of \p target; 0 without one
auto queryNumber(std::string_view target, std::string_view name) -> std::uint64_t
{
    const auto question = target.find('?');
    auto query = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (!field.starts_with(name) || field.size() <= name.size() || field[name.size()] != '=') {
            continue;
        }
        const auto text = field.substr(name.size() + 1);
        auto number = std::uint64_t{0};
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }
    return 0;
}

auto pollDeadline(std::string_view target) -> TimePoint
{
    const auto longest = static_cast<std::uint64_t>(longestPoll.count());
    return timeNow() + std::chrono::milliseconds(std::min(longest, queryNumber(target, "wait")));
}

auto badRequest(std::string_view detail) -> http::Response
{
    return http::textResponse(http::Status::bad_request, detail);
}

auto reportResponse(const platform::PositionReport &report) -> http::Response
{
    return http::jsonResponse(http::Status::ok, platform::toJson(report));
}

auto reportOrConflict(const std::optional<platform::PositionReport> &report) -> http::Response
{
    if (!report) {
        return http::textResponse(http::Status::conflict, "the member has seen a higher term, or plays another part in this one");
    }
    return reportResponse(*report);
}

/// Handles the requests of one connection. Its end rolls back the transaction, which is in here and nowhere else.
class ConnectionHandler : public http::Handler
{
public:
    ConnectionHandler(std::shared_ptr<MemberLife> life, FaultSetter setFaults, http::CloseConnection close)
        : life(std::move(life))
        , setFaults(std::move(setFaults))
        , close(std::move(close))
        , openedAt(timeNow())
    {
    }

    ~ConnectionHandler() override
    {
        if (this->claimed) {
            this->life->releaseConnection();
        }
    }

    ConnectionHandler(const ConnectionHandler &) = delete;
    auto operator=(const ConnectionHandler &) -> ConnectionHandler & = delete;

    auto handle(http::Request request) -> asio::awaitable<http::Response> override
    {
        const auto target = std::string(request.target());
        const auto path = target.substr(0, target.find('?'));
        if (path == "/standin/faults") {
            co_return this->changeFaults(request.body());
        }
        if (path == "/standin/state") {
            co_return reportResponse(this->life->report());
        }
        co_await this->life->untilThawed();
        if (path == "/v1/execute") {
            co_return co_await this->execute(std::move(request));
        }
        co_await this->life->untilReachable();
        auto response = co_await this->answerPlatform(path, std::move(request));
        co_await this->life->untilReachable();
        co_return response;
    }

    auto reject(http::Status status, std::string_view detail) -> http::Response override
    {
        return http::textResponse(status, detail);
    }

private:
    auto answerPlatform(std::string path, http::Request request) -> asio::awaitable<http::Response>
    {
        const auto target = std::string(request.target());
        if (path == "/v1/position") {
            const auto term = Term(queryNumber(target, "term"));
            const auto above = LogPosition(queryNumber(target, "above"));
            const auto report = co_await this->life->watchPosition(term, above, pollDeadline(target));
            co_return reportResponse(report);
        }
        if (path == "/v1/log") {
            const auto asked = LogRequest{queryNumber(target, "term"), queryNumber(target, "after"), queryNumber(target, "lastTerm")};
            const auto reply = co_await this->life->watchLog(asked, pollDeadline(target));
            auto response = http::textResponse(http::Status::ok, toText(reply));
            response.set(boost::beast::http::field::content_type, "application/json");
            co_return response;
        }
        co_return this->changePart(path, request.body());
    }

    auto changePart(std::string_view path, std::string_view body) -> http::Response
    {
        if (path == "/v1/fence") {
            const auto request = platform::fromJson<platform::FenceRequest>(body);
            return request ? reportResponse(this->life->fence(*request)) : badRequest("not a fence request");
        }
        if (path == "/v1/promote") {
            const auto request = platform::fromJson<platform::PromoteRequest>(body);
            return request ? reportOrConflict(this->life->promote(*request)) : badRequest("not a promote request");
        }
        if (path == "/v1/follow") {
            const auto request = platform::fromJson<platform::FollowRequest>(body);
            return request ? reportOrConflict(this->life->follow(*request)) : badRequest("not a follow request");
        }
        return http::textResponse(http::Status::not_found, "no such path");
    }

    auto changeFaults(std::string_view body) -> http::Response
    {
        const auto faults = parseFaults(body);
        if (!faults) {
            return badRequest(R"(the body is not {"member": ..., "answer": ..., "answers": ..., "lateMs": ..., "forMs": ...})");
        }
        this->setFaults(*faults);
        return http::textResponse(http::Status::ok, "done\n");
    }

    auto execute(http::Request message) -> asio::awaitable<http::Response>
    {
        const auto request = platform::fromJson<platform::ExecuteRequest>(message.body());
        if (!request) {
            co_return badRequest("not an execute request");
        }
        if (!this->claimed) {
            this->claimed = this->life->claimConnection();
        }
        if (!this->claimed) {
            auto reply = platform::ExecuteReply();
            reply.request = request->request;
            reply.status = platform::ExecuteStatus::Busy;
            reply.detail = "all connections are taken";
            auto response = http::jsonResponse(http::Status::ok, platform::toJson(reply));
            response.keep_alive(false);
            co_return response;
        }
        co_await this->payConnectCost();
        auto reply = co_await this->life->execute(*request, this->transaction);
        co_return co_await this->deliver(std::move(reply));
    }

    /// A warmed connection has paid by the time of its first statement.
    auto payConnectCost() -> asio::awaitable<void>
    {
        const auto ready = this->openedAt + this->life->settings.connectCost;
        if (ready > timeNow()) {
            co_await this->life->pause(ready - timeNow());
        }
    }

    auto deliver(platform::ExecuteReply reply) -> asio::awaitable<http::Response>
    {
        const auto fault = this->life->takeAnswerFault();
        const auto late = std::chrono::milliseconds(this->life->faults().lateMs);
        if (fault == AnswerFault::Late) {
            co_await this->life->pause(late);
        }
        if (fault == AnswerFault::Crossed) {
            --reply.request;
        }
        auto response = http::jsonResponse(http::Status::ok, platform::toJson(reply));
        if (fault == AnswerFault::Half) {
            const auto whole = response.body().size();
            response.content_length(whole);
            response.body().resize(whole / 2);
            response.keep_alive(false);
        }
        if (fault == AnswerFault::Dropped || this->life->ended()) {
            this->close();
        }
        co_return response;
    }

    std::shared_ptr<MemberLife> life;
    FaultSetter setFaults;
    http::CloseConnection close;
    TimePoint openedAt;
    bool claimed = false;
    std::optional<Transaction> transaction;
};

/// Makes the handlers of connections; handles nothing itself.
class LifeHandler : public http::Handler
{
public:
    LifeHandler(std::shared_ptr<MemberLife> life, FaultSetter setFaults)
        : life(std::move(life))
        , setFaults(std::move(setFaults))
    {
    }

    auto forConnection(http::CloseConnection close) -> std::shared_ptr<http::Handler> override
    {
        return std::make_shared<ConnectionHandler>(this->life, this->setFaults, std::move(close));
    }

    auto handle(http::Request) -> asio::awaitable<http::Response> override
    {
        co_return this->reject(http::Status::internal_server_error, "requests go to the handler of their connection");
    }

    auto reject(http::Status status, std::string_view detail) -> http::Response override
    {
        return http::textResponse(status, detail);
    }

private:
    std::shared_ptr<MemberLife> life;
    FaultSetter setFaults;
};

} // namespace

auto makeLifeHandler(std::shared_ptr<MemberLife> life, FaultSetter setFaults) -> std::shared_ptr<http::Handler>
{
    return std::make_shared<LifeHandler>(std::move(life), std::move(setFaults));
}

} // namespace sapphirespool::standin
