#include "sapphirespool/Upstreams/positionwatch.h"

#include "loop.h"

#include "sapphirespool/Standin/member.h"
#include "sapphirespool/Upstreams/connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphirespool::upstreams
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Three members on one loop, a view of them and a watch.
struct WatchFixture
{
    Loop loop;
    std::vector<std::shared_ptr<standin::Member>> members;
    std::shared_ptr<PositionWatch> watch = makeHttpPositionWatch(this->loop.io.get_executor());
    GroupId group{"g"};

    WatchFixture()
    {
        for (const auto *const name : {"a", "b", "c"}) {
            auto settings = standin::MemberSettings();
            settings.group = this->group;
            settings.id = UpstreamId(name);
            settings.connectCost = 0ms;
            this->members.push_back(standin::makeMember(this->loop.io.get_executor(), settings));
            this->members.back()->start();
        }
        standin::formGroup(this->members, Term(1));
        this->watch->viewChanged(this->view(1, "a"));
    }

    auto view(std::uint64_t term, std::string primary) -> std::shared_ptr<const membership::ClusterView>
    {
        auto made = membership::ClusterView();
        auto groupView = membership::GroupView();
        groupView.id = this->group;
        groupView.term = Term(term);
        groupView.primary = UpstreamId(std::move(primary));
        for (const auto &member : this->members) {
            auto entry = membership::UpstreamView();
            entry.id = member->settings().id;
            entry.endpoint = member->endpoint();
            entry.incarnation = Incarnation(member->report().incarnation);
            groupView.members.push_back(entry);
        }
        made.groups.push_back(groupView);
        return std::make_shared<const membership::ClusterView>(made);
    }

    auto confirm(std::uint64_t position, TimePoint deadline = farDeadline()) -> std::future<Confirmation>
    {
        return this->loop.start(this->watch->confirm(this->group, Term(1), LogPosition(position), deadline));
    }

    /// Writes one entry at the first member, over a connection as a proxy would.
    auto write() -> void
    {
        const auto connector = makeHttpConnector(this->loop.io.get_executor());
        const auto connection = this->loop.wait(connector->connect(this->members[0]->endpoint(), farDeadline()));
        auto request = platform::ExecuteRequest();
        request.term = 1;
        request.write = true;
        request.sql = "create table if not exists booking(id integer)";
        const auto outcome = this->loop.wait(connection->execute(std::move(request), farDeadline()));
        REQUIRE(std::holds_alternative<platform::ExecuteReply>(outcome));
    }

    auto polls() -> std::uint64_t
    {
        return this->members[1]->counts().positionPolls + this->members[2]->counts().positionPolls;
    }

    auto setFault(std::size_t member, standin::MemberFault fault) -> void
    {
        auto faults = standin::Faults();
        faults.member = fault;
        this->members[member]->setFaults(faults);
    }
};

/// Gives the reports it was made with, each at once, and then none.
class ScriptedSource : public PositionSource
{
public:
    explicit ScriptedSource(std::vector<platform::PositionReport> reports)
        : reports(std::move(reports))
    {
    }

    auto poll(Term, LogPosition, std::chrono::milliseconds) -> asio::awaitable<std::optional<platform::PositionReport>> override
    {
        if (this->next == this->reports.size()) {
            co_return std::nullopt;
        }
        co_return this->reports[this->next++];
    }

private:
    std::vector<platform::PositionReport> reports;
    std::size_t next = 0;
};

/// Reports a member's position every millisecond, and counts the polls.
class CountingSource : public PositionSource
{
public:
    CountingSource(asio::io_context &io, standin::Member &member, std::uint64_t &polls)
        : io(io)
        , member(member)
        , polls(polls)
    {
    }

    auto poll(Term, LogPosition, std::chrono::milliseconds) -> asio::awaitable<std::optional<platform::PositionReport>> override
    {
        ++this->polls;
        auto timer = asio::steady_timer(this->io, 1ms);
        co_await timer.async_wait(asio::use_awaitable);
        co_return this->member.report();
    }

private:
    asio::io_context &io;
    standin::Member &member;
    std::uint64_t &polls;
};

} // namespace

TEST_CASE("a write is confirmed by a replica")
{
    auto fixture = WatchFixture();
    auto seen = std::vector<platform::PositionReport>();
    fixture.watch->observe([&seen](const GroupId &, const platform::PositionReport &report) {
        seen.push_back(report);
    });
    fixture.write();
    auto confirmed = fixture.confirm(1);
    CHECK(fixture.loop.finish(confirmed) == Confirmation::Confirmed);
    CHECK_FALSE(seen.empty());
}

TEST_CASE("one poll for each replica covers all writes in flight")
{
    // Two hundred callers write at a time. With a poll for each write the members would answer 400 requests for what two
    // answers say.
    auto fixture = WatchFixture();
    auto waiting = std::vector<std::future<Confirmation>>();
    for (auto index = 0; index < 200; ++index) {
        waiting.push_back(fixture.confirm(1));
    }
    fixture.loop.runUntil([&fixture] {
        return fixture.polls() == 2;
    });
    fixture.loop.settle();
    CHECK(fixture.polls() == 2);
    fixture.write();
    for (auto &write : waiting) {
        CHECK(fixture.loop.finish(write) == Confirmation::Confirmed);
    }
    CHECK(fixture.polls() <= 4);
}

