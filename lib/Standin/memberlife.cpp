#include "memberlife.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;
using platform::ExecuteReply;
using platform::ExecuteRequest;
using platform::ExecuteStatus;
using platform::Operation;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

auto timeNow() -> TimePoint
{
    return std::chrono::steady_clock::now();
}

auto refused(ExecuteReply reply, ExecuteStatus status, std::string detail) -> ExecuteReply
{
    reply.status = status;
    reply.detail = std::move(detail);
    return reply;
}

auto wrongTerm(ExecuteReply reply) -> ExecuteReply
{
    return refused(std::move(reply), ExecuteStatus::WrongTerm, "the member may not run this in its term");
}

auto logged(const ExecuteRequest &request, const ExecuteReply &reply) -> LoggedStatement
{
    return LoggedStatement{request.sql, request.params, reply.changes};
}

/// Puts what the database said into \p reply.
auto withResult(ExecuteReply reply, ExecuteReply result) -> ExecuteReply
{
    reply.status = result.status;
    reply.detail = std::move(result.detail);
    reply.columns = std::move(result.columns);
    reply.rows = std::move(result.rows);
    reply.changes = result.changes;
    return reply;
}

} // namespace

MemberLife::MemberLife(asio::any_io_executor executor, const MemberSettings &settings, Incarnation incarnation, std::shared_ptr<MemberStore> store)
    : settings(settings)
    , core(settings.id, incarnation, std::move(store))
    , logChanged(executor)
    , announcementChanged(executor)
    , executor(executor)
    , slots(settings.slots)
    , faultsChanged(executor)
{
    this->core.setLag(settings.lag);
}

auto MemberLife::end() -> void
{
    this->over = true;
    this->slots.wakeAll();
    this->faultsChanged.notify();
    this->partChanged();
}

auto MemberLife::ended() const -> bool
{
    return this->over;
}

auto MemberLife::setFaults(const Faults &faults) -> void
{
    this->currentFaults = faults;
    this->faultyAnswersLeft = faults.answers;
    this->faultsChanged.notify();
}

auto MemberLife::faults() const -> const Faults &
{
    return this->currentFaults;
}

auto MemberLife::untilThawed() -> asio::awaitable<void>
{
    const auto self = this->shared_from_this();
    while (!this->over && this->currentFaults.member == MemberFault::Frozen) {
        co_await this->faultsChanged.wait(TimePoint::max());
    }
}

auto MemberLife::untilReachable() -> asio::awaitable<void>
{
    const auto self = this->shared_from_this();
    while (!this->over && !this->reachable()) {
        co_await this->faultsChanged.wait(TimePoint::max());
    }
}

auto MemberLife::reachable() const -> bool
{
    return this->currentFaults.member == MemberFault::None;
}

auto MemberLife::claimConnection() -> bool
{
    if (this->connections >= this->settings.connectionLimit) {
        return false;
    }
    ++this->connections;
    this->counts.mostConnections = std::max<std::uint64_t>(this->counts.mostConnections, this->connections);
    return true;
}

auto MemberLife::releaseConnection() -> void
{
    --this->connections;
}

auto MemberLife::execute(ExecuteRequest request, std::optional<Transaction> &transaction) -> asio::awaitable<ExecuteReply>
{
    const auto self = this->shared_from_this();
    co_await this->enterSlot();
    ++this->counts.statements;
    this->counts.mostRunning = std::max<std::uint64_t>(this->counts.mostRunning, this->slots.runningCount());
    if (this->settings.serviceTime > Duration::zero()) {
        co_await this->pause(this->settings.serviceTime);
    }
    co_await this->untilThawed();
    auto reply = ExecuteReply();
    if (!this->over) {
        reply = this->run(request, transaction);
    }
    this->slots.leave();
    co_return reply;
}

auto MemberLife::takeAnswerFault() -> AnswerFault
{
    const auto fault = this->currentFaults.answer;
    if (fault == AnswerFault::None || this->currentFaults.answers == 0) {
        return fault;
    }
    if (this->faultyAnswersLeft == 0) {
        return AnswerFault::None;
    }
    --this->faultyAnswersLeft;
    return fault;
}

auto MemberLife::fence(const platform::FenceRequest &request) -> platform::PositionReport
{
    auto report = this->core.fence(request, timeNow());
    this->partChanged();
    return report;
}

auto MemberLife::promote(const platform::PromoteRequest &request) -> std::optional<platform::PositionReport>
{
    auto report = this->core.promote(request, timeNow());
    this->partChanged();
    return report;
}

auto MemberLife::follow(const platform::FollowRequest &request) -> std::optional<platform::PositionReport>
{
    auto report = this->core.follow(request, timeNow());
    this->partChanged();
    return report;
}

auto MemberLife::accept(const LogRequest &request, const LogReply &reply, TimePoint sentAt) -> void
{
    this->core.accept(request, reply, sentAt, timeNow());
    this->logChanged.notify();
}

auto MemberLife::watchPosition(Term term, LogPosition position, TimePoint deadline) -> asio::awaitable<platform::PositionReport>
{
    const auto self = this->shared_from_this();
    ++this->counts.positionPolls;
    while (!this->over && timeNow() < deadline && this->core.state().term == term.value() && this->core.position() <= position) {
        co_await this->logChanged.wait(deadline);
    }
    co_return this->report();
}

