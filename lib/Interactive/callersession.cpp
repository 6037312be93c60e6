#include "callersession.h"

#include "sessionhelpers.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

/// Limits on the values and prepared names of one session; both are stored for the session's lifetime.
constexpr auto valueLimit = std::size_t{64};
constexpr auto nameLimit = std::size_t{256};

/// An operation waits for room in its customer's quota for at most its objective divided by this; the rest is left to run it.
constexpr auto quotaWaitDivisor = 2;

} // namespace

auto CallerSession::StatementContext::remaining() const -> Duration
{
    return std::max<Duration>(Duration(0), this->deadline - SteadyClock::now());
}

auto CallerSession::StatementContext::shapePointer() const -> const PreparedShape *
{
    return this->shape ? &*this->shape : nullptr;
}

auto CallerSession::retryElsewhere(FailureReply why, bool notPrimary) -> RetryElsewhere
{
    return {std::move(why), notPrimary};
}

auto CallerSession::makeTarget(Member member, std::optional<DataPosition> after) -> Target
{
    return {std::move(member), after};
}

CallerSession::CallerSession(std::shared_ptr<SessionCore> core, std::string database, membership::KeyDigest key)
    : core(std::move(core))
    , database(std::move(database))
    , key(std::move(key))
{
    ++this->core->counts.sessions;
}

CallerSession::~CallerSession()
{
    --this->core->counts.sessions;
}

auto CallerSession::status() const -> TransactionStatus
{
    return this->transactionStatus;
}

auto CallerSession::execute(Statement statement) -> asio::awaitable<Reply>
{
    const auto self = this->shared_from_this();
    this->executing = true;
    this->currentId = statement.id;
    this->currentSince = SteadyClock::now();
    this->currentUpstream.clear();
    ++this->core->counts.statements;
    auto reply = co_await this->dispatch(std::move(statement));
    --this->core->counts.statements;
    this->executing = false;
    if (this->ended) {
        this->discardTransaction();
    } else {
        this->watchIdle();
    }
    co_return reply;
}

auto CallerSession::end() -> void
{
    this->ended = true;
    if (this->idleTimer != nullptr) {
        this->idleTimer->cancel();
    }
    if (!this->executing) {
        this->discardTransaction();
    }
}

auto CallerSession::dispatch(Statement statement) -> asio::awaitable<Reply>
{
    if (this->transactionStatus == TransactionStatus::Failed && statement.kind != StatementKind::Rollback && statement.kind != StatementKind::Commit) {
        co_return this->fail(makeFailure(Failure::Malformed, "the transaction failed; end it first"));
    }
    if (auto why = this->refusalByKey(statement.kind)) {
        const auto isOpen = this->transactionStatus == TransactionStatus::Open;
        if (isOpen && statement.kind == StatementKind::Commit) {
            co_return this->failCommit(*std::move(why));
        }
        co_return isOpen ? this->failTransaction(*std::move(why)) : this->fail(*std::move(why));
    }
    switch (statement.kind) {
    case StatementKind::SetValue:
        co_return this->setValue(statement);
    case StatementKind::Prepare:
        co_return this->prepare(statement);
    case StatementKind::Deallocate:
        co_return this->deallocate(statement);
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        co_return this->begin(statement);
    case StatementKind::Rollback:
        co_return co_await this->rollback();
    case StatementKind::Commit:
        co_return co_await this->commit(std::move(statement));
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        co_return co_await this->run(std::move(statement));
    }
    co_return this->fail(makeFailure(Failure::Malformed, "unknown kind of statement"));
}

auto CallerSession::setValue(const Statement &statement) -> Reply
{
    if (this->state.values.size() >= valueLimit && !this->state.values.contains(statement.name)) {
        return this->fail(makeFailure(Failure::Malformed, "a session keeps at most 64 values"));
    }
    this->state.values.insert_or_assign(statement.name, statement.text);
    return makeReply(this->transactionStatus);
}

auto CallerSession::prepare(const Statement &statement) -> Reply
{
    if (this->state.prepared.size() >= nameLimit && !this->state.prepared.contains(statement.name)) {
        return this->fail(makeFailure(Failure::Malformed, "a session keeps at most 256 prepared names"));
    }
    this->state.prepared.insert_or_assign(statement.name, statement.shape);
    return makeReply(this->transactionStatus);
}

auto CallerSession::deallocate(const Statement &statement) -> Reply
{
    this->state.prepared.erase(statement.name);
    return makeReply(this->transactionStatus);
}