TEST_CASE("a group without writes is not polled")
{
    auto fixture = WatchFixture();
    fixture.loop.io.run_for(100ms);
    CHECK(fixture.polls() == 0);
}

TEST_CASE("polling ends with the last write that waits")
{
    // A group takes one write and then none for a day. Going on with the polls would cost each member of each group two requests
    // a second from each proxy.
    auto fixture = WatchFixture();
    auto polls = std::uint64_t{0};
    auto watch = makePositionWatch(fixture.loop.io.get_executor(), [&fixture, &polls](const Endpoint &endpoint) {
        return std::make_shared<CountingSource>(fixture.loop.io, endpoint == fixture.members[1]->endpoint() ? *fixture.members[1] : *fixture.members[2], polls);
    });
    watch->viewChanged(fixture.view(1, "a"));
    fixture.write();
    CHECK(fixture.loop.wait(watch->confirm(fixture.group, Term(1), LogPosition(1), farDeadline())) == Confirmation::Confirmed);
    const auto before = polls;
    fixture.loop.io.restart();
    fixture.loop.io.run_for(100ms);
    CHECK(polls <= before + 2);
}

TEST_CASE("a primary that is cut off from its replicas has nothing confirmed")
{
    // The old primary still answers the proxy and its replicas follow another member already. Its write is on one disk only; an
    // acknowledgement would be lost with it.
    auto fixture = WatchFixture();
    fixture.setFault(0, standin::MemberFault::CutOff);
    fixture.write();
    auto waiting = fixture.confirm(1, std::chrono::steady_clock::now() + 200ms);
    REQUIRE(fixture.members[1]->promote({2}));
    CHECK(fixture.loop.finish(waiting) == Confirmation::TimedOut);
    SECTION("and the new term ends the wait at once")
    {
        auto later = fixture.confirm(1);
        fixture.loop.settle();
        fixture.watch->viewChanged(fixture.view(2, "b"));
        CHECK(fixture.loop.finish(later) == Confirmation::TermEnded);
    }
    SECTION("and so do replicas that have all seen the new term")
    {
        const auto primary = fixture.members[1]->endpoint();
        REQUIRE(fixture.members[2]->follow({2, "b", primary.address, primary.port, 0}));
        auto later = fixture.confirm(1);
        CHECK(fixture.loop.finish(later) == Confirmation::TermEnded);
    }
}

TEST_CASE("one replica that is frozen does not hold up the other's confirmation")
{
    auto fixture = WatchFixture();
    fixture.setFault(1, standin::MemberFault::Frozen);
    fixture.write();
    auto confirmed = fixture.confirm(1);
    CHECK(fixture.loop.finish(confirmed) == Confirmation::Confirmed);
}

TEST_CASE("a confirmation stands though its member is fenced in the next moment")
{
    // The member held the write when it said so, and the promotion will find it there. The caller must not be told otherwise
    // because the fence was heard of before the waiting request came to run.
    auto loop = Loop();
    auto view = membership::ClusterView();
    auto group = membership::GroupView();
    group.id = GroupId("g");
    group.term = Term(1);
    group.primary = UpstreamId("a");
    for (const auto *const name : {"a", "b", "c"}) {
        auto member = membership::UpstreamView();
        member.id = UpstreamId(name);
        member.endpoint.address = name;
        group.members.push_back(member);
    }
    view.groups.push_back(group);
    auto holds = platform::PositionReport();
    holds.id = "b";
    holds.term = 1;
    holds.lastTerm = 1;
    holds.position = 5;
    auto fenced = holds;
    fenced.term = 2;
    fenced.role = platform::Role::Fenced;
    const auto watch = makePositionWatch(loop.io.get_executor(), [&holds, &fenced](const Endpoint &endpoint) {
        const auto speaks = endpoint.address == "b";
        return std::make_shared<ScriptedSource>(speaks ? std::vector{holds, fenced} : std::vector<platform::PositionReport>());
    });
    watch->viewChanged(std::make_shared<const membership::ClusterView>(view));
    CHECK(loop.wait(watch->confirm(GroupId("g"), Term(1), LogPosition(5), farDeadline())) == Confirmation::Confirmed);
}

TEST_CASE("a replica that comes back confirms again")
{
    // Both replicas restart while a write waits. They keep their logs but are other processes, which the view learns first.
    auto fixture = WatchFixture();
    fixture.members[1]->stop();
    fixture.members[2]->stop();
    fixture.loop.settle();
    fixture.write();
    auto confirmed = fixture.confirm(1);
    fixture.loop.settle();
    fixture.members[1]->start();
    fixture.members[2]->start();
    fixture.watch->viewChanged(fixture.view(1, "a"));
    CHECK(fixture.loop.finish(confirmed) == Confirmation::Confirmed);
}

} // namespace sapphirespool::upstreams
