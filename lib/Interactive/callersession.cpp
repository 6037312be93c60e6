#include "callersession.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

using SteadyClock = std::chrono::steady_clock;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Members that a statement is tried at before the caller is told: each member of a usual group once, and the primary again.
constexpr auto attempts = 4;

/// Values and prepared names that one session may keep; both are kept for as long as the session lasts.
constexpr auto valueLimit = std::size_t{64};
constexpr auto nameLimit = std::size_t{256};

/// Part of the objective that a statement may wait for a link to one member. A caller that is refused then has three quarters left,
/// enough for another attempt at another proxy.
constexpr auto queuePart = 4;

/// Part of the route's time that a statement waits for a primary; the other half is for running it.
constexpr auto promotionPart = 2;

/// Opening a link takes two ways and the upstream's own handshake, some tens of milliseconds; a packet that was lost takes a second.
constexpr auto connectLimit = std::chrono::milliseconds(1'500);

/// When callers come back after a promotion was not over in time.
constexpr auto promotionRetry = std::chrono::milliseconds(300);

/// Pause before a statement of an open transaction is sent again to an upstream whose queue was full.
constexpr auto fullQueuePause = std::chrono::milliseconds(20);

/// Time for a rollback on a link that is to be used again; a link that does not answer is closed instead, which rolls back as well.
constexpr auto rollbackLimit = std::chrono::milliseconds(1'000);

/// Transaction idle time where the service names none.
constexpr auto usualIdleLimit = std::chrono::milliseconds(10'000);

auto commandOfKind(CommandKind kind, std::string id = {}) -> Command
{
    auto command = Command();
    command.kind = kind;
    command.id = std::move(id);
    return command;
}

auto replyOf(const CommandResult &result, TransactionStatus status) -> Reply
{
    return {result.rows, result.signature, result.failure, status, result.position};
}

auto queuePatience(const membership::ServiceView &service) -> Duration
{
    const auto objective = service.objective.count() > 0 ? service.objective : service.timeout;
    return std::min(objective, service.timeout) / queuePart;
}

// g++ 12 destroys a braced temporary twice when it stands in a co_await or co_return expression, so that such values are made by
// functions or named first.
auto makeReply(TransactionStatus status) -> Reply
{
    auto reply = Reply();
    reply.status = status;
    return reply;
}

auto makeFailure(Failure failure, std::string detail, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) -> FailureReply
{
    return {failure, std::move(detail), retryAfter};
}

auto brokenReply() -> FailureReply
{
    return makeFailure(Failure::Busy, "the connection to the upstream broke before the statement was sent");
}

/// \return whether the upstream says that it did not run the statement, so that another one may
auto mayGoElsewhere(Failure failure) -> bool
{
    return promisesNothingKept(failure) && failure != Failure::Aborted;
}

/// Rolls back on a link whose caller has gone, so that the connection need not be opened anew.
auto rollBack(std::shared_ptr<LinkLease> lease) -> asio::awaitable<void>
{
    const auto commands = std::vector<Command>{commandOfKind(CommandKind::Rollback)};
    const auto exchange = co_await lease->link().exchange(commands, rollbackLimit);
    const auto clean
        = !exchange.broken && exchange.results.size() == 1 && !exchange.results.front().failure && exchange.results.front().status == TransactionStatus::None;
    if (clean) {
        lease->giveBack();
    }
}

} // namespace

auto CallerSession::Work::left() const -> Duration
{
    return std::max<Duration>(Duration(0), this->deadline - SteadyClock::now());
}

auto CallerSession::Work::shapePointer() const -> const PreparedShape *
{
    return this->shape ? &*this->shape : nullptr;
}

auto CallerSession::elsewhere(FailureReply why, bool refuted) -> TryElsewhere
{
    return {std::move(why), refuted};
}

auto CallerSession::targetAt(Member member, std::optional<DataPosition> after) -> Target
{
    return {std::move(member), after};
}

CallerSession::CallerSession(std::shared_ptr<SessionCore> core, std::string database)
    : core(std::move(core))
    , database(std::move(database))
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
        this->abandon();
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
        this->abandon();
    }
}