auto CallerSession::begin(const Statement &statement) -> Reply
{
    if (this->transactionStatus != TransactionStatus::None) {
        return this->fail(makeFailure(Failure::Malformed, "a transaction is open"));
    }
    if (this->core->refusesNewWork || this->core->hasForwardingEnded()) {
        return this->fail(this->stoppingFailure());
    }
    auto granted = this->core->authorize(this->database, this->key);
    if (auto *const why = std::get_if<FailureReply>(&granted)) {
        return this->fail(std::move(*why));
    }
    auto &access = std::get<AccessGrant>(granted);
    // The transaction begins at the upstream with its first statement, so that a caller that pauses before it holds no connection.
    this->transaction = std::make_unique<Transaction>();
    this->transaction->service = *access.service;
    this->transaction->customer = std::move(access.customer);
    this->transaction->readOnly = statement.kind == StatementKind::BeginReadOnly;
    this->transactionStatus = TransactionStatus::Open;
    return makeReply(this->transactionStatus);
}

auto CallerSession::rollback() -> asio::awaitable<Reply>
{
    if (this->transaction != nullptr && this->transaction->lease) {
        const auto lease = std::make_shared<ConnectionLease>(*std::move(this->transaction->lease));
        this->transaction->lease.reset();
        --this->core->counts.transactions;
        co_await rollBackAndRelease(lease);
    }
    this->transaction.reset();
    this->transactionStatus = TransactionStatus::None;
    co_return makeReply(TransactionStatus::None);
}

auto CallerSession::commit(Statement statement) -> asio::awaitable<Reply>
{
    if (this->transactionStatus == TransactionStatus::None) {
        co_return this->fail(makeFailure(Failure::Malformed, "no transaction is open"));
    }
    if (this->transactionStatus == TransactionStatus::Failed) {
        co_await this->rollback();
        co_return this->fail(makeFailure(Failure::Aborted, "the transaction had failed and was rolled back"));
    }
    auto context = this->makeContext(std::move(statement), this->transaction->service, this->transaction->customer);
    if (!this->transaction->lease) {
        if (auto why = co_await this->openTransaction(context)) {
            co_return this->failCommit(*std::move(why));
        }
    }
    co_return co_await this->runCommit(context);
}

auto CallerSession::run(Statement statement) -> asio::awaitable<Reply>
{
    if (statement.kind == StatementKind::Execute && !this->state.prepared.contains(statement.name)) {
        auto why = makeFailure(Failure::UnknownName, "no statement was prepared as " + statement.name);
        co_return this->transactionStatus == TransactionStatus::Open ? this->failTransaction(std::move(why)) : this->fail(std::move(why));
    }
    if (this->transactionStatus == TransactionStatus::Open) {
        const auto context = this->makeContext(std::move(statement), this->transaction->service, this->transaction->customer);
        co_return co_await this->runInTransaction(context);
    }
    if (this->core->refusesNewWork || this->core->hasForwardingEnded()) {
        co_return this->fail(this->stoppingFailure());
    }
    auto granted = this->core->authorize(this->database, this->key);
    if (auto *const why = std::get_if<FailureReply>(&granted)) {
        co_return this->fail(std::move(*why));
    }
    auto &access = std::get<AccessGrant>(granted);
    const auto context = this->makeContext(std::move(statement), *access.service, std::move(access.customer));
    if (auto why = co_await this->admit(context)) {
        co_return this->fail(*std::move(why));
    }
    co_return co_await this->runSingle(context);
}

auto CallerSession::forward(const Member &member, UpstreamConnection &connection, std::span<const Command> commands, const StatementContext &context)
    -> asio::awaitable<ForwardResult>
{
    if (auto why = this->refusalBeforeSend(context)) {
        co_return *std::move(why);
    }
    co_return co_await this->core->exchange(member, connection, commands, context.remaining());
}

