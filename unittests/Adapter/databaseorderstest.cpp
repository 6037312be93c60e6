#include "platform/databaseorders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::adapter
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// Holds as often as it is told to.
class CountedAuthority : public platform::OrderAuthority
{
public:
    explicit CountedAuthority(int times)
        : left(times)
    {
    }

    [[nodiscard]] auto holds() const -> bool override
    {
        return this->left-- > 0;
    }

private:
    mutable int left;
};

/// Takes one connection, notes each line and answers it.
class LineServer
{
public:
    using Answer = std::function<std::string(const std::string &line)>;

    LineServer(asio::io_context &io, Answer answer)
        : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(io, serve(this->acceptor, std::move(answer), this->seen), asio::detached);
    }

    [[nodiscard]] auto endpoint() const -> Endpoint
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    [[nodiscard]] auto hasSeen(std::string_view words) const -> bool
    {
        return std::any_of(this->seen.begin(), this->seen.end(), [words](const std::string &line) {
            return line.find(words) != std::string::npos;
        });
    }

private:
    static auto serve(tcp::acceptor &acceptor, Answer answer, std::vector<std::string> &seen) -> asio::awaitable<void>
    {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        auto buffer = std::string();
        while (true) {
            const auto length = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n", asio::use_awaitable);
            seen.push_back(buffer.substr(0, length - 2));
            buffer.erase(0, length);
            const auto reply = answer(seen.back());
            co_await asio::async_write(socket, asio::buffer(reply), asio::use_awaitable);
        }
    }

    tcp::acceptor acceptor;
    std::vector<std::string> seen;
};

/// A database that says that it is primary.
auto primaryAnswer(const std::string &line) -> std::string
{
    if (line.starts_with("STARTUP")) {
        return "READY I -\r\n";
    }
    return line.starts_with("QUERY") ? "DATAROW primary 3 3.1209 3 0 0 1\r\nCOMPLETE -\r\nREADY I 3.1209\r\n" : "";
}

/// A database that says that it is a replica.
auto replicaAnswer(const std::string &line) -> std::string
{
    if (line.starts_with("STARTUP")) {
        return "READY I -\r\n";
    }
    return line.starts_with("QUERY") ? "DATAROW replica 3 3.1209 3 0 0 1\r\nCOMPLETE -\r\nREADY I 3.1209\r\n" : "";
}

auto okAnswer(const std::string &line) -> std::string
{
    return line.empty() ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : "";
}

struct Answered
{
    bool done = false;
    std::optional<platform::PositionReport> report;

    auto callback() -> platform::ReportCallback
    {
        return [this](std::optional<platform::PositionReport> given) {
            this->done = true;
            this->report = std::move(given);
        };
    }

    auto await(asio::io_context &io) -> void
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!this->done && std::chrono::steady_clock::now() < end) {
            io.run_one_for(10ms);
        }
        REQUIRE(this->done);
    }
};

const auto group = GroupId("orders-1");
const auto member = UpstreamId("a");

} // namespace

// A deposed control leader must not order a promotion after its successor has.
TEST_CASE("an order to promote is not sent once its authority has ended")
{
    auto io = asio::io_context();
    auto platform = LineServer(io, okAnswer);
    const auto orders = makeDatabaseOrders(io.get_executor(), platform.endpoint());
    auto answer = Answered();
    SECTION("it holds")
    {
        orders->promote({group, member, {}}, {2, VmId("hobart-1"), 7}, std::make_shared<CountedAuthority>(1), answer.callback());
        answer.await(io);
        CHECK(platform.hasSeen("Fence-Token: 7"));
        CHECK(answer.report);
    }
    SECTION("it has ended")
    {
        orders->promote({group, member, {}}, {2, VmId("hobart-1"), 7}, std::make_shared<CountedAuthority>(0), answer.callback());
        answer.await(io);
        CHECK_FALSE(platform.hasSeen("POST"));
        CHECK_FALSE(answer.report);
    }
}

// A late order to step down must not reach the member that was made primary meanwhile.
TEST_CASE("a member is not told to step down once the authority has ended")
{
    auto io = asio::io_context();
    auto database = LineServer(io, primaryAnswer);
    const auto orders = makeDatabaseOrders(io.get_executor(), {});
    auto answer = Answered();
    SECTION("it holds")
    {
        orders->fence({group, member, database.endpoint()}, {2}, std::make_shared<CountedAuthority>(1), answer.callback());
        answer.await(io);
        CHECK(database.hasSeen("STEPDOWN 4"));
    }
    SECTION("it has ended")
    {
        orders->fence({group, member, database.endpoint()}, {2}, std::make_shared<CountedAuthority>(0), answer.callback());
        answer.await(io);
        CHECK_FALSE(database.hasSeen("STEPDOWN"));
        CHECK_FALSE(answer.report);
    }
}

// A replica that goes on receiving would confirm writes of a primary that does not know that it is replaced.
TEST_CASE("a paused replica is told to stop receiving, and a primary to step down")
{
    auto io = asio::io_context();
    auto answer = Answered();
    SECTION("a replica")
    {
        auto database = LineServer(io, replicaAnswer);
        const auto orders = makeDatabaseOrders(io.get_executor(), {});
        orders->pause({group, member, database.endpoint()}, {2}, std::make_shared<CountedAuthority>(1), answer.callback());
        answer.await(io);
        CHECK(database.hasSeen("PAUSE 4"));
        REQUIRE(answer.report);
        CHECK(answer.report->position == 1209);
    }
    SECTION("a primary")
    {
        auto database = LineServer(io, primaryAnswer);
        const auto orders = makeDatabaseOrders(io.get_executor(), {});
        orders->pause({group, member, database.endpoint()}, {2}, std::make_shared<CountedAuthority>(1), answer.callback());
        answer.await(io);
        CHECK(database.hasSeen("STEPDOWN 4"));
        CHECK_FALSE(database.hasSeen("PAUSE"));
    }
    SECTION("the authority has ended")
    {
        auto database = LineServer(io, replicaAnswer);
        const auto orders = makeDatabaseOrders(io.get_executor(), {});
        orders->pause({group, member, database.endpoint()}, {2}, std::make_shared<CountedAuthority>(0), answer.callback());
        answer.await(io);
        CHECK_FALSE(database.hasSeen("PAUSE"));
        CHECK_FALSE(answer.report);
    }
}

// A replica that was paused would confirm no write of the new primary; a late order would undo the pause of the next election.
TEST_CASE("a replica of a new primary is told to receive again while the authority holds")
{
    for (const auto holds : {true, false}) {
        auto io = asio::io_context();
        auto database = LineServer(io, replicaAnswer);
        const auto orders = makeDatabaseOrders(io.get_executor(), {});
        auto answer = Answered();
        auto request = platform::FollowRequest();
        request.term = 2;
        orders->follow({group, member, database.endpoint()}, request, std::make_shared<CountedAuthority>(holds ? 1 : 0), answer.callback());
        answer.await(io);
        CHECK(database.hasSeen("RESUME") == holds);
        CHECK(answer.report.has_value() == holds);
    }
}

// A member that is asked for its position goes on as before.
TEST_CASE("the question for a position gives no order")
{
    auto io = asio::io_context();
    auto database = LineServer(io, primaryAnswer);
    const auto orders = makeDatabaseOrders(io.get_executor(), {});
    auto answer = Answered();
    orders->position({group, member, database.endpoint()}, answer.callback());
    answer.await(io);
    REQUIRE(answer.report);
    CHECK(answer.report->position == 1209);
    CHECK_FALSE(database.hasSeen("STEPDOWN"));
}

} // namespace sapphirespool::adapter