auto CallerSession::dispatch(Statement statement) -> asio::awaitable<Reply>
{
    if (this->transactionStatus == TransactionStatus::Failed && statement.kind != StatementKind::Rollback && statement.kind != StatementKind::Commit) {
        co_return this->failed(makeFailure(Failure::Malformed, "the transaction failed; end it first"));
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
    co_return this->failed(makeFailure(Failure::Malformed, "unknown kind of statement"));
}

auto CallerSession::setValue(const Statement &statement) -> Reply
{
    if (this->state.values.size() >= valueLimit && !this->state.values.contains(statement.name)) {
        return this->failed(makeFailure(Failure::Malformed, "a session keeps at most 64 values"));
    }
    this->state.values.insert_or_assign(statement.name, statement.text);
    return makeReply(this->transactionStatus);
}

auto CallerSession::prepare(const Statement &statement) -> Reply
{
    if (this->state.prepared.size() >= nameLimit && !this->state.prepared.contains(statement.name)) {
        return this->failed(makeFailure(Failure::Malformed, "a session keeps at most 256 prepared names"));
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
        return this->failed(makeFailure(Failure::Malformed, "a transaction is open"));
    }
    if (this->core->refusesNewWork) {
        return this->failed(makeFailure(Failure::Busy, "the proxy is stopping; connect again", std::chrono::milliseconds(0)));
    }
    const auto *const service = this->core->findService(this->database);
    if (service == nullptr) {
        return this->failed(makeFailure(Failure::UnknownDatabase, "no service is called " + this->database));
    }
    // The upstream hears of the transaction with its first statement: a caller that pauses before it holds no connection.
    this->transaction = std::make_unique<Transaction>();
    this->transaction->service = *service;
    this->transaction->readOnly = statement.kind == StatementKind::BeginReadOnly;
    this->transactionStatus = TransactionStatus::Open;
    return makeReply(this->transactionStatus);
}

auto CallerSession::rollback() -> asio::awaitable<Reply>
{
    if (this->transaction != nullptr && this->transaction->lease) {
        const auto lease = std::make_shared<LinkLease>(*std::move(this->transaction->lease));
        this->transaction->lease.reset();
        --this->core->counts.transactions;
        co_await rollBack(lease);
    }
    this->transaction.reset();
    this->transactionStatus = TransactionStatus::None;
    co_return makeReply(TransactionStatus::None);
}

auto CallerSession::commit(Statement statement) -> asio::awaitable<Reply>
{
    if (this->transactionStatus == TransactionStatus::None) {
        co_return this->failed(makeFailure(Failure::Malformed, "no transaction is open"));
    }
    if (this->transactionStatus == TransactionStatus::Failed) {
        co_await this->rollback();
        co_return this->failed(makeFailure(Failure::Aborted, "the transaction had failed and was rolled back"));
    }
    auto work = this->workOf(std::move(statement), this->transaction->service);
    if (!this->transaction->lease) {
        if (auto why = co_await this->openTransaction(work)) {
            this->transaction.reset();
            this->transactionStatus = TransactionStatus::None;
            co_return this->failed(*std::move(why));
        }
    }
    co_return co_await this->runCommit(work);
}

auto CallerSession::run(Statement statement) -> asio::awaitable<Reply>
{
    if (statement.kind == StatementKind::Execute && !this->state.prepared.contains(statement.name)) {
        auto why = makeFailure(Failure::UnknownName, "no statement was prepared as " + statement.name);
        co_return this->transactionStatus == TransactionStatus::Open ? this->failTransaction(std::move(why)) : this->failed(std::move(why));
    }
    if (this->transactionStatus == TransactionStatus::Open) {
        const auto work = this->workOf(std::move(statement), this->transaction->service);
        co_return co_await this->runInTransaction(work);
    }
    if (this->core->refusesNewWork) {
        co_return this->failed(makeFailure(Failure::Busy, "the proxy is stopping; connect again", std::chrono::milliseconds(0)));
    }
    const auto *const service = this->core->findService(this->database);
    if (service == nullptr) {
        co_return this->failed(makeFailure(Failure::UnknownDatabase, "no service is called " + this->database));
    }
    const auto work = this->workOf(std::move(statement), *service);
    co_return co_await this->runSingle(work);
}

auto CallerSession::runSingle(const Work &work) -> asio::awaitable<Reply>
{
    const auto began = SteadyClock::now();
    auto excluded = std::set<UpstreamId>();
    auto refuted = std::optional<Member>();
    auto why = makeFailure(Failure::Busy, "no upstream could take the statement in time", promotionRetry);
    for (auto attempt = 0; attempt < attempts && work.left() > Duration(0); ++attempt) {
        auto picked = co_await this->pick(work.access == Access::Write, work, excluded, refuted);
        if (auto *const none = std::get_if<FailureReply>(&picked)) {
            why = std::move(*none);
            break;
        }
        const auto &target = std::get<Target>(picked);
        auto result = co_await this->runAt(target, work);
        if (auto *const reply = std::get_if<Reply>(&result)) {
            if (!reply->failure) {
                this->noteServed(work.service.id, work.access, target.member, SteadyClock::now() - began);
            }
            co_return std::move(*reply);
        }
        auto &notRun = std::get<TryElsewhere>(result);
        why = std::move(notRun.why);
        this->noteMoved(why);
        excluded.insert(target.member.upstream.id);
        if (notRun.refuted) {
            refuted = target.member;
        } else if (work.access == Access::Write && why.failure == Failure::Busy) {
            // Only the primary can take it, and its links or its queue are full: waiting longer would only lengthen the queue.
            break;
        }
    }
    co_return this->failed(std::move(why));
}

auto CallerSession::runAt(const Target &target, const Work &work) -> asio::awaitable<RunResult>
{
    this->currentUpstream = target.member.upstream.id.value();
    auto leased = co_await this->acquire(target, work);
    if (auto *const none = std::get_if<FailureReply>(&leased)) {
        co_return elsewhere(std::move(*none));
    }
    auto lease = std::get<LinkLease>(std::move(leased));
    if (work.access == Access::Write) {
        co_return co_await this->runWrite(std::move(lease), target, work);
    }
    if (target.member.isPrimary) {
        co_return co_await this->runPrimaryRead(std::move(lease), target, work);
    }
    co_return co_await this->runReplicaRead(std::move(lease), target, work);
}

auto CallerSession::runWrite(LinkLease lease, const Target &target, const Work &work) -> asio::awaitable<RunResult>
{
    if (auto why = co_await prepareLink(lease.link(), this->state, work.shapePointer(), nullptr, work.left())) {
        this->core->look(target.member);
        co_return elsewhere(*std::move(why));
    }
    const auto commands = std::vector<Command>{commandOf(work.statement, lease.link().state, work.shapePointer())};
    const auto exchange = co_await this->core->exchange(target.member, lease.link(), commands, work.left());
    if (exchange.results.empty()) {
        this->core->look(target.member);
        if (!exchange.sent) {
            co_return elsewhere(brokenReply());
        }
        // The write may have reached the upstream before the connection broke. Sent again it could run twice.
        co_return this->failed(makeFailure(Failure::InDoubt, "the answer to the write did not come"));
    }
    const auto &result = exchange.results.front();
    if (result.failure && mayGoElsewhere(result.failure->failure)) {
        lease.giveBack();
        co_return elsewhere(*result.failure, result.failure->failure == Failure::ReadOnly);
    }
    if (!result.failure) {
        this->noteWrite(target.member.group, result.position);
        this->noteProof(target.member, exchange.sentAt, result.position);
    }
    lease.giveBack();
    co_return replyOf(result, TransactionStatus::None);
}

auto CallerSession::runReplicaRead(LinkLease lease, const Target &target, const Work &work) -> asio::awaitable<RunResult>
{
    const auto &upstream = target.member.upstream.id;
    if (auto why = co_await prepareLink(lease.link(), this->state, work.shapePointer(), nullptr, work.left())) {
        this->core->load.failed(upstream, support::now());
        co_return elsewhere(*std::move(why));
    }
    auto command = commandOf(work.statement, lease.link().state, work.shapePointer());
    command.after = target.after;
    const auto commands = std::vector<Command>{std::move(command)};
    const auto exchange = co_await this->core->exchange(target.member, lease.link(), commands, work.left());
    if (exchange.results.empty()) {
        this->core->load.failed(upstream, support::now());
        // A read changes nothing: it may run again elsewhere, while there is time.
        if (work.left() > Duration(0)) {
            co_return elsewhere(brokenReply());
        }
        co_return this->failed(makeFailure(Failure::TimedOut, "the upstream did not answer within the route's time"));
    }
    const auto &result = exchange.results.front();
    lease.giveBack();
    if (result.failure && mayGoElsewhere(result.failure->failure)) {
        if (result.failure->failure == Failure::Busy) {
            this->core->load.failed(upstream, support::now());
        } else if (result.failure->failure == Failure::Lagging) {
            this->core->load.lagged(upstream, support::now());
        }
        co_return elsewhere(*result.failure);
    }
    this->core->load.served(upstream, support::now() - exchange.sentAt, support::now());
    co_return replyOf(result, TransactionStatus::None);
}

auto CallerSession::runPrimaryRead(LinkLease lease, const Target &target, const Work &work) -> asio::awaitable<RunResult>
{
    // A primary that was replaced without this proxy's knowledge would answer a plain read with old data. It refuses to begin a
    // transaction that may write, and any statement in one. So the read runs in such a transaction, and is sent only once that has
    // begun: sent together with the beginning, it would run on its own where the beginning is refused.
    const auto begin = commandOfKind(CommandKind::Begin);
    if (auto why = co_await prepareLink(lease.link(), this->state, work.shapePointer(), &begin, work.left())) {
        const auto refuted = why->failure == Failure::ReadOnly;
        if (refuted) {
            lease.giveBack();
        } else {
            this->core->look(target.member);
        }
        co_return elsewhere(*std::move(why), refuted);
    }
    const auto commands = std::vector<Command>{commandOf(work.statement, lease.link().state, work.shapePointer()), commandOfKind(CommandKind::Rollback)};
    const auto exchange = co_await this->core->exchange(target.member, lease.link(), commands, work.left());
    if (exchange.results.empty()) {
        this->core->look(target.member);
        this->core->load.failed(target.member.upstream.id, support::now());
        if (work.left() > Duration(0)) {
            co_return elsewhere(brokenReply());
        }
        co_return this->failed(makeFailure(Failure::TimedOut, "the upstream did not answer within the route's time"));
    }
    const auto &result = exchange.results.front();
    if (exchange.results.size() == commands.size() && exchange.results.back().status == TransactionStatus::None) {
        lease.giveBack();
    }
    if (result.failure && mayGoElsewhere(result.failure->failure)) {
        co_return elsewhere(*result.failure, result.failure->failure == Failure::ReadOnly);
    }
    if (!result.failure) {
        this->noteProof(target.member, exchange.sentAt, result.position);
        this->core->load.served(target.member.upstream.id, support::now() - exchange.sentAt, support::now());
    }
    co_return replyOf(result, TransactionStatus::None);
}

auto CallerSession::openTransaction(const Work &work) -> asio::awaitable<std::optional<FailureReply>>
{
    auto excluded = std::set<UpstreamId>();
    auto refuted = std::optional<Member>();
    auto why = makeFailure(Failure::Busy, "no upstream could take the transaction in time", promotionRetry);
    for (auto attempt = 0; attempt < attempts && work.left() > Duration(0); ++attempt) {
        auto picked = co_await this->pick(!this->transaction->readOnly, work, excluded, refuted);
        if (auto *const none = std::get_if<FailureReply>(&picked)) {
            co_return std::move(*none);
        }
        const auto &target = std::get<Target>(picked);
        auto notOpened = co_await this->openAt(target, work);
        if (!notOpened) {
            ++this->core->counts.transactions;
            co_return std::nullopt;
        }
        why = std::move(notOpened->why);
        this->noteMoved(why);
        excluded.insert(target.member.upstream.id);
        if (notOpened->refuted) {
            refuted = target.member;
        } else if (target.member.isPrimary && why.failure == Failure::Busy && !this->transaction->readOnly) {
            break;
        }
    }
    co_return why;
}

auto CallerSession::openAt(const Target &target, const Work &work) -> asio::awaitable<std::optional<TryElsewhere>>
{
    this->currentUpstream = target.member.upstream.id.value();
    auto leased = co_await this->acquire(target, work);
    if (auto *const none = std::get_if<FailureReply>(&leased)) {
        co_return elsewhere(std::move(*none));
    }
    auto lease = std::get<LinkLease>(std::move(leased));
    // At a primary also a transaction that only reads begins as one that may write: a primary that was replaced refuses that.
    auto begin = commandOfKind(target.member.isPrimary ? CommandKind::Begin : CommandKind::BeginReadOnly);
    begin.after = target.after;
    if (auto why = co_await prepareLink(lease.link(), this->state, work.shapePointer(), &begin, work.left())) {
        const auto refuted = why->failure == Failure::ReadOnly;
        if (refuted || why->failure == Failure::Lagging) {
            this->core->load.lagged(target.member.upstream.id, support::now());
            lease.giveBack();
        } else {
            this->core->look(target.member);
            this->core->load.failed(target.member.upstream.id, support::now());
        }
        co_return elsewhere(*std::move(why), refuted && target.member.isPrimary);
    }
    this->transaction->member = target.member;
    this->transaction->lease.emplace(std::move(lease));
    co_return std::nullopt;
}

auto CallerSession::runInTransaction(const Work &work) -> asio::awaitable<Reply>
{
    if (this->core->abortsTransactions) {
        co_return this->failTransaction(makeFailure(Failure::Aborted, "the proxy is stopping; connect again", std::chrono::milliseconds(0)));
    }
    if (work.access == Access::Write && this->transaction->readOnly) {
        co_return this->failTransaction(makeFailure(Failure::ReadOnly, "the transaction was begun for reading only"));
    }
    if (!this->transaction->lease) {
        if (auto why = co_await this->openTransaction(work)) {
            co_return this->failTransaction(*std::move(why));
        }
    } else if (auto why = co_await prepareLink(this->transaction->lease->link(), this->state, work.shapePointer(), nullptr, work.left())) {
        this->core->look(this->transaction->member);
        co_return this->failTransaction(makeFailure(Failure::Aborted, "the connection broke; the transaction was rolled back"));
    }
    const auto command = commandOf(work.statement, this->transaction->lease->link().state, work.shapePointer());
    this->transaction->wrote = this->transaction->wrote || work.access == Access::Write;
    const auto exchange = co_await this->exchangeInTransaction(work, command);
    if (exchange.results.empty()) {
        this->core->look(this->transaction->member);
        // Without a commit nothing is kept: the upstream rolls back when its connection ends.
        co_return this->failTransaction(makeFailure(Failure::Aborted, "no answer from the upstream; the transaction was rolled back"));
    }
    const auto &result = exchange.results.front();
    if (result.failure) {
        auto why = *result.failure;
        if (result.status != TransactionStatus::Failed && mayGoElsewhere(why.failure)) {
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
        this->noteProof(this->transaction->member, exchange.sentAt, result.position);
    }
    this->noteServed(work.service.id, work.access, this->transaction->member, support::now() - exchange.sentAt);
    co_return replyOf(result, TransactionStatus::Open);
}

auto CallerSession::exchangeInTransaction(const Work &work, const Command &command) -> asio::awaitable<ExchangeResult>
{
    this->currentUpstream = this->transaction->member.upstream.id.value();
    const auto commands = std::vector<Command>{command};
    auto timer = asio::steady_timer(this->core->parts.executor);
    while (true) {
        auto exchange = co_await this->core->exchange(this->transaction->member, this->transaction->lease->link(), commands, work.left());
        // An upstream whose queue is full has not run the statement, and the transaction goes on: what it did so far would be lost
        // for a wait of some milliseconds.
        const auto full = !exchange.results.empty() && exchange.results.front().failure && exchange.results.front().failure->failure == Failure::Busy
            && exchange.results.front().status == TransactionStatus::Open;
        if (!full || work.left() <= fullQueuePause) {
            co_return exchange;
        }
        timer.expires_after(fullQueuePause);
        co_await timer.async_wait(awaitTuple);
    }
}

auto CallerSession::runCommit(const Work &work) -> asio::awaitable<Reply>
{
    const auto command = commandOfKind(CommandKind::Commit, work.statement.id);
    const auto exchange = co_await this->exchangeInTransaction(work, command);
    const auto ended = std::move(this->transaction);
    this->transactionStatus = TransactionStatus::None;
    --this->core->counts.transactions;
    if (exchange.results.empty()) {
        this->core->look(ended->member);
        if (!exchange.sent || !ended->wrote) {
            co_return this->failed(makeFailure(Failure::Aborted, "the connection broke; nothing was written"));
        }
        co_return this->failed(makeFailure(Failure::InDoubt, "the answer to the commit did not come"));
    }
    const auto &result = exchange.results.front();
    if (result.status == TransactionStatus::None) {
        ended->lease->giveBack();
    }
    if (!result.failure) {
        if (ended->wrote) {
            this->noteWrite(ended->member.group, result.position);
        }
        if (ended->member.isPrimary && ended->wrote) {
            this->noteProof(ended->member, exchange.sentAt, result.position);
        }
        this->noteServed(work.service.id, ended->wrote ? Access::Write : Access::Read, ended->member, support::now() - exchange.sentAt);
    }
    // Where the upstream did not end the transaction, dropping the lease closes the connection, which rolls back.
    co_return replyOf(result, TransactionStatus::None);
}

auto CallerSession::failTransaction(FailureReply why) -> Reply
{
    this->abandon();
    this->transactionStatus = TransactionStatus::Failed;
    return this->failed(std::move(why));
}

auto CallerSession::abandon() -> void
{
    if (this->transaction != nullptr && this->transaction->lease) {
        auto lease = std::make_shared<LinkLease>(*std::move(this->transaction->lease));
        this->transaction->lease.reset();
        --this->core->counts.transactions;
        asio::co_spawn(this->core->parts.executor, rollBack(std::move(lease)), asio::detached);
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
    this->idleTimer->expires_after(service.transactionIdle.count() > 0 ? service.transactionIdle : usualIdleLimit);
    this->idleTimer->async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || self == nullptr || self->executing || self->transaction == nullptr) {
            return;
        }
        // A caller that rests in a transaction holds a connection that others wait for, and the locks of what it wrote.
        self->failTransaction(makeFailure(Failure::Aborted, "the transaction was idle for too long"));
    });
}

