#include "sapphirespool/Http/client.h"
#include "sapphirespool/Platform/announcements.h"
#include "sapphirespool/Platform/codec.h"
#include "sapphirespool/Platform/httpgroupoperator.h"
#include "sapphirespool/Standin/member.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>

namespace sapphirespool::platform
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

auto runUntil(asio::io_context &io, const std::function<bool()> &condition) -> void
{
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!condition()) {
        REQUIRE(std::chrono::steady_clock::now() < end);
        io.run_one_for(10ms);
    }
}

auto serve(asio::io_context &io, std::function<void(Announcement)> announce) -> std::shared_ptr<http::Server>
{
    const auto executor = io.get_executor();
    const auto sessions = [executor] {
        return executor;
    };
    return http::makeServer(executor, sessions, http::ServerLimits(), makeAnnouncementHandler(std::move(announce)));
}

auto memberAt(asio::io_context &io, std::string id, std::vector<Endpoint> proxies = {}) -> std::shared_ptr<standin::Member>
{
    auto settings = standin::MemberSettings();
    settings.group = GroupId("g");
    settings.id = UpstreamId(std::move(id));
    settings.zone = ZoneId("hobart");
    settings.proxies = std::move(proxies);
    return standin::makeMember(io.get_executor(), settings);
}

/// Keeps the last answer of a call.
struct Answered
{
    bool done = false;
    std::optional<PositionReport> report;

    auto callback() -> ReportCallback
    {
        return [this](std::optional<PositionReport> given) {
            this->done = true;
            this->report = std::move(given);
        };
    }
};

auto addressOf(const Endpoint &endpoint) -> MemberAddress
{
    return {GroupId("orders-1"), UpstreamId("a"), endpoint};
}

const auto always = makeUnlimitedAuthority();

} // namespace

TEST_CASE("a group is fenced, promoted and followed over HTTP")
{
    auto io = asio::io_context();
    const auto caller = makeHttpGroupOperator(io.get_executor());
    const auto first = memberAt(io, "a");
    const auto second = memberAt(io, "b");
    const auto primary = first->start();
    const auto replica = second->start();
    auto answer = Answered();
    const auto finish = [&io, &answer] {
        runUntil(io, [&answer] {
            return answer.done;
        });
        answer.done = false;
    };
    caller->fence(addressOf(primary), {1}, always, answer.callback());
    finish();
    REQUIRE(answer.report);
    CHECK(answer.report->role == Role::Fenced);
    caller->promote(addressOf(primary), {1}, always, answer.callback());
    finish();
    REQUIRE(answer.report);
    CHECK(answer.report->role == Role::Primary);
    caller->follow(addressOf(replica), {1, "a", primary.address, primary.port, 0}, always, answer.callback());
    finish();
    REQUIRE(answer.report);
    CHECK(answer.report->role == Role::Replica);
    caller->promote(addressOf(replica), {0}, always, answer.callback());
    finish();
    CHECK_FALSE(answer.report);
}

TEST_CASE("a member that is frozen or gone yields no report within the timeout")
{
    // The promotion must go on with the other members; a call without an end would hold it up for ever.
    auto io = asio::io_context();
    const auto caller = makeHttpGroupOperator(io.get_executor(), 20ms);
    const auto member = memberAt(io, "a");
    const auto endpoint = member->start();
    auto frozen = standin::Faults();
    frozen.member = standin::MemberFault::Frozen;
    member->setFaults(frozen);
    auto answer = Answered();
    caller->fence(addressOf(endpoint), {1}, always, answer.callback());
    runUntil(io, [&answer] {
        return answer.done;
    });
    CHECK_FALSE(answer.report);
    member->stop();
    answer.done = false;
    caller->fence(addressOf(endpoint), {1}, always, answer.callback());
    runUntil(io, [&answer] {
        return answer.done;
    });
    CHECK_FALSE(answer.report);
}

TEST_CASE("members announce themselves at once when they change, and not while they are cut off")
{
    auto io = asio::io_context();
    auto heard = std::vector<Announcement>();
    const auto server = serve(io, [&heard](Announcement announcement) {
        heard.push_back(std::move(announcement));
    });
    const auto proxy = server->listen({"127.0.0.1", 0});
    const auto member = memberAt(io, "a", {proxy});
    const auto endpoint = member->start();
    runUntil(io, [&heard] {
        return !heard.empty();
    });
    CHECK(heard.back().group == "g");
    CHECK(heard.back().port == endpoint.port);
    CHECK(heard.back().role == Role::Fenced);
    REQUIRE(member->promote({4}));
    runUntil(io, [&heard] {
        return heard.back().role == Role::Primary && heard.back().term == 4;
    });
    member->setLeaving(true);
    runUntil(io, [&heard] {
        return heard.back().leaving;
    });
    auto cut = standin::Faults();
    cut.member = standin::MemberFault::CutOff;
    member->setFaults(cut);
    io.run_for(50ms);
    const auto before = heard.size();
    io.run_for(500ms);
    CHECK(heard.size() == before);
    member->setFaults(standin::Faults());
    runUntil(io, [&heard, before] {
        return heard.size() > before;
    });
}

TEST_CASE("what is no announcement is refused")
{
    auto io = asio::io_context();
    const auto handler = makeAnnouncementHandler([](const Announcement &) {
        FAIL("nothing valid was sent");
    });
    auto request = http::Request(http::Verb::post, "/v1/announcements", 11);
    request.body() = R"({"group":"g"})";
    auto status = http::Status::unknown;
    asio::co_spawn(io, handler->handle(request), [&status](const std::exception_ptr &, const http::Response &response) {
        status = response.result();
    });
    io.run();
    CHECK(status == http::Status::bad_request);
}

} // namespace sapphirespool::platform
