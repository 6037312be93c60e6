#include "sapphirespool/Standin/member.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Platform/codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <functional>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using platform::ExecuteReply;
using platform::ExecuteRequest;
using platform::ExecuteStatus;
using platform::Operation;

/// Far beyond what a test waits for; it ends a test that hangs.
auto farDeadline() -> TimePoint
{
    return std::chrono::steady_clock::now() + 30s;
}

/// A group of three on one event loop.
struct GroupFixture
{
    asio::io_context io;
    std::vector<std::shared_ptr<Member>> members;

    explicit GroupFixture(const std::function<void(MemberSettings &)> &adjust = [](MemberSettings &) {})
    {
        for (const auto *const name : {"a", "b", "c"}) {
            auto settings = MemberSettings();
            settings.group = GroupId("g");
            settings.id = UpstreamId(name);
            settings.connectCost = 0ms;
            adjust(settings);
            this->members.push_back(makeMember(this->io.get_executor(), settings));
            this->members.back()->start();
        }
        formGroup(this->members, Term(1));
    }

    /// Runs the loop until \p condition holds.
    auto runUntil(const std::function<bool()> &condition) -> void
    {
        const auto end = farDeadline();
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            this->io.run_one_for(10ms);
        }
    }

    template <typename Result>
    auto wait(asio::awaitable<Result> work) -> Result
    {
        auto future = asio::co_spawn(this->io, std::move(work), asio::use_future);
        this->runUntil([&future] {
            return future.wait_for(0s) == std::future_status::ready;
        });
        return future.get();
    }
};

/// A caller's connection to one member.
class Caller
{
public:
    Caller(GroupFixture &group, const Member &member)
        : group(group)
        , client(http::makeClientConnection(group.io.get_executor()))
    {
        group.wait(this->client->connect(member.endpoint(), farDeadline()));
    }

    auto send(ExecuteRequest request) -> asio::awaitable<http::ExchangeResult>
    {
        request.request = ++this->number;
        return this->client->exchange(http::jsonRequest(http::Verb::post, "/v1/execute", platform::toJson(request)), farDeadline());
    }

    auto ask(Operation operation, std::string sql, bool write, std::uint64_t term = 1) -> ExecuteReply
    {
        auto request = ExecuteRequest();
        request.operation = operation;
        request.term = term;
        request.write = write;
        request.sql = std::move(sql);
        const auto result = this->group.wait(this->send(std::move(request)));
        REQUIRE_FALSE(result.error);
        auto reply = platform::fromJson<ExecuteReply>(result.response.body());
        REQUIRE(reply);
        return *reply;
    }

    auto write(std::string sql, std::uint64_t term = 1) -> ExecuteReply
    {
        return this->ask(Operation::Statement, std::move(sql), true, term);
    }

    auto read(std::string sql, std::uint64_t term = 0) -> ExecuteReply
    {
        return this->ask(Operation::Statement, std::move(sql), false, term);
    }

    auto close() -> void
    {
        this->client->close();
    }

    GroupFixture &group;
    std::shared_ptr<http::ClientConnection> client;

private:
    std::uint64_t number = 0;
};

const auto createTable = std::string("create table booking(id integer primary key, label text)");
const auto countRows = std::string("select count(*) from booking");

} // namespace

TEST_CASE("a write reaches the replicas, which serve reads and refuse writes")
{
    auto group = GroupFixture();
    auto primary = Caller(group, *group.members[0]);
    CHECK(primary.write(createTable).position == 1);
    CHECK(primary.write("insert into booking values (1, 'shears')").position == 2);
    group.runUntil([&group] {
        return group.members[1]->report().applied == 2;
    });
    auto replica = Caller(group, *group.members[1]);
    const auto read = replica.read(countRows);
    CHECK(read.rows == boost::json::array{boost::json::array{1}});
    CHECK(read.position == 2);
    CHECK(replica.write("insert into booking values (2, 'combs')").status == ExecuteStatus::WrongTerm);
    CHECK(primary.write("insert into booking values (2, 'combs')", 2).status == ExecuteStatus::WrongTerm);
}