auto CallerSession::pick(bool needsPrimary, const Work &work, const std::set<UpstreamId> &excluded, const std::optional<Member> &refuted)
    -> asio::awaitable<TargetResult>
{
    return needsPrimary ? this->pickPrimary(work, refuted) : this->pickReader(work, excluded, refuted);
}

auto CallerSession::pickPrimary(const Work &work, const std::optional<Member> &refuted) -> asio::awaitable<TargetResult>
{
    auto primary = co_await this->core->awaitPrimary(work.service.group, refuted, std::min<Duration>(work.left(), work.service.timeout / promotionPart));
    if (!primary) {
        co_return makeFailure(Failure::Busy, "group " + work.service.group.value() + " has no primary", promotionRetry);
    }
    co_return targetAt(*std::move(primary), std::nullopt);
}

auto CallerSession::pickReader(const Work &work, const std::set<UpstreamId> &excluded, const std::optional<Member> &refuted) -> asio::awaitable<TargetResult>
{
    const auto needed = this->neededPosition(work.service);
    if (!needed) {
        co_return co_await this->pickPrimary(work, refuted);
    }
    auto members = this->core->readersOf(work.service.group);
    std::erase_if(members, [&excluded](const Member &member) {
        return excluded.contains(member.upstream.id);
    });
    auto candidates = std::vector<ReadCandidate>();
    for (const auto &member : members) {
        const auto links = this->core->parts.pool->counts(member.upstream.id);
        candidates.push_back({member.upstream.id, member.isPrimary, member.upstream.zone == this->core->parts.zone, links.busy + links.waiting});
    }
    const auto *const chosen = this->core->load.choose(candidates, support::now());
    if (chosen == nullptr) {
        co_return co_await this->pickPrimary(work, refuted);
    }
    const auto member = std::find_if(members.begin(), members.end(), [chosen](const Member &candidate) {
        return candidate.upstream.id == chosen->upstream;
    });
    co_return targetAt(*member, member->isPrimary ? std::nullopt : needed);
}

