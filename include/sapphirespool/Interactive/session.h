// session.h: long-lived caller sessions multiplexed over shared upstream connections.
#pragma once

#include "sapphirespool/Interactive/connectionpool.h"
#include "sapphirespool/Interactive/quotagate.h"
#include "sapphirespool/Interactive/reply.h"
#include "sapphirespool/Interactive/statement.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string_view>
#include <variant>

namespace sapphirespool::interactive
{

/// One caller's session: its values, its prepared names and at most one transaction. It holds an upstream connection only while a
/// statement or a transaction runs, so that thousands of sessions share a handful of connections. It runs one statement at a time.
class Session
{
public:
    Session() = default;
    Session(const Session &) = delete;
    auto operator=(const Session &) -> Session & = delete;
    virtual ~Session() = default;

    virtual auto execute(Statement statement) -> boost::asio::awaitable<Reply> = 0;

    /// Ends the session after the caller has disconnected. An open transaction is rolled back.
    virtual auto end() -> void = 0;

    [[nodiscard]] virtual auto status() const -> TransactionStatus = 0;
};

/// The opened session, or why none could be opened.
using OpenResult = std::variant<std::shared_ptr<Session>, FailureReply>;

/// Current numbers of sessions, statements and transactions.
struct SessionCounts
{
    std::size_t sessions = 0;
    /// Statements that are running or waiting.
    std::size_t statements = 0;
    /// Transactions that hold an upstream connection.
    std::size_t transactions = 0;
};

/// Receives the outcomes of statements, for metrics. Called on the dispatch thread.
class SessionRecorder
{
public:
    SessionRecorder() = default;
    SessionRecorder(const SessionRecorder &) = delete;
    auto operator=(const SessionRecorder &) -> SessionRecorder & = delete;
    virtual ~SessionRecorder() = default;

    /// An upstream answered a statement without a failure.
    virtual auto served(const ServiceId &service, Access access, bool byPrimary, Duration latency) -> void = 0;
    virtual auto refused(const ServiceId &service, Failure failure) -> void = 0;
    /// An attempt ended without running the statement. This is also called for the last attempt, which no retry follows.
    virtual auto retried(const ServiceId &service, Failure because) -> void = 0;
};

/// Opens the sessions of one proxy's callers. All calls must be made on the executor of its dependencies.
class SessionService
{
public:
    SessionService() = default;
    SessionService(const SessionService &) = delete;
    auto operator=(const SessionService &) -> SessionService & = delete;
    virtual ~SessionService() = default;

    /// \param database name by which the caller addresses a service
    /// \param key the caller's API key; ignored by a service that needs none
    [[nodiscard]] virtual auto open(std::string_view database, std::string_view key) -> OpenResult = 0;

    /// Waits for a bounded time until this proxy has received its first view. Returns at once if it has one.
    virtual auto awaitFirstView() -> boost::asio::awaitable<void> = 0;

    /// Applies the newest view.
    virtual auto viewChanged() -> void = 0;

    /// Refuses new transactions and single statements from now on; open transactions continue.
    virtual auto refuseNewWork() -> void = 0;

    /// From \p end on nothing is forwarded to an upstream: new work is refused, and an open transaction is rolled back at its next
    /// statement, its commit included. Statements that were forwarded before are still answered.
    virtual auto endForwardingAt(TimePoint end) -> void = 0;

    [[nodiscard]] virtual auto counts() const -> SessionCounts = 0;
};

struct SessionServiceDependencies
{
    ZoneId zone;
    std::shared_ptr<membership::ViewHolder> views;
    /// Receives suspicions of unreachable primaries. If it is null, none are reported.
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<ConnectionPool> pool;
    /// Admits the operations of customers within their quotas; null admits all.
    std::shared_ptr<QuotaGate> quota;
    std::shared_ptr<SessionRecorder> recorder;
    boost::asio::any_io_executor executor;
};

[[nodiscard]] auto makeSessionService(SessionServiceDependencies parts) -> std::shared_ptr<SessionService>;

} // namespace sapphirespool::interactive
