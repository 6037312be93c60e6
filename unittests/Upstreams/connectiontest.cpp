#include "loop.h"

#include "sapphirespool/Standin/member.h"
#include "sapphirespool/Upstreams/connection.h"

namespace sapphirespool::upstreams
{

namespace
{

using namespace std::chrono_literals;
using platform::ExecuteReply;
using platform::ExecuteRequest;
using platform::ExecuteStatus;
using platform::Operation;
using standin::AnswerFault;

auto select(std::string sql) -> ExecuteRequest
{
    auto request = ExecuteRequest();
    request.sql = std::move(sql);
    return request;
}

struct ConnectionFixture
{
    Loop loop;
    std::shared_ptr<standin::Member> member = makePrimary(this->loop);
    std::shared_ptr<Connector> connector = makeHttpConnector(this->loop.io.get_executor());
    std::shared_ptr<Connection> connection = this->loop.wait(this->connector->connect(this->member->endpoint(), farDeadline()));

    static auto makePrimary(Loop &loop) -> std::shared_ptr<standin::Member>
    {
        auto settings = standin::MemberSettings();
        settings.id = UpstreamId("u1");
        settings.connectCost = 0ms;
        const auto member = standin::makeMember(loop.io.get_executor(), settings);
        member->start();
        const auto members = std::vector{member};
        standin::formGroup(members, Term(1));
        return member;
    }

    auto run(ExecuteRequest request, TimePoint deadline = farDeadline()) -> ExchangeOutcome
    {
        return this->loop.wait(this->connection->execute(std::move(request), deadline));
    }

    auto spoil(AnswerFault fault, std::uint64_t lateMs = 0) -> void
    {
        auto faults = standin::Faults();
        faults.answer = fault;
        faults.answers = 1;
        faults.lateMs = lateMs;
        this->member->setFaults(faults);
    }
};

} // namespace

TEST_CASE("an answer that is crossed, half, dropped or late is not delivered and closes the connection")
{
    // The upstream's answer belongs to another request, breaks off, or comes after its caller was refused. Whatever comes on
    // this connection later must reach nobody: the next caller would read another caller's booking.
    auto fixture = ConnectionFixture();
    const auto fault = GENERATE(AnswerFault::Crossed, AnswerFault::Half, AnswerFault::Dropped, AnswerFault::Late);
    fixture.spoil(fault, 60'000);
    const auto deadline = fault == AnswerFault::Late ? std::chrono::steady_clock::now() + 20ms : farDeadline();
    const auto outcome = fixture.run(select("select 1"), deadline);
    REQUIRE(std::holds_alternative<ExchangeFailure>(outcome));
    CHECK(std::get<ExchangeFailure>(outcome).sent);
    CHECK_FALSE(fixture.connection->isClean());
    const auto next = fixture.run(select("select 2"));
    REQUIRE(std::holds_alternative<ExchangeFailure>(next));
    CHECK_FALSE(std::get<ExchangeFailure>(next).sent);
}

TEST_CASE("a request on a connection that the upstream closed while it was idle was not sent")
{
    // The upstream restarted. The request that finds the dead socket first never reached it, and saying "unknown" would keep a
    // booking from being made at all.
    auto fixture = ConnectionFixture();
    REQUIRE(std::holds_alternative<ExecuteReply>(fixture.run(select("select 1"))));
    fixture.member->stop();
    fixture.loop.settle();
    const auto outcome = fixture.run(select("select 1"));
    REQUIRE(std::holds_alternative<ExchangeFailure>(outcome));
    CHECK_FALSE(std::get<ExchangeFailure>(outcome).sent);
}

TEST_CASE("a connection in a transaction is not clean")
{
    auto fixture = ConnectionFixture();
    CHECK(fixture.connection->isClean());
    auto begin = ExecuteRequest();
    begin.operation = Operation::Begin;
    begin.term = 1;
    CHECK(std::get<ExecuteReply>(fixture.run(begin)).status == ExecuteStatus::Done);
    CHECK_FALSE(fixture.connection->isClean());
    auto rollback = ExecuteRequest();
    rollback.operation = Operation::Rollback;
    fixture.run(rollback);
    CHECK(fixture.connection->isClean());
}

TEST_CASE("no connection is had to a port that nobody listens at")
{
    auto fixture = ConnectionFixture();
    const auto endpoint = fixture.member->endpoint();
    fixture.member->stop();
    fixture.loop.settle();
    CHECK(fixture.loop.wait(fixture.connector->connect(endpoint, farDeadline())) == nullptr);
}

} // namespace sapphirespool::upstreams
