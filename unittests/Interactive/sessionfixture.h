// sessionfixture.h: sessions of one proxy in front of a fake database group.
#pragma once

#include "Interactive/fakedatabases.h"

#include "sapphirespool/Interactive/session.h"
#include "sapphirespool/Support/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sapphirespool::interactive
{

/// Refuses the operations of chosen customers.
class FakeQuotaGate : public QuotaGate
{
public:
    auto take(CustomerId customer, Duration, Duration) -> boost::asio::awaitable<std::optional<FailureReply>> override
    {
        ++this->taken[customer];
        auto refusal = std::optional<FailureReply>();
        if (this->exhausted.contains(customer)) {
            refusal = FailureReply{Failure::OverQuota, "used up", std::chrono::milliseconds(70)};
        }
        co_return refusal;
    }

    std::set<CustomerId> exhausted;
    std::map<CustomerId, std::size_t> taken;
};

class CountingRecorder : public SessionRecorder
{
public:
    auto served(const ServiceId &, Access, bool byPrimary, Duration) -> void override
    {
        ++(byPrimary ? this->byPrimary : this->byReplica);
    }

    auto refused(const ServiceId &, Failure) -> void override
    {
    }

    auto retried(const ServiceId &, Failure) -> void override
    {
        ++this->retries;
    }

    std::size_t byPrimary = 0;
    std::size_t byReplica = 0;
    std::size_t retries = 0;
};

/// One proxy, its sessions and the fake databases behind it.
struct Proxy
{
    explicit Proxy(membership::Consistency consistency, std::chrono::milliseconds readAge = std::chrono::milliseconds(0))
    {
        this->databases.service.consistency = consistency;
        this->databases.service.readAge = readAge;
        this->publish();
        auto parts = SessionServiceDependencies();
        parts.zone = ZoneId("zone-b");
        parts.views = this->views;
        parts.pool = makeConnectionPool(this->databases.connector(), this->io.get_executor());
        parts.quota = this->quota;
        parts.recorder = this->recorder;
        parts.executor = this->io.get_executor();
        this->pool = parts.pool;
        for (const auto &member : this->databases.members) {
            this->pool->setLimits(UpstreamId(member.id), {10, 10});
        }
        this->service = makeSessionService(std::move(parts));
    }

    /// Publishes the view that the fields of `databases` describe to the proxy.
    auto publish() -> void
    {
        this->views->publish(this->databases.view());
        this->views->extendLease(support::now() + std::chrono::hours(1));
        this->views->noteContact(support::now());
        if (this->service != nullptr) {
            this->service->viewChanged();
        }
    }

    auto open(std::string_view key = {}) -> std::shared_ptr<Session>
    {
        return std::get<std::shared_ptr<Session>>(this->service->open("orders", key));
    }

    /// Starts \p statement.
    /// \return its reply, which is set once the event loop has run the statement
    auto start(const std::shared_ptr<Session> &session, Statement statement) -> std::shared_ptr<std::optional<Reply>>
    {
        auto reply = std::make_shared<std::optional<Reply>>();
        boost::asio::co_spawn(this->io, execute(session, std::move(statement), reply), boost::asio::detached);
        return reply;
    }

    auto run(const std::shared_ptr<Session> &session, Statement statement) -> Reply
    {
        const auto reply = this->start(session, std::move(statement));
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!reply->has_value() && std::chrono::steady_clock::now() < end) {
            this->io.restart();
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
        return reply->value();
    }

    /// Runs the event loop for \p time.
    auto runFor(std::chrono::milliseconds time) -> void
    {
        this->io.restart();
        this->io.run_for(time);
    }

    FakeDatabases databases;
    boost::asio::io_context io;
    std::shared_ptr<membership::ViewHolder> views = std::make_shared<membership::ViewHolder>();
    std::shared_ptr<CountingRecorder> recorder = std::make_shared<CountingRecorder>();
    std::shared_ptr<FakeQuotaGate> quota = std::make_shared<FakeQuotaGate>();
    std::shared_ptr<ConnectionPool> pool;
    std::shared_ptr<SessionService> service;

private:
    static auto execute(std::shared_ptr<Session> session, Statement statement, std::shared_ptr<std::optional<Reply>> reply) -> boost::asio::awaitable<void>
    {
        *reply = co_await session->execute(std::move(statement));
    }
};

inline auto statementOf(StatementKind kind, std::string text = {}) -> Statement
{
    auto statement = Statement();
    statement.id = "s1";
    statement.kind = kind;
    statement.text = std::move(text);
    return statement;
}

inline auto store(const std::string &item, const std::string &data) -> Statement
{
    return statementOf(StatementKind::Write, "STORE " + item + " " + data);
}

inline auto fetch(const std::string &item) -> Statement
{
    return statementOf(StatementKind::Read, "FETCH " + item);
}

inline auto setValue(const std::string &name, const std::string &value) -> Statement
{
    auto statement = statementOf(StatementKind::SetValue, value);
    statement.name = name;
    return statement;
}

inline auto prepareShape(const std::string &name, bool writes, const std::string &shape) -> Statement
{
    auto statement = statementOf(StatementKind::Prepare);
    statement.name = name;
    statement.shape = {writes, shape};
    return statement;
}

inline auto executePrepared(const std::string &name, const std::string &arguments) -> Statement
{
    auto statement = statementOf(StatementKind::Execute, arguments);
    statement.name = name;
    return statement;
}

} // namespace sapphirespool::interactive
