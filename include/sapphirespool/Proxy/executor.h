// executor.h: runs callers' statements against the database groups.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/refusal.h"
#include "sapphirespool/Support/types.h"
#include "sapphirespool/Upstreams/statement.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace sapphirespool::proxy
{

/// What a caller asks of a service.
struct StatementRequest
{
    ServiceId service;
    upstreams::Statement statement;
    /// Token that the caller brought, or the session id alone; empty for a new session.
    std::string sessionToken;
    std::optional<IdempotencyKey> key;
    /// Age that the caller accepts; absent: the service's own.
    std::optional<std::chrono::milliseconds> maxAge;
    /// Time that the caller allows; absent: the service's own.
    std::optional<std::chrono::milliseconds> timeout;
    /// Whose work it is, for fairness; empty: the session's.
    std::string caller;
};

/// A whole answer to the caller's own request.
struct Answer
{
    upstreams::StatementResult result;
    UpstreamId servedBy;
    platform::Role servedRole = platform::Role::Primary;
};

/// How a request ends.
using Outcome = std::variant<Answer, NotRun, OutcomeUnknown, StatementError>;

/// How a request ends, and what the caller's session has seen by then.
struct Reply
{
    Outcome outcome;
    /// Token that the caller brings next time, after errors too: reading after an unknown outcome must not miss the write.
    std::string sessionToken;
};

/// What is done to an open transaction.
enum class TransactionStep {
    Statement,
    Commit,
    Rollback,
};

/// Opens a transaction.
struct BeginRequest
{
    ServiceId service;
    std::string sessionToken;
    std::optional<std::chrono::milliseconds> timeout;
    std::string caller;
};

/// The transaction is open.
struct TransactionBegun
{
    TransactionId id;
    UpstreamId servedBy;
};

using BeginOutcome = std::variant<TransactionBegun, NotRun, StatementError>;

struct BeginReply
{
    BeginOutcome outcome;
    std::string sessionToken;
};

/// One step of an open transaction.
struct TransactionRequest
{
    ServiceId service;
    TransactionId id;
    TransactionStep step = TransactionStep::Statement;
    /// Empty for a commit or rollback.
    upstreams::Statement statement;
    std::string sessionToken;
    std::optional<std::chrono::milliseconds> timeout;
};

/// Runs statements and transactions. The callers' package sees only this; it may be called from any executor.
class Executor
{
public:
    Executor() = default;
    Executor(const Executor &) = delete;
    auto operator=(const Executor &) -> Executor & = delete;
    virtual ~Executor() = default;

    virtual auto execute(StatementRequest request) -> boost::asio::awaitable<Reply> = 0;
    virtual auto begin(BeginRequest request) -> boost::asio::awaitable<BeginReply> = 0;
    virtual auto run(TransactionRequest request) -> boost::asio::awaitable<Reply> = 0;
};

} // namespace sapphirespool::proxy