TEST_CASE("open transactions of two connections do not see each other, and a lost connection rolls back")
{
    // Two callers hold transactions at a time; one of them dies. Its rows must appear neither in the other transaction nor
    // after the commit.
    auto group = GroupFixture();
    auto first = Caller(group, *group.members[0]);
    auto second = Caller(group, *group.members[0]);
    first.write(createTable);
    CHECK(first.ask(Operation::Begin, "", false).status == ExecuteStatus::Done);
    CHECK(second.ask(Operation::Begin, "", false).status == ExecuteStatus::Done);
    first.write("insert into booking values (1, 'shears')");
    second.write("insert into booking values (2, 'combs')");
    CHECK(second.read(countRows, 1).rows == boost::json::array{boost::json::array{1}});
    first.close();
    CHECK(second.ask(Operation::Commit, "", false).position == 2);
    CHECK(second.read("select id from booking").rows == boost::json::array{boost::json::array{2}});
}

TEST_CASE("a transaction does not outlive its term")
{
    auto group = GroupFixture();
    auto caller = Caller(group, *group.members[0]);
    caller.write(createTable);
    caller.ask(Operation::Begin, "", false);
    caller.write("insert into booking values (1, 'shears')");
    REQUIRE(group.members[0]->promote({2}));
    CHECK(caller.ask(Operation::Commit, "", false).status == ExecuteStatus::WrongTerm);
    CHECK(caller.read(countRows).rows == boost::json::array{boost::json::array{0}});
}

TEST_CASE("connections over the limit are told that nothing ran, and a closed one makes room")
{
    auto group = GroupFixture([](MemberSettings &settings) {
        settings.connectionLimit = 1;
    });
    auto first = Caller(group, *group.members[0]);
    first.write(createTable);
    {
        auto second = Caller(group, *group.members[0]);
        CHECK(second.read("select 1").status == ExecuteStatus::Busy);
    }
    first.close();
    group.runUntil([&group] {
        return Caller(group, *group.members[0]).read("select 1").status == ExecuteStatus::Done;
    });
    CHECK(group.members[0]->counts().mostConnections == 1);
}

TEST_CASE("statements over the slots wait for their turn")
{
    auto group = GroupFixture([](MemberSettings &settings) {
        settings.slots = 2;
        settings.serviceTime = 1ms;
    });
    auto callers = std::vector<std::unique_ptr<Caller>>();
    auto answered = 0;
    for (auto index = 0; index < 6; ++index) {
        callers.push_back(std::make_unique<Caller>(group, *group.members[0]));
        auto request = ExecuteRequest();
        request.sql = "select 1";
        asio::co_spawn(group.io, callers.back()->send(request), [&answered](const std::exception_ptr &, const http::ExchangeResult &result) {
            answered += result.error ? 0 : 1;
        });
    }
    group.runUntil([&answered] {
        return answered == 6;
    });
    CHECK(group.members[0]->counts().mostRunning == 2);
}

TEST_CASE("a position poll returns with the write it waits for, and at once when the term changed")
{
    auto group = GroupFixture();
    auto poll = [&group](std::string target) -> std::future<http::ExchangeResult> {
        const auto client = http::makeClientConnection(group.io.get_executor());
        group.wait(client->connect(group.members[1]->endpoint(), farDeadline()));
        auto work = [](std::shared_ptr<http::ClientConnection> client, std::string target) -> asio::awaitable<http::ExchangeResult> {
            auto request = http::Request(http::Verb::get, target, 11);
            co_return co_await client->exchange(std::move(request), farDeadline());
        };
        return asio::co_spawn(group.io, work(client, std::move(target)), asio::use_future);
    };
    auto finish = [&group](std::future<http::ExchangeResult> &future) {
        group.runUntil([&future] {
            return future.wait_for(0s) == std::future_status::ready;
        });
        return platform::fromJson<platform::PositionReport>(future.get().response.body()).value();
    };
    auto waiting = poll("/v1/position?term=1&above=0&wait=10000");
    Caller(group, *group.members[0]).write(createTable);
    CHECK(finish(waiting).position == 1);
    auto outdated = poll("/v1/position?term=0&above=5&wait=10000");
    CHECK(finish(outdated).term == 1);
}

