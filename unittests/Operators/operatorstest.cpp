#include "sapphirespool/Operators/client.h"
#include "sapphirespool/Operators/handler.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <thread>

namespace sapphirespool::operators
{

namespace
{

/// Control that accepts what is made from revision 4, from a thread of its own as the link does.
class FakeLink : public membership::ControlLink
{
public:
    auto announce(platform::Announcement) -> void override
    {
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
        auto outcome = membership::ConfigurationOutcome(membership::ConfigurationAccepted{Revision(5)});
        if (change.base != Revision(4)) {
            outcome = NotRun{RefusalReason::RevisionConflict, "base " + std::to_string(change.base.value()) + " is not the current revision 4"};
        } else if (change.change == ChangeId("lost")) {
            outcome = OutcomeUnknown{RefusalReason::ControlUnreachable, "the answer was lost"};
        }
        std::thread([done = std::move(done), outcome] {
            done(outcome);
        }).join();
    }

    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void override
    {
        done(membership::ConfigurationText{Revision(4), "services: {}\n"});
    }

    auto readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void override
    {
        auto status = membership::ClusterStatus();
        status.leader = VmId("hobart-1");
        status.configuration = Revision(4);
        status.vms.push_back({VmId("hobart-2"), ZoneId("hobart"), Revision(9), Revision(4), true});
        done(status);
    }
};

/// The API on an ephemeral port.
struct Api
{
    boost::asio::io_context io;
    std::shared_ptr<http::Server> server = http::makeServer(
        this->io.get_executor(),
        [this] {
            return this->io.get_executor();
        },
        http::ServerLimits(),
        makeHandler(std::make_shared<FakeLink>()));
    Endpoint endpoint = this->server->listen({"127.0.0.1", 0});
    std::thread thread{[this] {
        this->io.run();
    }};
    Client client{this->endpoint, std::chrono::seconds(30)};

    ~Api()
    {
        this->io.stop();
        this->thread.join();
    }
};

auto replyOf(const ReplyOutcome &outcome) -> Reply
{
    REQUIRE(std::holds_alternative<Reply>(outcome));
    return std::get<Reply>(outcome);
}

} // namespace

TEST_CASE("a change is accepted, refused with its remedy, or said to be unknown")
{
    const auto api = Api();
    const auto accepted = replyOf(api.client.putConfiguration({"services: {}", 4, "change-1"}));
    CHECK(accepted.status == 200);
    CHECK(boost::json::parse(accepted.body).at("revision") == 5);
    const auto conflict = replyOf(api.client.putConfiguration({"services: {}", 3, "change-2"}));
    CHECK(conflict.status == 412);
    CHECK(boost::json::parse(conflict.body).at("reason") == "revision_conflict");
    CHECK(boost::json::parse(conflict.body).at("executed") == "no");
    const auto lost = replyOf(api.client.putConfiguration({"services: {}", 4, "lost"}));
    CHECK(lost.status == 503);
    CHECK(boost::json::parse(lost.body).at("executed") == "unknown");
}

TEST_CASE("a change without a change id is refused")
{
    const auto api = Api();
    const auto refused = replyOf(api.client.putConfiguration({"services: {}", 4, ""}));
    CHECK(refused.status == 400);
    CHECK(refused.body.find("Idempotency-Key") != std::string::npos);
}

TEST_CASE("the text and the status are read")
{
    const auto api = Api();
    CHECK(replyOf(api.client.getConfiguration()).body == "services: {}\n");
    const auto status = boost::json::parse(replyOf(api.client.getStatus()).body);
    CHECK(status.at("leader") == "hobart-1");
    CHECK(status.at("vms").at(0).at("configuration") == 4);
}

TEST_CASE("a server that is not there is unreachable")
{
    auto endpoint = Endpoint();
    {
        const auto api = Api();
        endpoint = api.endpoint;
    }
    CHECK(std::holds_alternative<Unreachable>(Client(endpoint, std::chrono::seconds(30)).getStatus()));
}

} // namespace sapphirespool::operators
