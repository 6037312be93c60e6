#include "sapphirespool/Load/loadrun.h"

#include "sapphirespool/Load/sessionhistory.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cassert>
#include <random>
#include <utility>

namespace sapphirespool::load
{

namespace
{

namespace asio = boost::asio;

/// Times that the table's creation, and each look at the end, is tried. With the pause it outlasts a failover.
constexpr auto mostTries = 60;
constexpr auto retryPause = std::chrono::milliseconds(200);

/// Times that a write with a key is sent when its outcome stays unknown.
constexpr auto mostSends = 5;

/// Requests under way at a time. A system that hangs must not make the load itself run out of sockets.
constexpr auto mostOutstanding = std::size_t{10'000};

constexpr auto createTable = "create table if not exists load_entry (run text, session integer, number integer)";
constexpr auto createIndex = "create index if not exists load_entry_session on load_entry (run, session, number)";
constexpr auto insertEntry = "insert into load_entry (run, session, number) values (?, ?, ?)";
constexpr auto highestEntry = "select coalesce(max(number), 0) from load_entry where run = ? and session = ?";
constexpr auto allEntries = "select number, count(*) from load_entry where run = ? and session = ? group by number";

/// A caller's session. It asks one thing at a time.
struct Session
{
    std::size_t id = 0;
    std::string token;
    SessionHistory history;
};

class LoadRun : public std::enable_shared_from_this<LoadRun>
{
public:
    LoadRun(asio::any_io_executor executor, LoadSettings settings, std::vector<std::shared_ptr<Target>> targets)
        : executor(std::move(executor))
        , settings(std::move(settings))
        , targets(std::move(targets))
        , keyChoice(this->settings.arrivals.seed)
    {
        this->settings.arrivals.targets = this->targets.size();
    }

    static auto run(std::shared_ptr<LoadRun> self) -> asio::awaitable<std::optional<Report>>
    {
        const auto prepared = co_await self->prepare();
        if (!prepared) {
            co_return std::nullopt;
        }
        self->begin = std::chrono::steady_clock::now();
        co_await self->drive();
        const auto duration = std::chrono::steady_clock::now() - self->begin;
        while (self->outstanding > 0) {
            co_await self->pause(std::chrono::milliseconds(1));
        }
        auto violations = Violations();
        co_await self->check(violations);
        co_return makeReport(self->samples, duration, violations);
    }

private:
    auto prepare() -> asio::awaitable<bool>
    {
        for (const auto *const sql : {createTable, createIndex}) {
            auto question = this->question(sql, Access::Write);
            const auto reply = co_await this->askUntilAnswered(std::move(question));
            if (reply.kind != ReplyKind::Answered) {
                co_return false;
            }
        }
        // A read that accepts age may be shown data from before the table was there, and rightly so.
        co_await this->pause(this->settings.maxAge.value_or(std::chrono::milliseconds(0)));
        co_return true;
    }

    auto drive() -> asio::awaitable<void>
    {
        auto arrivals = Arrivals(this->settings.arrivals);
        for (auto sent = std::uint64_t{0}; sent < this->settings.mostRequests; ++sent) {
            const auto arrival = arrivals.next();
            if (arrival.at >= this->settings.duration) {
                co_await this->pauseUntil(this->begin + this->settings.duration);
                co_return;
            }
            co_await this->pauseUntil(this->begin + arrival.at);
            if (this->outstanding >= mostOutstanding) {
                this->samples.push_back(Sample{arrival.access, arrival.at, arrival.at, ReplyKind::NotRun, "client_outstanding", false});
                continue;
            }
            ++this->outstanding;
            asio::co_spawn(this->executor, serve(this->shared_from_this(), arrival, this->takeSession(arrival.session)), asio::detached);
        }
    }

    /// A session that waits for an answer is never asked for more; a new one comes instead, so that callers do not wait for
    /// each other.
    auto takeSession(std::size_t choice) -> std::shared_ptr<Session>
    {
        if (this->sessions.size() < this->settings.arrivals.sessions || this->idle.empty()) {
            this->sessions.push_back(std::make_shared<Session>());
            this->sessions.back()->id = this->sessions.size();
            return this->sessions.back();
        }
        std::swap(this->idle[choice % this->idle.size()], this->idle.back());
        auto session = std::move(this->idle.back());
        this->idle.pop_back();
        return session;
    }

    static auto serve(std::shared_ptr<LoadRun> self, Arrival arrival, std::shared_ptr<Session> session) -> asio::awaitable<void>
    {
        auto reply = Reply();
        if (arrival.access == Access::Write) {
            reply = co_await self->write(arrival, session);
        } else {
            reply = co_await self->read(arrival, session);
        }
        session->token = reply.session;
        const auto ended = std::chrono::steady_clock::now() - self->begin;
        self->samples.push_back(Sample{arrival.access, arrival.at, ended, reply.kind, reply.reason, reply.fromReplica});
        self->idle.push_back(std::move(session));
        --self->outstanding;
    }

    auto write(Arrival arrival, std::shared_ptr<Session> session) -> asio::awaitable<Reply>
    {
        const auto number = session->history.beginWrite();
        auto question = this->question(insertEntry, Access::Write);
        question.params = {this->settings.name, session->id, number};
        question.session = session->token;
        const auto keyed = std::bernoulli_distribution(this->settings.keyShare)(this->keyChoice);
        if (keyed) {
            question.key = this->settings.name + "-" + std::to_string(session->id) + "-" + std::to_string(number);
        }
        auto reply = co_await this->targets[arrival.target]->ask(question);
        for (auto sends = 1; keyed && reply.kind == ReplyKind::Unknown && sends < mostSends; ++sends) {
            co_await this->pause(retryPause);
            const auto &other = this->targets[(arrival.target + static_cast<std::size_t>(sends)) % this->targets.size()];
            auto resent = co_await other->ask(question);
            // "not run" of a resend speaks of the resend; the first send may have run.
            reply = resent.kind == ReplyKind::NotRun ? std::move(reply) : std::move(resent);
        }
        session->history.endWrite(number, reply.kind);
        co_return reply;
    }

    auto read(Arrival arrival, std::shared_ptr<Session> session) -> asio::awaitable<Reply>
    {
        const auto floor = session->history.floor();
        auto question = this->question(highestEntry, Access::Read);
        question.params = {this->settings.name, session->id};
        question.session = session->token;
        question.maxAge = this->settings.maxAge;
        auto reply = co_await this->targets[arrival.target]->ask(std::move(question));
        if (reply.kind == ReplyKind::Answered) {
            const auto seen = reply.rows.empty() ? 0 : reply.rows.at(0).at(0).to_number<WriteNumber>();
            session->history.endRead(floor, seen);
        }
        co_return reply;
    }

    auto check(Violations &violations) -> asio::awaitable<void>
    {
        for (const auto &session : this->sessions) {
            auto question = this->question(allEntries, Access::Read);
            question.params = {this->settings.name, session->id};
            question.session = session->token;
            question.maxAge = std::chrono::milliseconds(0);
            const auto reply = co_await this->askUntilAnswered(std::move(question));
            if (reply.kind != ReplyKind::Answered) {
                ++violations.uncheckedSessions;
                continue;
            }
            auto stored = std::map<WriteNumber, std::uint64_t>();
            for (const auto &row : reply.rows) {
                stored[row.at(0).to_number<WriteNumber>()] = row.at(1).to_number<std::uint64_t>();
            }
            session->history.check(stored, violations);
        }
    }

    auto askUntilAnswered(Question question) -> asio::awaitable<Reply>
    {
        auto reply = Reply();
        for (auto tries = std::size_t{0}; tries < mostTries; ++tries) {
            reply = co_await this->targets[tries % this->targets.size()]->ask(question);
            if (reply.kind == ReplyKind::Answered) {
                break;
            }
            co_await this->pause(retryPause);
        }
        co_return reply;
    }

    auto question(const char *sql, Access access) const -> Question
    {
        auto question = Question();
        question.sql = sql;
        question.access = access;
        question.timeout = this->settings.timeout;
        return question;
    }

    auto pause(Duration duration) -> asio::awaitable<void>
    {
        return this->pauseUntil(std::chrono::steady_clock::now() + duration);
    }

    auto pauseUntil(TimePoint moment) -> asio::awaitable<void>
    {
        auto timer = asio::steady_timer(this->executor, moment);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::any_io_executor executor;
    LoadSettings settings;
    std::vector<std::shared_ptr<Target>> targets;
    std::mt19937_64 keyChoice;
    TimePoint begin;
    std::size_t outstanding = 0;
    std::vector<std::shared_ptr<Session>> sessions;
    std::vector<std::shared_ptr<Session>> idle;
    std::vector<Sample> samples;
};

} // namespace

auto runLoad(asio::any_io_executor executor, LoadSettings settings, std::vector<std::shared_ptr<Target>> targets) -> asio::awaitable<std::optional<Report>>
{
    assert(!targets.empty() && "the load goes somewhere");
    return LoadRun::run(std::make_shared<LoadRun>(std::move(executor), std::move(settings), std::move(targets)));
}

} // namespace sapphirespool::load
