// session.h: long-lived sessions of callers over links that they share.
#pragma once

#include "sapphirespool/Interactive/linkpool.h"
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

/// One caller's session: values, prepared names, at most one transaction. It holds a link only while a statement or a transaction
/// runs, so that thousands of sessions share a handful of links. One statement at a time.
class Session
{
public:
    Session() = default;
    Session(const Session &) = delete;
    auto operator=(const Session &) -> Session & = delete;
    virtual ~Session() = default;

    virtual auto execute(Statement statement) -> boost::asio::awaitable<Reply> = 0;

    /// The caller is gone: an open transaction is rolled back.
    virtual auto end() -> void = 0;

    [[nodiscard]] virtual auto status() const -> TransactionStatus = 0;
};

/// A session, or why there is none.
using OpenResult = std::variant<std::shared_ptr<Session>, FailureReply>;

/// What the sessions are doing.
struct SessionCounts
{
    std::size_t sessions = 0;
    /// Statements that run or wait.
    std::size_t statements = 0;
    /// Transactions that hold a link.
    std::size_t transactions = 0;
};

/// Takes note of what happens to statements. Calls come on the dispatch thread.
class SessionRecorder
{
public:
    SessionRecorder() = default;
    SessionRecorder(const SessionRecorder &) = delete;
    auto operator=(const SessionRecorder &) -> SessionRecorder & = delete;
    virtual ~SessionRecorder() = default;

    /// A statement got its answer from an upstream.
    virtual auto served(const ServiceId &service, Access access, bool byPrimary, Duration latency) -> void = 0;
    virtual auto refused(const ServiceId &service, Failure failure) -> void = 0;
    /// A statement that had not run was tried again.
    virtual auto retried(const ServiceId &service, Failure because) -> void = 0;
};

/// Sessions of one proxy. All calls come on its executor.
class SessionService
{
public:
    SessionService() = default;
    SessionService(const SessionService &) = delete;
    auto operator=(const SessionService &) -> SessionService & = delete;
    virtual ~SessionService() = default;

    /// \param database name under which the caller knows a service
    [[nodiscard]] virtual auto open(std::string_view database) -> OpenResult = 0;

    /// Waits until a proxy that has just started has its first view, for a moment at most.
    virtual auto awaitFirstView() -> boost::asio::awaitable<void> = 0;

    /// Follows the newest view.
    virtual auto viewChanged() -> void = 0;

    /// From now on no transaction begins; running ones go on.
    virtual auto refuseNewWork() -> void = 0;

    /// From now on open transactions are rolled back at their next statement.
    virtual auto abortTransactions() -> void = 0;

    [[nodiscard]] virtual auto counts() const -> SessionCounts = 0;
};

/// What sessions work with.
struct SessionServiceParts
{
    ZoneId zone;
    std::shared_ptr<membership::ViewHolder> views;
    /// Told of primaries that do not serve; may be null.
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<LinkPool> pool;
    std::shared_ptr<SessionRecorder> recorder;
    boost::asio::any_io_executor executor;
};

[[nodiscard]] auto makeSessionService(SessionServiceParts parts) -> std::shared_ptr<SessionService>;

} // namespace sapphirespool::interactive
