// callersession.h: the session of one caller.
#pragma once

#include "sessioncore.h"
#include "statementrun.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>

namespace sapphirespool::interactive
{

/// An open transaction of a caller.
struct Transaction
{
    membership::ServiceView service;
    /// Customer of the caller when the transaction began; empty for a service that needs no key.
    CustomerId customer;
    bool readOnly = false;
    /// Whether a write was sent in this transaction.
    bool wrote = false;
    /// The upstream connection, held from the first statement to the end.
    std::optional<ConnectionLease> lease;
    Member member;
};

/// Runs the statements of one caller: picks an upstream for each statement and maps the outcome to a reply. A statement that did not run, or
/// that only reads, may be retried before its deadline, where possible at another member. A write that may have run is reported as in doubt,
/// since it could run twice if it were sent again.
class CallerSession : public Session, public std::enable_shared_from_this<CallerSession>
{
public:
    /// \param key digest of the caller's API key
    CallerSession(std::shared_ptr<SessionCore> core, std::string database, membership::KeyDigest key);
    ~CallerSession() override;

    auto execute(Statement statement) -> boost::asio::awaitable<Reply> override;
    auto end() -> void override;
    [[nodiscard]] auto status() const -> TransactionStatus override;

private:
    /// A statement with the data that each attempt to run it needs.
    struct StatementContext
    {
        Statement statement;
        membership::ServiceView service;
        CustomerId customer;
        /// Shape of the prepared statement; empty for other statements.
        std::optional<PreparedShape> shape;
        Access access = Access::Read;
        /// Deadline given by the timeout of the service.
        std::chrono::steady_clock::time_point deadline;

        [[nodiscard]] auto remaining() const -> Duration;
        [[nodiscard]] auto shapePointer() const -> const PreparedShape *;
    };

    /// The member at which a statement is to run.
    struct Target
    {
        Member member;
        /// Log position that a replica must have applied.
        std::optional<DataPosition> after;
    };

    /// The statement did not run at the member; it may be retried at another one.
    struct RetryElsewhere
    {
        FailureReply why;
        /// Whether the member reported that it is not the primary.
        bool notPrimary = false;
    };

    using TargetResult = std::variant<Target, FailureReply>;
    /// Outcome of commands that were sent, or why they were not.
    using ForwardResult = std::variant<ExchangeResult, FailureReply>;
    using RunResult = std::variant<Reply, RetryElsewhere>;

    [[nodiscard]] static auto retryElsewhere(FailureReply why, bool notPrimary = false) -> RetryElsewhere;
    [[nodiscard]] static auto makeTarget(Member member, std::optional<DataPosition> after) -> Target;

    auto dispatch(Statement statement) -> boost::asio::awaitable<Reply>;
    auto setValue(const Statement &statement) -> Reply;
    auto prepare(const Statement &statement) -> Reply;
    auto deallocate(const Statement &statement) -> Reply;
    auto begin(const Statement &statement) -> Reply;
    auto rollback() -> boost::asio::awaitable<Reply>;
    auto commit(Statement statement) -> boost::asio::awaitable<Reply>;
    auto run(Statement statement) -> boost::asio::awaitable<Reply>;

    /// Runs \p commands of the caller at \p member. All of them are sent here, so that nothing is sent for a caller that has lost its
    /// access, or when the proxy is about to stop and may not be able to deliver the answer.
    auto forward(const Member &member, UpstreamConnection &connection, std::span<const Command> commands, const StatementContext &context)
        -> boost::asio::awaitable<ForwardResult>;
    auto runSingle(const StatementContext &context) -> boost::asio::awaitable<Reply>;
    auto runAt(const Target &target, const StatementContext &context) -> boost::asio::awaitable<RunResult>;
    auto runWrite(ConnectionLease lease, const Target &target, const StatementContext &context) -> boost::asio::awaitable<RunResult>;
    auto runReplicaRead(ConnectionLease lease, const Target &target, const StatementContext &context) -> boost::asio::awaitable<RunResult>;
    auto runPrimaryRead(ConnectionLease lease, const Target &target, const StatementContext &context) -> boost::asio::awaitable<RunResult>;