auto CallerSession::runSingle(const StatementContext &context) -> asio::awaitable<Reply>
{
    const auto began = SteadyClock::now();
    auto excluded = std::set<UpstreamId>();
    auto stalePrimary = std::optional<Member>();
    auto why = makeFailure(Failure::Busy, "no upstream could take the statement in time", promotionRetryAfter);
    for (auto attempt = 0; attempt < maxAttempts && context.remaining() > Duration(0); ++attempt) {
        auto picked = co_await this->pick(context.access == Access::Write, context, excluded, stalePrimary);
        if (auto *const none = std::get_if<FailureReply>(&picked)) {
            why = std::move(*none);
            break;
        }
        const auto &target = std::get<Target>(picked);
        auto result = co_await this->runAt(target, context);
        if (auto *const reply = std::get_if<Reply>(&result)) {
            if (!reply->failure) {
                this->recordServed(context.service.id, context.access, target.member, SteadyClock::now() - began);
            }
            co_return std::move(*reply);
        }
        auto &notRun = std::get<RetryElsewhere>(result);
        why = std::move(notRun.why);
        this->recordRetry(why);
        excluded.insert(target.member.upstream.id);
        if (notRun.notPrimary) {
            stalePrimary = target.member;
        } else if (context.access == Access::Write && why.failure == Failure::Busy) {
            // Only the primary can run a write, and its connections or its queue are full: waiting longer would only lengthen the queue.
            break;
        }
    }
    co_return this->fail(std::move(why));
}

auto CallerSession::runAt(const Target &target, const StatementContext &context) -> asio::awaitable<RunResult>
{
    this->currentUpstream = target.member.upstream.id.value();
    auto leased = co_await this->acquire(target, context);
    if (auto *const none = std::get_if<FailureReply>(&leased)) {
        co_return retryElsewhere(std::move(*none));
    }
    auto lease = std::get<ConnectionLease>(std::move(leased));
    // The statement may have waited for the connection.
    if (auto why = this->refusalBeforeSend(context)) {
        lease.release();
        co_return this->fail(*std::move(why));
    }
    if (context.access == Access::Write) {
        co_return co_await this->runWrite(std::move(lease), target, context);
    }
    if (target.member.isPrimary) {
        co_return co_await this->runPrimaryRead(std::move(lease), target, context);
    }
    co_return co_await this->runReplicaRead(std::move(lease), target, context);
}

auto CallerSession::runWrite(ConnectionLease lease, const Target &target, const StatementContext &context) -> asio::awaitable<RunResult>
{
    if (auto why = co_await prepareConnection(lease.connection(), this->state, context.shapePointer(), nullptr, context.remaining())) {
        this->core->probe(target.member);
        co_return retryElsewhere(*std::move(why));
    }
    auto command = commandOf(context.statement, lease.connection().state, context.shapePointer());
    command.mayCommit = true;
    const auto commands = std::vector<Command>{std::move(command)};
    auto forwarded = co_await this->forward(target.member, lease.connection(), commands, context);
    if (auto *const why = std::get_if<FailureReply>(&forwarded)) {
        lease.release();
        co_return this->fail(std::move(*why));
    }
    const auto &exchange = std::get<ExchangeResult>(forwarded);
    if (exchange.results.empty()) {
        this->core->probe(target.member);
        if (!exchange.sent) {
            co_return retryElsewhere(connectionBrokenFailure());
        }
        // The write may have reached the upstream before the connection broke. If it were sent again, it could run twice.
        co_return this->fail(makeFailure(Failure::InDoubt, "the answer to the write did not come"));
    }
    const auto &result = exchange.results.front();
    if (result.failure && mayRetryElsewhere(result.failure->failure)) {
        lease.release();
        co_return retryElsewhere(*result.failure, result.failure->failure == Failure::ReadOnly);
    }
    if (!result.failure) {
        this->recordWrite(target.member.group, result.position);
        this->recordProof(target.member, exchange.sentAt, result.position);
    }
    lease.release();
    co_return toReply(result, TransactionStatus::None);
}

auto CallerSession::runReplicaRead(ConnectionLease lease, const Target &target, const StatementContext &context) -> asio::awaitable<RunResult>
{
    const auto &upstream = target.member.upstream.id;
    if (auto why = co_await prepareConnection(lease.connection(), this->state, context.shapePointer(), nullptr, context.remaining())) {
        this->core->load.failed(upstream, support::now());
        co_return retryElsewhere(*std::move(why));
    }
    auto command = commandOf(context.statement, lease.connection().state, context.shapePointer());
    command.after = target.after;
    const auto commands = std::vector<Command>{std::move(command)};
    auto forwarded = co_await this->forward(target.member, lease.connection(), commands, context);
    if (auto *const why = std::get_if<FailureReply>(&forwarded)) {
        lease.release();
        co_return this->fail(std::move(*why));
    }
    const auto &exchange = std::get<ExchangeResult>(forwarded);
    if (exchange.results.empty()) {
        this->core->load.failed(upstream, support::now());
        // A read changes nothing, so it may be retried at another member before the deadline.
        if (context.remaining() > Duration(0)) {
            co_return retryElsewhere(connectionBrokenFailure());
        }
        co_return this->fail(makeFailure(Failure::TimedOut, "the upstream did not answer within the route's time"));
    }
    const auto &result = exchange.results.front();
    lease.release();
    if (result.failure && mayRetryElsewhere(result.failure->failure)) {
        auto why = *failureOf(commands.front(), result);
        if (why.failure == Failure::Busy) {
            this->core->load.failed(upstream, support::now());
        } else if (why.failure == Failure::Lagging) {
            this->recordLagging(target.member, why);
        }
        co_return retryElsewhere(std::move(why));
    }
    this->core->load.served(upstream, support::now() - exchange.sentAt, support::now());
    co_return toReply(result, TransactionStatus::None);
}

