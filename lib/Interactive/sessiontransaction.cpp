// Transactions of a caller's session: each holds one connection from its first statement to its end.
#include "callersession.h"
#include "sessionhelpers.h"

#include "sapphirespool/Support/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Delay before a statement of an open transaction is resent to an upstream whose queue was full.
constexpr auto fullQueueRetryDelay = std::chrono::milliseconds(20);

/// Idle-in-transaction timeout of a service whose configuration sets none.
constexpr auto defaultIdleTimeout = std::chrono::milliseconds(10'000);

} // namespace

auto CallerSession::openTransaction(const StatementContext &context) -> asio::awaitable<std::optional<FailureReply>>
{
    if (auto refused = co_await this->admit(context)) {
        co_return refused;
    }
    auto excluded = std::set<UpstreamId>();
    auto stalePrimary = std::optional<Member>();
    auto why = makeFailure(Failure::Busy, "no upstream could take the transaction in time", promotionRetryAfter);
    for (auto attempt = 0; attempt < maxAttempts && context.remaining() > Duration(0); ++attempt) {
        if (auto refused = this->refusalBeforeSend(context)) {
            co_return refused;
        }
        auto picked = co_await this->pick(!this->transaction->readOnly, context, excluded, stalePrimary);
        if (auto *const none = std::get_if<FailureReply>(&picked)) {
            co_return std::move(*none);
        }
        const auto &target = std::get<Target>(picked);
        auto notOpened = co_await this->openAt(target, context);
        if (!notOpened) {
            ++this->core->counts.transactions;
            co_return this->refusalBeforeSend(context);
        }
        if (auto refused = this->refusalBeforeSend(context)) {
            co_return refused;
        }
        why = std::move(notOpened->why);
        this->recordRetry(why);
        excluded.insert(target.member.upstream.id);
        if (notOpened->notPrimary) {
            stalePrimary = target.member;
        } else if (target.member.isPrimary && why.failure == Failure::Busy && !this->transaction->readOnly) {
            break;
        }
    }
    co_return why;
}

auto CallerSession::openAt(const Target &target, const StatementContext &context) -> asio::awaitable<std::optional<RetryElsewhere>>
{
    this->currentUpstream = target.member.upstream.id.value();
    auto leased = co_await this->acquire(target, context);
    if (auto *const none = std::get_if<FailureReply>(&leased)) {
        co_return retryElsewhere(std::move(*none));
    }
    auto lease = std::get<ConnectionLease>(std::move(leased));
    if (auto why = this->refusalBeforeSend(context)) {
        lease.release();
        co_return retryElsewhere(*std::move(why));
    }
    // At a primary even a read-only transaction begins as a read-write one, which a stale primary refuses.
    auto begin = makeCommand(target.member.isPrimary ? CommandKind::Begin : CommandKind::BeginReadOnly);
    begin.after = target.after;
    if (auto why = co_await prepareConnection(lease.connection(), this->state, context.shapePointer(), &begin, context.remaining())) {
        const auto notPrimary = why->failure == Failure::ReadOnly;
        if (notPrimary || why->failure == Failure::Lagging) {
            this->recordLagging(target.member, *why);
            lease.release();
        } else {
            this->core->probe(target.member);
            this->core->load.failed(target.member.upstream.id, support::now());
        }
        co_return retryElsewhere(*std::move(why), notPrimary && target.member.isPrimary);
    }
    this->transaction->member = target.member;
    this->transaction->lease.emplace(std::move(lease));
    co_return std::nullopt;
}

auto CallerSession::runInTransaction(const StatementContext &context) -> asio::awaitable<Reply>
{
    if (auto why = this->refusalBeforeSend(context)) {
        co_return this->failTransaction(*std::move(why));
    }
    if (context.access == Access::Write && this->transaction->readOnly) {
        co_return this->failTransaction(makeFailure(Failure::ReadOnly, "the transaction was begun for reading only"));
    }
    if (!this->transaction->lease) {
        if (auto why = co_await this->openTransaction(context)) {
            co_return this->failTransaction(*std::move(why));
        }
    } else if (auto why
               = co_await prepareConnection(this->transaction->lease->connection(), this->state, context.shapePointer(), nullptr, context.remaining())) {
        this->core->probe(this->transaction->member);
        co_return this->failTransaction(makeFailure(Failure::Aborted, "the connection broke; the transaction was rolled back"));
    }
    const auto command = commandOf(context.statement, this->transaction->lease->connection().state, context.shapePointer());
    this->transaction->wrote = this->transaction->wrote || context.access == Access::Write;
    auto forwarded = co_await this->exchangeInTransaction(context, command);
    if (auto *const why = std::get_if<FailureReply>(&forwarded)) {
        co_return this->failTransaction(std::move(*why));
    }
    const auto &exchange = std::get<ExchangeResult>(forwarded);
    if (exchange.results.empty()) {
        this->core->probe(this->transaction->member);
        // Nothing was committed: the upstream rolls the transaction back when the connection closes.
        co_return this->failTransaction(makeFailure(Failure::Aborted, "no answer from the upstream; the transaction was rolled back"));
    }
    const auto &result = exchange.results.front();
    if (result.failure) {
        auto why = *result.failure;
        if (result.status != TransactionStatus::Failed && mayRetryElsewhere(why.failure)) {
            why = makeFailure(Failure::Aborted, "the upstream took no statement in time; the transaction was rolled back", why.retryAfter);
        }
        auto reply = this->failTransaction(std::move(why));
        reply.position = result.position;
        co_return reply;
    }
    if (result.status != TransactionStatus::Open) {
        co_return this->failTransaction(makeFailure(Failure::Aborted, "the upstream ended the transaction"));
    }
    if (this->transaction->member.isPrimary) {
        this->recordProof(this->transaction->member, exchange.sentAt, result.position);
    }
    this->recordServed(context.service.id, context.access, this->transaction->member, support::now() - exchange.sentAt);
    co_return toReply(result, TransactionStatus::Open);
}

