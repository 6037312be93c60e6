#include "sapphirespool/Load/loadrun.h"

#include "sapphirespool/Standin/member.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace sapphirespool::load
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Spoils the answers of another target.
class UntruthfulTarget : public Target
{
public:
    enum class Untruth {
        /// Runs each write twice.
        Doubles,
        /// Says that a write was done and drops it.
        Drops,
        /// Says that a write was not run, after it ran.
        Denies,
        /// Answers reads as if nothing had been written.
        Forgets,
    };

    UntruthfulTarget(std::shared_ptr<Target> inner, Untruth untruth)
        : inner(std::move(inner))
        , untruth(untruth)
    {
    }

    auto ask(Question question) -> asio::awaitable<Reply> override
    {
        const auto entry = question.sql.starts_with("insert");
        auto done = Reply();
        done.kind = ReplyKind::Answered;
        if (entry && this->untruth == Untruth::Drops) {
            co_return done;
        }
        if (entry && this->untruth == Untruth::Doubles) {
            co_await this->inner->ask(question);
        }
        if (question.sql.starts_with("select coalesce") && this->untruth == Untruth::Forgets) {
            done.rows.push_back(boost::json::array{0});
            co_return done;
        }
        auto reply = co_await this->inner->ask(question);
        if (entry && this->untruth == Untruth::Denies) {
            reply.kind = ReplyKind::NotRun;
        }
        co_return reply;
    }

private:
    std::shared_ptr<Target> inner;
    Untruth untruth;
};

struct RunFixture
{
    asio::io_context io;
    std::shared_ptr<standin::Member> member = makePrimary(this->io);
    std::shared_ptr<Target> direct = makeDirectTarget(this->io.get_executor(), this->member->endpoint());
    LoadSettings settings;

    RunFixture()
    {
        this->settings.arrivals.rate = 2'000;
        this->settings.arrivals.writeShare = 0.5;
        this->settings.arrivals.sessions = 8;
        this->settings.mostRequests = 200;
        this->settings.name = "run";
    }

    static auto makePrimary(asio::io_context &io) -> std::shared_ptr<standin::Member>
    {
        auto settings = standin::MemberSettings();
        settings.id = UpstreamId("u1");
        settings.connectCost = 0ms;
        settings.connectionLimit = 10'000;
        const auto member = standin::makeMember(io.get_executor(), settings);
        member->start();
        const auto members = std::vector{member};
        standin::formGroup(members, Term(1));
        return member;
    }

    auto run(std::shared_ptr<Target> target) -> Report
    {
        auto result = std::optional<Report>();
        auto done = false;
        asio::co_spawn(
            this->io, runLoad(this->io.get_executor(), this->settings, {std::move(target)}), [&](const std::exception_ptr &, std::optional<Report> report) {
                result = std::move(report);
                done = true;
            });
        while (!done) {
            this->io.run_one();
        }
        REQUIRE(result);
        return *result;
    }
};

} // namespace

TEST_CASE("a run against a truthful system finds nothing wrong")
{
    auto fixture = RunFixture();
    const auto report = fixture.run(fixture.direct);
    CHECK(report.requests == 200);
    CHECK(report.reads.answered + report.writes.answered == 200);
    CHECK(keptPromises(report.violations));
    CHECK(report.violations.uncheckedSessions == 0);
}

TEST_CASE("only addresses of this machine are local")
{
    CHECK(isLocal({"127.0.0.1", 80}));
    CHECK(isLocal({"127.255.0.9", 80}));
    CHECK_FALSE(isLocal({"10.0.0.1", 80}));
    CHECK_FALSE(isLocal({"128.0.0.1", 80}));
    CHECK_FALSE(isLocal({"0.0.0.0", 80}));
    CHECK_FALSE(isLocal({"example.org", 80}));
}

TEST_CASE("a run ends at its duration")
{
    auto fixture = RunFixture();
    fixture.settings.duration = 50ms;
    fixture.settings.mostRequests = 1'000'000;
    const auto report = fixture.run(fixture.direct);
    CHECK(report.requests > 0);
    CHECK(report.requests < 1'000);
}

TEST_CASE("a run finds a system that doubles, loses, denies or forgets writes")
{
    // The checks of the load are what the closing figures rest on. Each untruth that a system can tell must show.
    using Untruth = UntruthfulTarget::Untruth;
    auto fixture = RunFixture();
    const auto untruth = GENERATE(Untruth::Doubles, Untruth::Drops, Untruth::Denies, Untruth::Forgets);
    const auto violations = fixture.run(std::make_shared<UntruthfulTarget>(fixture.direct, untruth)).violations;
    CHECK((violations.doubledWrites > 0) == (untruth == Untruth::Doubles));
    CHECK((violations.lostWrites > 0) == (untruth == Untruth::Drops));
    CHECK((violations.untrueRefusals > 0) == (untruth == Untruth::Denies));
    CHECK((violations.staleReads > 0) == (untruth == Untruth::Forgets || untruth == Untruth::Drops));
}

} // namespace sapphirespool::load
