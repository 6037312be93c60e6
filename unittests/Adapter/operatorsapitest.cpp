#include "platform/operatorsapi.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::adapter
{

namespace
{

namespace asio = boost::asio;

/// Control as the handler sees it; answers at once.
class FakeControl : public membership::ControlLink
{
public:
    auto announce(platform::Announcement announcement) -> void override
    {
        this->announcements.push_back(std::move(announcement));
    }

    auto suspect(membership::Suspicion) -> void override
    {
    }

    auto setControlVms(std::vector<Endpoint>) -> void override
    {
    }

    auto leave() -> void override
    {
    }

    auto changeConfiguration(membership::ConfigurationChange change, std::function<void(membership::ConfigurationOutcome)> done) -> void override
    {
        this->texts.push_back(std::move(change.text));
        done(this->outcome);
    }

    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void override
    {
        done(this->present);
    }

    auto readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void override
    {
        done(NotRun{RefusalReason::ControlUnreachable, "none"});
    }

    std::vector<platform::Announcement> announcements;
    std::vector<std::string> texts;
    membership::ConfigurationOutcome outcome = membership::ConfigurationAccepted{Revision(1)};
    membership::ConfigurationReadOutcome present = NotRun{RefusalReason::ControlUnreachable, "none leads"};
};

struct Api
{
    auto call(http::Verb verb, std::string_view target, std::string body) -> http::Response
    {
        auto request = http::Request(verb, boost::beast::string_view(target.data(), target.size()), 11);
        request.body() = std::move(body);
        auto answer = std::optional<http::Response>();
        asio::co_spawn(this->io, run(this->handler, std::move(request), answer), asio::detached);
        this->io.restart();
        this->io.run();
        return answer.value();
    }

    std::shared_ptr<FakeControl> control = std::make_shared<FakeControl>();
    std::shared_ptr<membership::ViewHolder> views = std::make_shared<membership::ViewHolder>();
    std::shared_ptr<http::Handler> handler = makeOperatorsHandler(this->control, this->views);
    asio::io_context io;

private:
    static auto run(std::shared_ptr<http::Handler> handler, http::Request request, std::optional<http::Response> &answer) -> asio::awaitable<void>
    {
        answer = co_await handler->handle(std::move(request));
    }
};

constexpr auto heartbeat = std::string_view(
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"kingston","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"dbRole":"replica","seq":4,"born":1700000000000})");

/// \return a start in two days, in Unix milliseconds
auto tomorrowAndLater() -> std::int64_t
{
    const auto later = std::chrono::system_clock::now() + std::chrono::hours(48);
    return std::chrono::duration_cast<std::chrono::milliseconds>(later.time_since_epoch()).count();
}

} // namespace

TEST_CASE("a heartbeat becomes an announcement")
{
    auto api = Api();
    CHECK(api.call(http::Verb::post, "/v1/instances/i-7f3a91c2/heartbeat", std::string(heartbeat)).result() == http::Status::ok);
    REQUIRE(api.control->announcements.size() == 1);
    const auto &announcement = api.control->announcements.front();
    CHECK(announcement.id == "i-7f3a91c2");
    CHECK(announcement.group == "huvo11a");
    CHECK(announcement.address == "10.128.0.9");
    CHECK(announcement.port == 8080);
    CHECK(announcement.sequence == 4);
    CHECK(announcement.incarnation == 1'700'000'000'000);
    CHECK(announcement.term == 0);
    CHECK_FALSE(announcement.leaving);
}

TEST_CASE("a heartbeat of another writer names no database")
{
    // Fields that are missing, of another type, or name nothing known: whatever it says, no database may be taken from it, and the
    // others stay as they are.
    auto api = Api();
    const auto text = std::string(heartbeat);
    const auto with = [&text](std::string_view from, std::string_view to) {
        auto changed = text;
        return changed.replace(changed.find(from), from.size(), to);
    };
    for (const auto &body : {std::string(),
                             std::string("{"),
                             std::string("[]"),
                             with("\"huvo11a\"", "3"),
                             with("10.128.0.9:8080", "10.128.0.9"),
                             with(":8080", ":99999"),
                             with("\"slots\":2", "\"slots\":\"2\""),
                             with("\"slots\":2", "\"slots\":0"),
                             with("\"ready\"", "\"resting\""),
                             with("\"replica\"", "\"witness\""),
                             with("\"seq\":4", "\"seq\":-4"),
                             with("\"zone\":\"kingston\",", ""),
                             // Nested as deeply as a body may be long, and numbers that no type holds.
                             std::string(200'000, '['),
                             with("\"seq\":4", "\"x\":" + std::string(200'000, '[') + std::string(200'000, ']') + ",\"seq\":4"),
                             with("\"seq\":4", "\"seq\":18446744073709551616"),
                             with("\"seq\":4", "\"seq\":18446744073709551615"),
                             with("\"seq\":4", "\"seq\":1e400"),
                             with("\"slots\":2", "\"slots\":4294967296"),
                             with("\"slots\":2", "\"slots\":4294967295"),
                             with("\"slots\":2", "\"slots\":2.5"),
                             with(":1700000000000", ":18446744073709551615"),
                             with(":1700000000000", ":-1"),
                             with(":1700000000000", ":\"1700000000000\""),
                             with(":1700000000000", ":" + std::to_string(tomorrowAndLater())),
                             with("\"coldLeftMs\":0", "\"coldLeftMs\":\"0\""),
                             with("\"v1\"", "1"),
                             with("10.128.0.9:8080", "database.example:8080"),
                             with("10.128.0.9:8080", "999.1.1.1:8080"),
                             with("10.128.0.9:8080", "0.0.0.0:8080"),
                             with("10.128.0.9:8080", "10.128.0.9:0"),
                             with("10.128.0.9:8080", "10.128.0.9:-1"),
                             with("10.128.0.9:8080", "10.128.0.9:70000"),
                             with("10.128.0.9:8080", " :8080"),
                             with("10.128.0.9:8080", "10.128.0.9\\u0000:8080"),
                             with("10.128.0.9:8080", "10.128.0.9\\r\\n:8080"),
                             with("10.128.0.9", std::string(100'000, 'a')),
                             with("huvo11a", "huvo11a x"),
                             with("huvo11a", "huvo11a\\n"),
                             with("kingston", std::string(100'000, 'k')),
                             with("kingston", "king\\u0000ston"),
                             with("kingston", "\xff\xfe")}) {
        INFO(body.substr(0, 300));
        CHECK(api.call(http::Verb::post, "/v1/instances/i-7f3a91c2/heartbeat", body).result() == http::Status::bad_request);
    }
    CHECK(api.call(http::Verb::post, "/v1/instances/i 7/heartbeat", text).result() == http::Status::bad_request);
    CHECK(api.call(http::Verb::post, "/v1/instances/" + std::string(300, 'i') + "/heartbeat", text).result() == http::Status::bad_request);
    CHECK(api.control->announcements.empty());
    // The others hold.
    CHECK(api.call(http::Verb::post, "/v1/instances/i-7f3a91c2/heartbeat", text).result() == http::Status::ok);
    CHECK(api.control->announcements.size() == 1);
}

TEST_CASE("a database that leaves is said to be gone from its group")
{
    auto api = Api();
    auto view = std::make_shared<membership::ClusterView>();
    view->revision = Revision(1);
    auto group = membership::GroupView();
    group.id = GroupId("huvo11a");
    auto member = membership::UpstreamView();
    member.id = UpstreamId("i-7f3a91c2");
    member.incarnation = Incarnation(17);
    group.members.push_back(member);
    view->groups.push_back(group);
    api.views->publish(view);
    CHECK(api.call(http::Verb::post, "/v1/instances/i-7f3a91c2/leave", "").result() == http::Status::ok);
    CHECK(api.call(http::Verb::post, "/v1/instances/i-other/leave", "").result() == http::Status::ok);
    REQUIRE(api.control->announcements.size() == 1);
    CHECK(api.control->announcements.front().gone);
    CHECK(api.control->announcements.front().incarnation == 17);
}

TEST_CASE("the operator's calls carry control's answers")
{
    auto api = Api();
    CHECK(api.call(http::Verb::post, "/v1/config/replace", "{}").result() == http::Status::ok);
    CHECK(api.control->texts == std::vector<std::string>{"{}"});
    api.control->outcome = NotRun{RefusalReason::ConfigurationInvalid, "no routes"};
    CHECK(api.call(http::Verb::post, "/v1/config/replace", "{}").result() == http::Status::bad_request);
    api.control->outcome = NotRun{RefusalReason::ControlUnreachable, "none leads"};
    CHECK(api.call(http::Verb::post, "/v1/config/replace", "{}").result() == http::Status::service_unavailable);
    CHECK(api.call(http::Verb::get, "/v1/config/get", "").result() == http::Status::service_unavailable);
    api.control->present = membership::ConfigurationText{Revision(3), R"({"version":7})"};
    CHECK(api.call(http::Verb::get, "/v1/config/get", "").body() == R"({"version":7})");
    CHECK(api.call(http::Verb::get, "/v1/else", "").result() == http::Status::not_found);
}

} // namespace sapphirespool::adapter
