#include "sapphirespool/Platform/httpgroupoperator.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Http/liveness.h"
#include "sapphirespool/Platform/codec.h"
#include "sapphirespool/Support/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string_view>
#include <utility>

namespace sapphirespool::platform
{

namespace
{

namespace asio = boost::asio;

/// One call, from its connection to its callback.
struct Call
{
    Endpoint member;
    http::Request message;
    std::chrono::milliseconds timeout;
    Authority authority;
    ReportCallback done;
};

/// \return the report, or nothing if none came; a refusal by a member of a higher term is nothing as well
auto ask(asio::any_io_executor executor, const Call &call, TimePoint deadline) -> asio::awaitable<std::optional<PositionReport>>
{
    const auto client = http::makeClientConnection(std::move(executor));
    const auto error = co_await client->connect(call.member, deadline);
    if (error) {
        co_return std::nullopt;
    }
    if (!call.authority->holds()) {
        client->close();
        support::log(support::Event::OrderWithdrawn, {{"address", call.member.address}, {"order", std::string_view(call.message.target())}});
        co_return std::nullopt;
    }
    auto result = co_await client->exchange(call.message, deadline);
    client->close();
    if (result.error || result.response.result() != http::Status::ok) {
        co_return std::nullopt;
    }
    co_return fromJson<PositionReport>(result.response.body());
}

auto run(asio::any_io_executor executor, Call call) -> asio::awaitable<void>
{
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    auto report = co_await ask(std::move(executor), call, deadline);
    call.done(std::move(report));
}

class HttpGroupOperator : public GroupOperator
{
public:
    HttpGroupOperator(asio::any_io_executor executor, std::chrono::milliseconds timeout)
        : executor(std::move(executor))
        , timeout(timeout)
    {
    }

    auto fence(const MemberAddress &member, FenceRequest request, Authority authority, ReportCallback done) -> void override
    {
        this->call(member.endpoint, "/v1/fence", toJson(request), std::move(authority), std::move(done));
    }

    auto pause(const MemberAddress &member, FenceRequest request, Authority authority, ReportCallback done) -> void override
    {
        // A fenced member receives no writes of a lower term.
        this->fence(member, request, std::move(authority), std::move(done));
    }

    auto promote(const MemberAddress &member, PromoteRequest request, Authority authority, ReportCallback done) -> void override
    {
        this->call(member.endpoint, "/v1/promote", toJson(request), std::move(authority), std::move(done));
    }

    auto follow(const MemberAddress &member, FollowRequest request, Authority authority, ReportCallback done) -> void override
    {
        this->call(member.endpoint, "/v1/follow", toJson(request), std::move(authority), std::move(done));
    }

    auto position(const MemberAddress &member, ReportCallback done) -> void override
    {
        auto message = http::jsonRequest(http::Verb::get, "/v1/position?term=0&above=0&wait=0", {});
        this->send(member.endpoint, std::move(message), makeUnlimitedAuthority(), std::move(done));
    }

    auto look(const MemberAddress &member, std::function<void(bool)> done) -> void override
    {
        asio::co_spawn(this->executor, http::takesConnections(this->executor, member.endpoint, http::reachLimit), [done = std::move(done)](auto, bool reached) {
            done(reached);
        });
    }

private:
    auto call(const Endpoint &member, std::string_view path, const boost::json::object &body, Authority authority, ReportCallback done) -> void
    {
        this->send(member, http::jsonRequest(http::Verb::post, path, body), std::move(authority), std::move(done));
    }

    auto send(const Endpoint &member, http::Request message, Authority authority, ReportCallback done) -> void
    {
        asio::co_spawn(
            this->executor, run(this->executor, Call{member, std::move(message), this->timeout, std::move(authority), std::move(done)}), asio::detached);
    }

    asio::any_io_executor executor;
    std::chrono::milliseconds timeout;
};

} // namespace

auto makeHttpGroupOperator(asio::any_io_executor executor, std::chrono::milliseconds timeout) -> std::shared_ptr<GroupOperator>
{
    return std::make_shared<HttpGroupOperator>(std::move(executor), timeout);
}

} // namespace sapphirespool::platform
