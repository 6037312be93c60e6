// directtarget.cpp: asks a stand-in past all proxies, for the comparison with the path through one.
#include "sapphirespool/Load/target.h"

#include "clientpool.h"

#include "sapphirespool/Platform/codec.h"

#include <utility>

namespace sapphirespool::load
{

namespace
{

namespace asio = boost::asio;

auto refused(ReplyKind kind, std::string reason) -> Reply
{
    auto reply = Reply();
    reply.kind = kind;
    reply.reason = std::move(reason);
    return reply;
}

class DirectTarget : public Target
{
public:
    DirectTarget(asio::any_io_executor executor, Endpoint member)
        : clients(std::move(executor), std::move(member))
    {
    }

    auto ask(Question question) -> asio::awaitable<Reply> override
    {
        const auto deadline = std::chrono::steady_clock::now() + question.timeout;
        if (this->term == 0) {
            auto message = http::Request(http::Verb::get, "/v1/position", 11);
            const auto report = co_await this->clients.exchange(std::move(message), deadline);
            const auto parsed = platform::fromJson<platform::PositionReport>(report.response.body());
            this->term = parsed ? parsed->term : 0;
        }
        auto request = platform::ExecuteRequest();
        request.request = 1;
        request.term = this->term;
        request.write = question.access == Access::Write;
        request.sql = std::move(question.sql);
        request.params = std::move(question.params);
        auto message = http::jsonRequest(http::Verb::post, "/v1/execute", platform::toJson(request));
        const auto result = co_await this->clients.exchange(std::move(message), deadline);
        co_return this->read(result);
    }

private:
    auto read(const http::ExchangeResult &result) -> Reply
    {
        if (result.error) {
            return refused(result.sent ? ReplyKind::Unknown : ReplyKind::NotRun, result.sent ? "client_no_answer" : "client_no_connection");
        }
        auto answer = platform::fromJson<platform::ExecuteReply>(result.response.body());
        if (!answer) {
            return refused(ReplyKind::Unknown, "client_not_understood");
        }
        if (answer->status != platform::ExecuteStatus::Done) {
            this->term = 0;
            return refused(ReplyKind::NotRun, answer->detail);
        }
        auto reply = Reply();
        reply.kind = ReplyKind::Answered;
        reply.rows = std::move(answer->rows);
        return reply;
    }

    ClientPool clients;
    std::uint64_t term = 0;
};

} // namespace

auto makeDirectTarget(asio::any_io_executor executor, Endpoint member) -> std::shared_ptr<Target>
{
    return std::make_shared<DirectTarget>(std::move(executor), std::move(member));
}

} // namespace sapphirespool::load