auto CallerSession::neededPosition(const membership::ServiceView &service) const -> std::optional<DataPosition>
{
    if (service.consistency != membership::Consistency::BoundedStaleness && service.consistency != membership::Consistency::ReadYourWrites) {
        return std::nullopt;
    }
    auto needed = this->core->proofsOf(service.group).covering(support::now() - service.readAge);
    const auto ownWrites = service.consistency == membership::Consistency::ReadYourWrites && this->lastWrite && this->lastWriteGroup == service.group;
    if (needed && ownWrites) {
        needed = std::max(*needed, *this->lastWrite);
    }
    return needed;
}

auto CallerSession::acquire(const Target &target, const Work &work) -> asio::awaitable<LeaseResult>
{
    const auto patience = std::min<Duration>(queuePatience(work.service), work.left());
    const auto connectTime = std::min<Duration>(connectLimit, work.left());
    auto result = co_await this->core->parts.pool->acquire(target.member.group, target.member.upstream, this->state.values, patience, connectTime);
    if (const auto *const why = std::get_if<FailureReply>(&result); why != nullptr && why->failure != Failure::Busy) {
        this->core->load.failed(target.member.upstream.id, support::now());
    }
    if (const auto *const why = std::get_if<FailureReply>(&result); why != nullptr && why->failure == Failure::Unreachable) {
        this->core->suspect(target.member);
    }
    co_return result;
}