auto MemberLife::watchLog(LogRequest request, TimePoint deadline) -> asio::awaitable<LogReply>
{
    const auto self = this->shared_from_this();
    const auto arrived = timeNow();
    while (!this->over && timeNow() < deadline && !this->core.hasNewsFor(request)) {
        co_await this->logChanged.wait(deadline);
    }
    auto reply = this->core.logAfter(request);
    const auto held = std::chrono::floor<std::chrono::milliseconds>(timeNow() - arrived);
    reply.heldMs = static_cast<std::uint64_t>(held.count());
    co_return reply;
}

auto MemberLife::report() -> platform::PositionReport
{
    this->core.advance(timeNow());
    return this->core.report(timeNow());
}

auto MemberLife::announcement(const Endpoint &endpoint) -> platform::Announcement
{
    const auto current = this->report();
    auto announcement = platform::Announcement();
    announcement.group = this->settings.group.value();
    announcement.id = this->settings.id.value();
    announcement.address = endpoint.address;
    announcement.port = endpoint.port;
    announcement.zone = this->settings.zone.value();
    announcement.incarnation = current.incarnation;
    announcement.term = current.term;
    announcement.role = current.role;
    announcement.lastTerm = current.lastTerm;
    announcement.position = current.position;
    announcement.slots = this->settings.slots;
    announcement.connectionLimit = this->settings.connectionLimit;
    announcement.leaving = this->leaving;
    return announcement;
}

auto MemberLife::pause(Duration duration) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(this->executor, duration);
    co_await timer.async_wait(awaitTuple);
}

auto MemberLife::enterSlot() -> asio::awaitable<void>
{
    auto turn = asio::steady_timer(this->executor, TimePoint::max());
    auto entered = false;
    this->slots.enter([&turn, &entered] {
        entered = true;
        turn.cancel();
    });
    if (!entered) {
        co_await turn.async_wait(awaitTuple);
    }
}

auto MemberLife::run(const ExecuteRequest &request, std::optional<Transaction> &transaction) -> ExecuteReply
{
    this->core.advance(timeNow());
    this->fillDatabase();
    auto reply = ExecuteReply();
    reply.request = request.request;
    reply.term = this->core.state().term;
    reply.position = this->core.appliedPosition().value();
    reply.ageMs = static_cast<std::uint64_t>(this->core.age(timeNow()).count());
    switch (request.operation) {
    case Operation::Statement:
        return transaction ? this->runInside(request, transaction, std::move(reply)) : this->runAlone(request, std::move(reply));
    case Operation::Begin:
        if (transaction) {
            return refused(std::move(reply), ExecuteStatus::Failed, "a transaction is open on this connection; end it first");
        }
        if (!this->core.mayWrite(Term(request.term))) {
            return wrongTerm(std::move(reply));
        }
        transaction.emplace(Transaction{Term(request.term), {}});
        return reply;
    case Operation::Commit:
        return this->commit(transaction, std::move(reply));
    case Operation::Rollback:
        transaction.reset();
        return reply;
    }
    return reply;
}

auto MemberLife::runAlone(const ExecuteRequest &request, ExecuteReply reply) -> ExecuteReply
{
    const auto term = Term(request.term);
    if (request.write ? !this->core.mayWrite(term) : !this->core.mayRead(term)) {
        return wrongTerm(std::move(reply));
    }
    reply = withResult(std::move(reply), this->database->run(request));
    if (request.write && reply.status == ExecuteStatus::Done) {
        reply.position = this->append({logged(request, reply)}).value();
    }
    return reply;
}

auto MemberLife::runInside(const ExecuteRequest &request, std::optional<Transaction> &transaction, ExecuteReply reply) -> ExecuteReply
{
    if (!this->core.mayWrite(transaction->term)) {
        transaction.reset();
        return wrongTerm(std::move(reply));
    }
    reply = withResult(std::move(reply), this->database->runAfter(transaction->statements, request));
    if (request.write && reply.status == ExecuteStatus::Done) {
        transaction->statements.push_back(logged(request, reply));
    }
    return reply;
}

auto MemberLife::commit(std::optional<Transaction> &transaction, ExecuteReply reply) -> ExecuteReply
{
    if (!transaction) {
        return refused(std::move(reply), ExecuteStatus::Failed, "no transaction is open on this connection; begin one first");
    }
    auto ending = std::exchange(transaction, std::nullopt);
    if (!this->core.mayWrite(ending->term)) {
        return wrongTerm(std::move(reply));
    }
    if (ending->statements.empty()) {
        return reply;
    }
    if (auto error = this->database->commit(ending->statements)) {
        return refused(std::move(reply), ExecuteStatus::Failed, std::move(*error));
    }
    reply.position = this->append(std::move(ending->statements)).value();
    return reply;
}

auto MemberLife::append(std::vector<LoggedStatement> statements) -> LogPosition
{
    const auto position = this->core.append(std::move(statements), timeNow());
    this->databasePosition = position;
    this->logChanged.notify();
    return position;
}

auto MemberLife::fillDatabase() -> void
{
    if (this->databaseCuts != this->core.cuts()) {
        this->database->clear();
        this->databasePosition = LogPosition(0);
        this->databaseCuts = this->core.cuts();
    }
    for (const auto &entry : this->core.visibleAfter(this->databasePosition)) {
        this->database->apply(entry);
    }
    this->databasePosition = this->core.appliedPosition();
}

auto MemberLife::partChanged() -> void
{
    this->logChanged.notify();
    this->announcementChanged.notify();
}

} // namespace sapphirespool::standin