TEST_CASE("a stopped member comes back with its log and a new incarnation")
{
    auto group = GroupFixture();
    Caller(group, *group.members[0]).write(createTable);
    const auto before = group.members[0]->report();
    group.members[0]->stop();
    group.io.poll();
    const auto port = group.members[0]->start().port;
    CHECK(port == group.members[0]->endpoint().port);
    const auto after = group.members[0]->report();
    CHECK(after.position == before.position);
    CHECK(after.role == platform::Role::Primary);
    CHECK(after.incarnation != before.incarnation);
    CHECK(Caller(group, *group.members[0]).read(countRows).status == ExecuteStatus::Done);
}

TEST_CASE("a replica that lost its tail shows the new primary's data")
{
    // The old primary is cut off with a write that nobody confirmed, and follows the new one later. A read at it must show the
    // new primary's booking 1 and not its own.
    auto group = GroupFixture();
    auto old = Caller(group, *group.members[0]);
    old.write(createTable);
    group.runUntil([&group] {
        return group.members[1]->report().applied == 1 && group.members[2]->report().applied == 1;
    });
    auto cut = Faults();
    cut.member = MemberFault::CutOff;
    group.members[0]->setFaults(cut);
    CHECK(old.write("insert into booking values (1, 'lost')").status == ExecuteStatus::Done);
    CHECK(old.read("select label from booking").rows == boost::json::array{boost::json::array{"lost"}});
    REQUIRE(group.members[1]->promote({2}));
    Caller(group, *group.members[1]).write("insert into booking values (1, 'kept')", 2);
    const auto primary = group.members[1]->endpoint();
    REQUIRE(group.members[0]->follow({2, "b", primary.address, primary.port, 1}));
    group.members[0]->setFaults(Faults());
    group.runUntil([&group] {
        return group.members[0]->report().applied == 2;
    });
    CHECK(old.read("select label from booking").rows == boost::json::array{boost::json::array{"kept"}});
}

TEST_CASE("a member does to its answers what it is told")
{
    auto group = GroupFixture();
    auto caller = Caller(group, *group.members[0]);
    auto faults = Faults();
    faults.answers = 1;
    auto request = ExecuteRequest();
    request.sql = createTable;
    request.write = true;
    request.term = 1;
    SECTION("dropped")
    {
        faults.answer = AnswerFault::Dropped;
        group.members[0]->setFaults(faults);
        const auto result = group.wait(caller.send(request));
        CHECK(result.error);
        CHECK(result.sent);
        CHECK(group.members[0]->report().position == 1);
    }
    SECTION("half")
    {
        faults.answer = AnswerFault::Half;
        group.members[0]->setFaults(faults);
        CHECK(group.wait(caller.send(request)).error);
    }
    SECTION("crossed")
    {
        faults.answer = AnswerFault::Crossed;
        group.members[0]->setFaults(faults);
        const auto result = group.wait(caller.send(request));
        CHECK(platform::fromJson<ExecuteReply>(result.response.body())->request == 0);
    }
    CHECK(Caller(group, *group.members[0]).read("select 1").status == ExecuteStatus::Done);
}

TEST_CASE("faults are set over HTTP, and unknown ones refused")
{
    auto group = GroupFixture();
    auto caller = Caller(group, *group.members[0]);
    auto post = [&group, &caller](std::string body) {
        auto request = http::Request(http::Verb::post, "/standin/faults", 11);
        request.body() = std::move(body);
        return group.wait(caller.client->exchange(std::move(request), farDeadline()));
    };
    CHECK(post(R"({"member":"Melted"})").response.result() == http::Status::bad_request);
    CHECK(post(R"({"colour":1})").response.result() == http::Status::bad_request);
    CHECK(post(R"({"member":"Stopped","forMs":1})").response.result() == http::Status::ok);
    const auto incarnation = group.members[0]->report().incarnation;
    group.runUntil([&] {
        const auto now = group.members[0]->report().incarnation;
        return now != 0 && now != incarnation;
    });
}

} // namespace sapphirespool::standin