auto CallerSession::exchangeInTransaction(const StatementContext &context, const Command &command) -> asio::awaitable<ForwardResult>
{
    this->currentUpstream = this->transaction->member.upstream.id.value();
    const auto commands = std::vector<Command>{command};
    auto timer = asio::steady_timer(this->core->parts.executor);
    while (true) {
        auto forwarded = co_await this->forward(this->transaction->member, this->transaction->lease->connection(), commands, context);
        const auto *const exchange = std::get_if<ExchangeResult>(&forwarded);
        // An upstream whose queue is full has not run the statement, and the transaction is still open. Aborting it would lose its
        // earlier statements to avoid a wait of some milliseconds.
        const auto *const result = exchange == nullptr || exchange->results.empty() ? nullptr : &exchange->results.front();
        const auto full = result != nullptr && result->failure && result->failure->failure == Failure::Busy && result->status == TransactionStatus::Open;
        if (!full || context.remaining() <= fullQueueRetryDelay) {
            co_return forwarded;
        }
        timer.expires_after(fullQueueRetryDelay);
        co_await timer.async_wait(awaitTuple);
    }
}

auto CallerSession::runCommit(const StatementContext &context) -> asio::awaitable<Reply>
{
    auto command = makeCommand(CommandKind::Commit, context.statement.id);
    command.mayCommit = this->transaction->wrote;
    auto forwarded = co_await this->exchangeInTransaction(context, command);
    if (auto *const why = std::get_if<FailureReply>(&forwarded)) {
        co_return this->failCommit(std::move(*why));
    }
    const auto &exchange = std::get<ExchangeResult>(forwarded);
    const auto ended = std::move(this->transaction);
    this->transactionStatus = TransactionStatus::None;
    --this->core->counts.transactions;
    if (exchange.results.empty()) {
        this->core->probe(ended->member);
        if (!exchange.sent || !ended->wrote) {
            co_return this->fail(makeFailure(Failure::Aborted, "the connection broke; nothing was written"));
        }
        co_return this->fail(makeFailure(Failure::InDoubt, "the answer to the commit did not come"));
    }
    const auto &result = exchange.results.front();
    if (result.status == TransactionStatus::None) {
        ended->lease->release();
    }
    if (!result.failure) {
        if (ended->wrote) {
            this->recordWrite(ended->member.group, result.position);
        }
        if (ended->member.isPrimary && ended->wrote) {
            this->recordProof(ended->member, exchange.sentAt, result.position);
        }
        this->recordServed(context.service.id, ended->wrote ? Access::Write : Access::Read, ended->member, support::now() - exchange.sentAt);
    }
    // If the upstream did not end the transaction, dropping the lease closes the connection, which rolls the transaction back.
    co_return toReply(result, TransactionStatus::None);
}

auto CallerSession::failTransaction(FailureReply why) -> Reply
{
    this->discardTransaction();
    this->transactionStatus = TransactionStatus::Failed;
    return this->fail(std::move(why));
}

auto CallerSession::failCommit(FailureReply why) -> Reply
{
    this->discardTransaction();
    this->transactionStatus = TransactionStatus::None;
    return this->fail(std::move(why));
}

auto CallerSession::discardTransaction() -> void
{
    if (this->transaction != nullptr && this->transaction->lease) {
        auto lease = std::make_shared<ConnectionLease>(*std::move(this->transaction->lease));
        this->transaction->lease.reset();
        --this->core->counts.transactions;
        asio::co_spawn(this->core->parts.executor, rollBackAndRelease(std::move(lease)), asio::detached);
    }
    this->transaction.reset();
}

auto CallerSession::watchIdle() -> void
{
    if (this->transaction == nullptr || !this->transaction->lease) {
        this->idleTimer.reset();
        return;
    }
    if (this->idleTimer == nullptr) {
        this->idleTimer = std::make_unique<asio::steady_timer>(this->core->parts.executor);
    }
    const auto &service = this->transaction->service;
    this->idleTimer->expires_after(service.transactionIdle.count() > 0 ? service.transactionIdle : defaultIdleTimeout);
    this->idleTimer->async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || self == nullptr || self->executing || self->transaction == nullptr) {
            return;
        }
        // A caller that is idle in a transaction blocks a connection that others wait for, and holds the locks of its writes.
        self->failTransaction(makeFailure(Failure::Aborted, "the transaction was idle for too long"));
    });
}

} // namespace sapphirespool::interactive