auto CallerSession::workOf(Statement statement, membership::ServiceView service) const -> Work
{
    auto work = Work();
    work.deadline = SteadyClock::now() + service.timeout;
    work.access = statement.kind == StatementKind::Write ? Access::Write : Access::Read;
    if (statement.kind == StatementKind::Execute) {
        work.shape = this->state.prepared.at(statement.name);
        work.access = work.shape->writes ? Access::Write : Access::Read;
    }
    work.statement = std::move(statement);
    work.service = std::move(service);
    return work;
}

auto CallerSession::noteWrite(const GroupId &group, const std::optional<DataPosition> &position) -> void
{
    if (position) {
        this->lastWrite = position;
        this->lastWriteGroup = group;
    }
}

auto CallerSession::noteProof(const Member &member, TimePoint sent, const std::optional<DataPosition> &position) -> void
{
    if (position) {
        this->core->proofsOf(member.group).note(sent, *position);
    }
}

auto CallerSession::noteMoved(const FailureReply &why) -> void
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

auto CallerSession::noteServed(const ServiceId &service, Access access, const Member &member, Duration latency) -> void
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

auto CallerSession::failed(FailureReply why) -> Reply
{
    this->core->parts.recorder->refused(ServiceId(this->database), why.failure);
    if (this->core->failureLines.tryTake(support::now())) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - this->currentSince).count();
        support::log(support::Event::StatementFailed,
                     {{"id", this->currentId},
                      {"database", this->database},
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
