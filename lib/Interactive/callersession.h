// callersession.h: the session of one caller.
#pragma once

#include "sessioncore.h"
#include "statementrun.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace sapphirespool::interactive
{

/// A caller's transaction.
struct Transaction
{
    membership::ServiceView service;
    bool readOnly = false;
    /// Whether a write was sent in it.
    bool wrote = false;
    /// The upstream's connection, from the first statement on.
    std::optional<LinkLease> lease;
    Member member;
};

/// Decides where each statement of one caller runs, and what its outcome lets the caller be told.
class CallerSession : public Session, public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(std::shared_ptr<SessionCore> core, std::string database);
    ~CallerSession() override;

    auto execute(Statement statement) -> boost::asio::awaitable<Reply> override;
    auto end() -> void override;
    [[nodiscard]] auto status() const -> TransactionStatus override;

private:
    /// A statement with what its runs need to know.
    struct Work
    {
        Statement statement;
        membership::ServiceView service;
        /// Shape of a prepared statement.
        std::optional<PreparedShape> shape;
        Access access = Access::Read;
        /// When the route's time for the statement ends.
        std::chrono::steady_clock::time_point deadline;

        [[nodiscard]] auto left() const -> Duration;
        [[nodiscard]] auto shapePointer() const -> const PreparedShape *;
    };

    /// Where a statement is to run.
    struct Target
    {
        Member member;
        /// Position that a replica must hold.
        std::optional<DataPosition> after;
    };

    /// The statement has not run there; it may be tried elsewhere.
    struct TryElsewhere
    {
        FailureReply why;
        /// Whether the member said that it is not the primary.
        bool refuted = false;
    };

    using TargetResult = std::variant<Target, FailureReply>;
    using RunResult = std::variant<Reply, TryElsewhere>;

    [[nodiscard]] static auto elsewhere(FailureReply why, bool refuted = false) -> TryElsewhere;
    [[nodiscard]] static auto targetAt(Member member, std::optional<DataPosition> after) -> Target;

    auto dispatch(Statement statement) -> boost::asio::awaitable<Reply>;
    auto setValue(const Statement &statement) -> Reply;
    auto prepare(const Statement &statement) -> Reply;
    auto deallocate(const Statement &statement) -> Reply;
    auto begin(const Statement &statement) -> Reply;
    auto rollback() -> boost::asio::awaitable<Reply>;
    auto commit(Statement statement) -> boost::asio::awaitable<Reply>;
    auto run(Statement statement) -> boost::asio::awaitable<Reply>;

    auto runSingle(const Work &work) -> boost::asio::awaitable<Reply>;
    auto runAt(const Target &target, const Work &work) -> boost::asio::awaitable<RunResult>;
    auto runWrite(LinkLease lease, const Target &target, const Work &work) -> boost::asio::awaitable<RunResult>;
    auto runReplicaRead(LinkLease lease, const Target &target, const Work &work) -> boost::asio::awaitable<RunResult>;
    auto runPrimaryRead(LinkLease lease, const Target &target, const Work &work) -> boost::asio::awaitable<RunResult>;

    auto openTransaction(const Work &work) -> boost::asio::awaitable<std::optional<FailureReply>>;
    auto openAt(const Target &target, const Work &work) -> boost::asio::awaitable<std::optional<TryElsewhere>>;
    auto runInTransaction(const Work &work) -> boost::asio::awaitable<Reply>;
    auto exchangeInTransaction(const Work &work, const Command &command) -> boost::asio::awaitable<ExchangeResult>;
    auto runCommit(const Work &work) -> boost::asio::awaitable<Reply>;
    auto failTransaction(FailureReply why) -> Reply;
    auto abandon() -> void;
    auto watchIdle() -> void;

    /// \param refuted member that turned out not to be the primary
    auto pick(bool needsPrimary, const Work &work, const std::set<UpstreamId> &excluded, const std::optional<Member> &refuted)
        -> boost::asio::awaitable<TargetResult>;
    /// \param tried members at which the statement did not run; the primary is not tried again at once
    auto pickPrimary(const Work &work, const std::set<UpstreamId> &tried, const std::optional<Member> &refuted) -> boost::asio::awaitable<TargetResult>;
    auto pickReader(const Work &work, const std::set<UpstreamId> &excluded, const std::optional<Member> &refuted) -> boost::asio::awaitable<TargetResult>;
    [[nodiscard]] auto neededPosition(const membership::ServiceView &service) const -> std::optional<DataPosition>;
    auto acquire(const Target &target, const Work &work) -> boost::asio::awaitable<LeaseResult>;

    auto workOf(Statement statement, membership::ServiceView service) const -> Work;
    auto noteWrite(const GroupId &group, const std::optional<DataPosition> &position) -> void;
    auto noteProof(const Member &member, TimePoint sent, const std::optional<DataPosition> &position) -> void;
    /// Notes that the statement has not run where it was tried last.
    auto noteMoved(const FailureReply &why) -> void;
    /// Notes that \p member lacked what a read had to see, by the word of \p why.
    auto noteLagging(const Member &member, const FailureReply &why) -> void;
    auto noteServed(const ServiceId &service, Access access, const Member &member, Duration latency) -> void;
    auto failed(FailureReply why) -> Reply;

    std::shared_ptr<SessionCore> core;
    std::string database;
    SessionState state;
    TransactionStatus transactionStatus = TransactionStatus::None;
    std::unique_ptr<Transaction> transaction;
    /// Fires when the caller has said nothing in a transaction for too long.
    std::unique_ptr<boost::asio::steady_timer> idleTimer;
    bool executing = false;
    /// The statement under way, for the log: the caller's name for it, when it came, and where it was tried last.
    std::string currentId;
    std::chrono::steady_clock::time_point currentSince;
    std::string currentUpstream;
    bool ended = false;
    /// End of the group's log after the session's last write.
    std::optional<DataPosition> lastWrite;
    GroupId lastWriteGroup;
};

} // namespace sapphirespool::interactive
