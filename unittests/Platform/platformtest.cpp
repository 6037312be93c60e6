#include "sapphirespool/Http/client.h"
#include "sapphirespool/Platform/announcementcheck.h"
#include "sapphirespool/Platform/announcements.h"
#include "sapphirespool/Platform/codec.h"
#include "sapphirespool/Platform/httpgroupoperator.h"
#include "sapphirespool/Standin/member.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
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

// Failure: an entry of another writer reaches the replicated log, which each control VM reads again at its start, and the views of all proxies.
TEST_CASE("what is no announcement is refused")
{
    auto io = asio::io_context();
    auto accepted = 0;
    const auto handler = makeAnnouncementHandler([&accepted](const Announcement &) {
        ++accepted;
    });
    const auto send = [&io, &handler](const std::string &body) {
        auto request = http::Request(http::Verb::post, "/v1/announcements", 11);
        request.body() = body;
        auto status = http::Status::unknown;
        asio::co_spawn(io, handler->handle(request), [&status](const std::exception_ptr &, const http::Response &response) {
            status = response.result();
        });
        io.restart();
        io.run();
        return status;
    };
    auto valid = Announcement();
    valid.group = "g";
    valid.id = "m1";
    valid.address = "127.0.0.1";
    valid.port = 9000;
    valid.zone = "hobart";
    CHECK(send(boost::json::serialize(toJson(valid))) == http::Status::no_content);
    CHECK(accepted == 1);
    CHECK(send(R"({"group":"g"})") == http::Status::bad_request);
    CHECK(send(std::string(200'000, '[')) == http::Status::bad_request);
    const auto isRefused = [&send, &valid](auto change) {
        auto announcement = valid;
        change(announcement);
        CHECK(problemOf(announcement));
        return send(boost::json::serialize(toJson(announcement))) == http::Status::bad_request;
    };
    for (const auto *const address : {"", "db.example", "999.1.1.1", "0.0.0.0", "224.0.0.1", "127.0.0.1\n"}) {
        CHECK(isRefused([address](Announcement &announcement) {
            announcement.address = address;
        }));
    }
    for (const auto slots : {0U, mostSlots + 1, 0xffffffffU}) {
        CHECK(isRefused([slots](Announcement &announcement) {
            announcement.slots = slots;
        }));
    }
    CHECK(isRefused([](Announcement &announcement) {
        announcement.port = 0;
    }));
    CHECK(isRefused([](Announcement &announcement) {
        announcement.id = std::string(longestName + 1, 'm');
    }));
    CHECK(isRefused([](Announcement &announcement) {
        announcement.group = "g 1";
    }));
    CHECK(isRefused([](Announcement &announcement) {
        announcement.zone = "hobart\r\n";
    }));
    CHECK(accepted == 1);
}

// Failure: a log that an earlier build wrote names a member at an address that is none, and whoever connects to it fails with an exception.
TEST_CASE("a connection to an address that is none fails like any other")
{
    auto io = asio::io_context();
    const auto connection = http::makeClientConnection(io.get_executor());
    auto error = boost::system::error_code();
    asio::co_spawn(io,
                   connection->connect({"db.example", 9000}, std::chrono::steady_clock::now() + std::chrono::seconds(1)),
                   [&error](const std::exception_ptr &thrown, const boost::system::error_code &result) {
                       CHECK(thrown == nullptr);
                       error = result;
                   });
    io.run();
    CHECK(error);
}

} // namespace sapphirespool::platform