auto CallerSession::runPrimaryRead(ConnectionLease lease, const Target &target, const StatementContext &context) -> asio::awaitable<RunResult>
{
    // A stale primary, whose replacement this proxy's view does not show yet, would answer a plain read with old data. It refuses to
    // begin a read-write transaction, and any statement in one. The read therefore runs in a read-write transaction, and is sent only
    // once that has begun: pipelined with the begin, it would run outside of a transaction where the begin is refused.
    const auto begin = makeCommand(CommandKind::Begin);
    if (auto why = co_await prepareConnection(lease.connection(), this->state, context.shapePointer(), &begin, context.remaining())) {
        const auto notPrimary = why->failure == Failure::ReadOnly;
        if (notPrimary) {
            lease.release();
        } else {
            this->core->probe(target.member);
        }
        co_return retryElsewhere(*std::move(why), notPrimary);
    }
    const auto commands
        = std::vector<Command>{commandOf(context.statement, lease.connection().state, context.shapePointer()), makeCommand(CommandKind::Rollback)};
    auto forwarded = co_await this->forward(target.member, lease.connection(), commands, context);
    if (auto *const why = std::get_if<FailureReply>(&forwarded)) {
        // The transaction that was begun for the read ends with the connection.
        co_return this->fail(std::move(*why));
    }
    const auto &exchange = std::get<ExchangeResult>(forwarded);
    if (exchange.results.empty()) {
        this->core->probe(target.member);
        this->core->load.failed(target.member.upstream.id, support::now());
        if (context.remaining() > Duration(0)) {
            co_return retryElsewhere(connectionBrokenFailure());
        }
        co_return this->fail(makeFailure(Failure::TimedOut, "the upstream did not answer within the route's time"));
    }
    const auto &result = exchange.results.front();
    if (exchange.results.size() == commands.size() && exchange.results.back().status == TransactionStatus::None) {
        lease.release();
    }
    if (result.failure && mayRetryElsewhere(result.failure->failure)) {
        co_return retryElsewhere(*result.failure, result.failure->failure == Failure::ReadOnly);
    }
    if (!result.failure) {
        this->recordProof(target.member, exchange.sentAt, result.position);
        this->core->load.served(target.member.upstream.id, support::now() - exchange.sentAt, support::now());
    }
    co_return toReply(result, TransactionStatus::None);
}

auto CallerSession::admit(const StatementContext &context) -> asio::awaitable<std::optional<FailureReply>>
{
    if (context.customer.value().empty() || this->core->parts.quota == nullptr) {
        co_return std::nullopt;
    }
    const auto maxWait = this->core->whileForwarding(objectiveOf(context.service) / quotaWaitDivisor);
    co_return co_await this->core->parts.quota->take(context.customer, maxWait, context.remaining());
}

auto CallerSession::makeContext(Statement statement, membership::ServiceView service, CustomerId customer) const -> StatementContext
{
    auto context = StatementContext();
    context.deadline = SteadyClock::now() + service.timeout;
    context.access = statement.kind == StatementKind::Write ? Access::Write : Access::Read;
    if (statement.kind == StatementKind::Execute) {
        context.shape = this->state.prepared.at(statement.name);
        context.access = context.shape->writes ? Access::Write : Access::Read;
    }
    context.statement = std::move(statement);
    context.service = std::move(service);
    context.customer = std::move(customer);
    return context;
}

auto CallerSession::recordWrite(const GroupId &group, const std::optional<DataPosition> &position) -> void
{
    if (position) {
        this->lastWrite = position;
        this->lastWriteGroup = group;
    }
}