    /// Begins the transaction at an upstream, after a wait for quota and a connection.
    /// \return why it was not begun, or why it may not go on although it was
    auto openTransaction(const StatementContext &context) -> boost::asio::awaitable<std::optional<FailureReply>>;
    auto openAt(const Target &target, const StatementContext &context) -> boost::asio::awaitable<std::optional<RetryElsewhere>>;
    auto runInTransaction(const StatementContext &context) -> boost::asio::awaitable<Reply>;
    auto exchangeInTransaction(const StatementContext &context, const Command &command) -> boost::asio::awaitable<ForwardResult>;
    auto runCommit(const StatementContext &context) -> boost::asio::awaitable<Reply>;
    auto failTransaction(FailureReply why) -> Reply;
    /// Rolls back the open transaction and answers its commit.
    auto failCommit(FailureReply why) -> Reply;
    auto discardTransaction() -> void;
    auto watchIdle() -> void;

    /// \param stalePrimary member that was picked as the primary and reported that it is not
    auto pick(bool needsPrimary, const StatementContext &context, const std::set<UpstreamId> &excluded, const std::optional<Member> &stalePrimary)
        -> boost::asio::awaitable<TargetResult>;
    /// \param tried members at which the statement did not run; a primary among them is retried only after a delay
    auto pickPrimary(const StatementContext &context, const std::set<UpstreamId> &tried, const std::optional<Member> &stalePrimary)
        -> boost::asio::awaitable<TargetResult>;
    auto pickReader(const StatementContext &context, const std::set<UpstreamId> &excluded, const std::optional<Member> &stalePrimary)
        -> boost::asio::awaitable<TargetResult>;
    /// \return the log position that a replica must have applied to serve a read; nothing if only the primary may serve it, because the
    /// service requires current data or no position proof is recent enough
    [[nodiscard]] auto neededPosition(const membership::ServiceView &service) const -> std::optional<DataPosition>;
    auto acquire(const Target &target, const StatementContext &context) -> boost::asio::awaitable<LeaseResult>;

    auto makeContext(Statement statement, membership::ServiceView service, CustomerId customer) const -> StatementContext;
    /// Takes an operation out of the customer's quota.
    /// \return why it may not run; nothing if it may
    auto admit(const StatementContext &context) -> boost::asio::awaitable<std::optional<FailureReply>>;
    auto recordWrite(const GroupId &group, const std::optional<DataPosition> &position) -> void;
    auto recordProof(const Member &member, TimePoint sent, const std::optional<DataPosition> &position) -> void;
    /// Logs and counts an attempt at which the statement did not run, whether or not another attempt follows.
    auto recordRetry(const FailureReply &why) -> void;
    /// Records that \p member lags behind the position that a read requires, as reported in \p why.
    auto recordLagging(const Member &member, const FailureReply &why) -> void;
    auto recordServed(const ServiceId &service, Access access, const Member &member, Duration latency) -> void;
    /// \return the customer that holds the caller's key now; empty if none does
    [[nodiscard]] auto customer() const -> CustomerId;
    /// \return why the caller may not go on with \p service as \p customer, for which work has begun; nothing while the customer holds its key
    [[nodiscard]] auto accessLost(const membership::ServiceView &service, const CustomerId &customer) const -> std::optional<FailureReply>;
    /// \return why nothing may be sent for \p context: the caller has lost its access, or the proxy is about to stop
    [[nodiscard]] auto refusalBeforeSend(const StatementContext &context) const -> std::optional<FailureReply>;
    /// \return the refusal of work that a stopping proxy no longer forwards
    [[nodiscard]] auto stoppingFailure() const -> FailureReply;
    /// \return why a statement of \p kind is refused by the key alone; nothing if it may go on
    [[nodiscard]] auto refusalByKey(StatementKind kind) const -> std::optional<FailureReply>;
    auto fail(FailureReply why) -> Reply;

    std::shared_ptr<SessionCore> core;
    std::string database;
    membership::KeyDigest key;
    SessionState state;
    TransactionStatus transactionStatus = TransactionStatus::None;
    std::unique_ptr<Transaction> transaction;
    /// Expires when a caller stays idle in a transaction for too long.
    std::unique_ptr<boost::asio::steady_timer> idleTimer;
    bool executing = false;
    /// The running statement, for the log: the caller's identifier, its start time and the upstream of its last attempt.
    std::string currentId;
    std::chrono::steady_clock::time_point currentSince;
    std::string currentUpstream;
    bool ended = false;
    /// End of the log of group lastWriteGroup after the session's last write.
    std::optional<DataPosition> lastWrite;
    GroupId lastWriteGroup;
};

} // namespace sapphirespool::interactive