auto CallerSession::recordProof(const Member &member, TimePoint sent, const std::optional<DataPosition> &position) -> void
{
    if (position) {
        this->core->proofsOf(member.group).record(sent, *position);
    }
}

auto CallerSession::recordLagging(const Member &member, const FailureReply &why) -> void
{
    const auto now = support::now();
    const auto behind = why.upstreamPosition ? this->core->proofsOf(member.group).behind(*why.upstreamPosition, now) : Duration(0);
    this->core->load.lagged(member.upstream.id, behind, now);
}

auto CallerSession::recordRetry(const FailureReply &why) -> void
{
    this->core->parts.recorder->retried(ServiceId(this->database), why.failure);
    if (this->core->failureLines.tryTake(support::now())) {
        support::log(support::Event::StatementMoved,
                     {{"id", this->currentId},
                      {"database", this->database},
                      {"upstream", this->currentUpstream},
                      {"reason", name(why.failure)},
                      {"detail", why.detail}});
    }
}

auto CallerSession::recordServed(const ServiceId &service, Access access, const Member &member, Duration latency) -> void
{
    this->core->parts.recorder->served(service, access, member.isPrimary, latency);
    if (this->core->sampleLines.tryTake(support::now())) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(latency).count();
        support::log(support::Event::StatementServed,
                     {{"id", this->currentId},
                      {"database", this->database},
                      {"upstream", member.upstream.id.value()},
                      {"term", member.term.value()},
                      {"revision", this->core->revision().value()},
                      {"ms", static_cast<std::uint64_t>(ms)}});
    }
}

auto CallerSession::customer() const -> CustomerId
{
    const auto *const found = this->core->findCustomer(this->key);
    return found == nullptr ? CustomerId() : found->id;
}

auto CallerSession::accessLost(const membership::ServiceView &service, const CustomerId &customer) const -> std::optional<FailureReply>
{
    const auto *const holder = this->core->findCustomer(this->key);
    if (holder == nullptr ? customer.value().empty() : holder->id == customer) {
        return std::nullopt;
    }
    if (holder == nullptr && service.requiresKey) {
        return makeFailure(Failure::Denied, "the API key was taken away; use one of the configuration");
    }
    // The caller may go on, but not as the customer for which the upstream has begun the work.
    return makeFailure(Failure::Aborted, "the API key no longer identifies the same customer; begin again", std::chrono::milliseconds(0));
}

auto CallerSession::refusalBeforeSend(const StatementContext &context) const -> std::optional<FailureReply>
{
    if (this->core->hasForwardingEnded()) {
        return this->stoppingFailure();
    }
    return this->accessLost(context.service, context.customer);
}

auto CallerSession::stoppingFailure() const -> FailureReply
{
    const auto failure = this->transactionStatus == TransactionStatus::Open ? Failure::Aborted : Failure::Busy;
    return makeFailure(failure, "the proxy is stopping; connect again", std::chrono::milliseconds(0));
}

auto CallerSession::refusalByKey(StatementKind kind) const -> std::optional<FailureReply>
{
    if (this->transactionStatus == TransactionStatus::Open) {
        const auto isChecked = kind != StatementKind::Rollback;
        return isChecked ? this->accessLost(this->transaction->service, this->transaction->customer) : std::nullopt;
    }
    const auto isLocal = kind == StatementKind::SetValue || kind == StatementKind::Prepare || kind == StatementKind::Deallocate;
    if (!isLocal) {
        return std::nullopt;
    }
    const auto access = this->core->authorize(this->database, this->key);
    const auto *const why = std::get_if<FailureReply>(&access);
    return why != nullptr && why->failure == Failure::Denied ? std::optional(*why) : std::nullopt;
}

auto CallerSession::fail(FailureReply why) -> Reply
{
    this->core->parts.recorder->refused(ServiceId(this->database), why.failure);
    if (this->core->failureLines.tryTake(support::now())) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - this->currentSince).count();
        support::log(support::Event::StatementFailed,
                     {{"id", this->currentId},
                      {"database", this->database},
                      {"customer", this->customer().value()},
                      {"reason", name(why.failure)},
                      {"detail", why.detail},
                      {"upstream", this->currentUpstream},
                      {"waited_ms", static_cast<std::uint64_t>(waited)},
                      {"revision", this->core->revision().value()},
                      {"lines_left_out", this->core->failureLines.takeDropped()}});
    }
    return {{}, {}, std::move(why), this->transactionStatus, {}};
}

} // namespace sapphirespool::interactive
