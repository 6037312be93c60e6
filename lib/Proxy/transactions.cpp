#include "transactions.h"

#include "statementrunner.h"

#include <charconv>
#include <utility>

namespace sapphirespool::proxy
{

namespace
{

/// Unreserved in addresses, so that ids need no escapes in a path, and not used in names of VMs.
constexpr auto separator = '~';

auto requestFor(platform::Operation operation, Term term) -> platform::ExecuteRequest
{
    auto request = platform::ExecuteRequest();
    request.operation = operation;
    request.term = term.value();
    request.write = true;
    return request;
}

auto rolledBack(RefusalReason reason, const std::string &detail) -> StatementError
{
    return StatementError{reason, detail + "; the transaction was rolled back", Executed::No};
}

} // namespace

auto parseTransactionId(const TransactionId &id) -> std::optional<TransactionName>
{
    const auto text = std::string_view(id.value());
    const auto first = text.find(separator);
    const auto second = text.find(separator, first == std::string_view::npos ? first : first + 1);
    if (first == std::string_view::npos || second == std::string_view::npos || first == 0) {
        return std::nullopt;
    }
    const auto digits = text.substr(first + 1, second - first - 1);
    auto incarnation = std::uint64_t{0};
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), incarnation);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return TransactionName{VmId(std::string(text.substr(0, first))), Incarnation(incarnation), std::string(text.substr(second + 1))};
}

auto makeTransactionId(const TransactionName &name) -> TransactionId
{
    return TransactionId(name.holder.value() + separator + std::to_string(name.incarnation.value()) + separator + name.number);
}

struct Transactions::Open
{
    Open(TransactionId id, ServiceId service, Grant grant, const boost::asio::any_io_executor &executor)
        : id(std::move(id))
        , service(std::move(service))
        , grant(std::move(grant))
        , idle(executor)
    {
    }

    TransactionId id;
    ServiceId service;
    Grant grant;
    TransactionState state;
    boost::asio::steady_timer idle;
};

Transactions::Transactions(std::shared_ptr<UpstreamAccess> access,
                           std::shared_ptr<WriteConfirmation> confirmation,
                           std::shared_ptr<SessionIds> ids,
                           boost::asio::any_io_executor executor,
                           ProxyLimits limits)
    : access(std::move(access))
    , confirmation(std::move(confirmation))
    , ids(std::move(ids))
    , executor(std::move(executor))
    , limits(limits)
{
}

auto Transactions::begin(BeginRequest request, GroupId group, decisions::Work work, TransactionName holder) -> boost::asio::awaitable<BeginOutcome>
{
    const auto self = this->shared_from_this();
    const auto deadline = work.deadline;
    auto obtained = co_await this->access->obtain(std::move(work), std::move(group));
    if (auto *const refusal = std::get_if<NotRun>(&obtained)) {
        co_return std::move(*refusal);
    }
    if (auto *const again = std::get_if<TryAgain>(&obtained)) {
        co_return std::move(std::get<NotRun>(again->lastResort));
    }
    auto &grant = std::get<Grant>(obtained);
    auto message = requestFor(platform::Operation::Begin, grant.term);
    auto exchanged = co_await grant.connection->execute(std::move(message), deadline);
    if (const auto *const failure = std::get_if<upstreams::ExchangeFailure>(&exchanged)) {
        this->access->suspect(grant);
        grant.slot.finish(decisions::WorkOutcome::Failed);
        co_return rolledBack(RefusalReason::AnswerLost, "no answer to the begin: " + failure->detail);
    }
    const auto &reply = std::get<platform::ExecuteReply>(exchanged);
    if (reply.status != platform::ExecuteStatus::Done) {
        grant.connection->close();
        co_return rolledBack(RefusalReason::NoPrimary, reply.detail);
    }
    co_return this->admit(std::move(grant), request.service, std::move(holder));
}

auto Transactions::admit(Grant grant, const ServiceId &service, TransactionName holder) -> TransactionBegun
{
    holder.number = this->ids->draw().value();
    auto id = makeTransactionId(holder);
    auto upstream = grant.upstream;
    const auto transaction = std::make_shared<Open>(id, service, std::move(grant), this->executor);
    this->transactions.emplace(id, transaction);
    this->armIdle(transaction);
    return TransactionBegun{std::move(id), std::move(upstream)};
}

auto Transactions::run(TransactionRequest request, sessions::SessionToken &token, TimePoint deadline) -> boost::asio::awaitable<Outcome>
{
    const auto self = this->shared_from_this();
    const auto found = this->transactions.find(request.id);
    if (found == this->transactions.end() || found->second->service != request.service) {
        co_return this->ended(request);
    }
    const auto transaction = found->second;
    const auto step = request.step;
    const auto accepted = step == TransactionStep::Statement ? transaction->state.tryStatement() : transaction->state.tryEnding();
    if (!accepted) {
        co_return NotRun{RefusalReason::MalformedRequest, "the transaction still runs its last request; wait for its answer"};
    }
    transaction->idle.cancel();
    if (step != TransactionStep::Rollback && this->access->hasForwardingEnded()) {
        this->end(transaction, decisions::WorkOutcome::NotRun);
        const auto outcome = rolledBack(RefusalReason::TransactionEnded, stopping().detail);
        this->remember(*transaction, step, outcome);
        co_return outcome;
    }
    if (step == TransactionStep::Statement) {
        auto outcome = co_await this->statement(transaction, std::move(request), deadline);
        co_return outcome;
    }
    if (step == TransactionStep::Rollback) {
        auto outcome = co_await this->rollback(transaction, deadline);
        this->remember(*transaction, step, outcome);
        co_return outcome;
    }
    auto outcome = co_await this->commit(transaction, token, deadline);
    this->remember(*transaction, step, outcome);
    co_return outcome;
}

auto Transactions::statement(std::shared_ptr<Open> transaction, TransactionRequest request, TimePoint deadline) -> boost::asio::awaitable<Outcome>
{
    auto &grant = transaction->grant;
    auto message = requestFor(platform::Operation::Statement, grant.term);
    message.write = request.statement.access == Access::Write;
    message.sql = std::move(request.statement.sql);
    message.params = std::move(request.statement.params);
    auto exchanged = co_await grant.connection->execute(std::move(message), deadline);
    if (const auto *const failure = std::get_if<upstreams::ExchangeFailure>(&exchanged)) {
        this->access->suspect(grant);
        this->end(transaction, decisions::WorkOutcome::Failed);
        co_return rolledBack(RefusalReason::AnswerLost, failure->detail);
    }
    auto &reply = std::get<platform::ExecuteReply>(exchanged);
    if (reply.status == platform::ExecuteStatus::WrongTerm || reply.status == platform::ExecuteStatus::Busy) {
        this->end(transaction, decisions::WorkOutcome::NotRun);
        co_return rolledBack(RefusalReason::TransactionEnded, reply.detail);
    }
    if (!transaction->state.tryContinue()) {
        co_return rolledBack(RefusalReason::TransactionEnded, "the proxy stops");
    }
    this->armIdle(transaction);
    if (reply.status == platform::ExecuteStatus::Failed) {
        co_return StatementError{RefusalReason::StatementFailed, reply.detail, Executed::No};
    }
    co_return Answer{toResult(std::move(reply)), grant.upstream, platform::Role::Primary};
}

auto Transactions::commit(std::shared_ptr<Open> transaction, sessions::SessionToken &token, TimePoint deadline) -> boost::asio::awaitable<Outcome>
{
    auto &grant = transaction->grant;
    if (!this->access->leaseCovers(std::chrono::milliseconds(0))) {
        this->end(transaction, decisions::WorkOutcome::NotRun);
        co_return rolledBack(RefusalReason::StaleView, staleView().detail);
    }
    auto message = requestFor(platform::Operation::Commit, grant.term);
    auto exchanged = co_await grant.connection->execute(std::move(message), deadline);
    if (const auto *const failure = std::get_if<upstreams::ExchangeFailure>(&exchanged)) {
        this->access->suspect(grant);
        const auto group = grant.group;
        this->end(transaction, decisions::WorkOutcome::Failed);
        if (!failure->sent) {
            co_return rolledBack(RefusalReason::TransactionEnded, failure->detail);
        }
        this->confirmation->noteLost(group, token);
        co_return OutcomeUnknown{RefusalReason::AnswerLost, "no answer to the commit: " + failure->detail};
    }
    auto &reply = std::get<platform::ExecuteReply>(exchanged);
    if (reply.status != platform::ExecuteStatus::Done) {
        grant.connection->close();
        this->end(transaction, decisions::WorkOutcome::NotRun);
        co_return rolledBack(RefusalReason::TransactionEnded, reply.detail);
    }
    auto outcome = co_await this->committed(transaction, std::move(reply), token, deadline);
    co_return outcome;
}

auto Transactions::committed(std::shared_ptr<Open> transaction, platform::ExecuteReply reply, sessions::SessionToken &token, TimePoint deadline)
    -> boost::asio::awaitable<Outcome>
{
    const auto upstream = transaction->grant.upstream;
    auto write = RanWrite{transaction->grant.group, Term(reply.term), LogPosition(reply.position)};
    this->end(transaction, decisions::WorkOutcome::Answered);
    auto unknown = co_await this->confirmation->confirm(std::move(write), token, deadline);
    if (unknown) {
        co_return std::move(*unknown);
    }
    co_return Answer{toResult(std::move(reply)), upstream, platform::Role::Primary};
}

auto Transactions::rollback(std::shared_ptr<Open> transaction, TimePoint deadline) -> boost::asio::awaitable<Outcome>
{
    auto &grant = transaction->grant;
    auto message = requestFor(platform::Operation::Rollback, grant.term);
    const auto exchanged = co_await grant.connection->execute(std::move(message), deadline);
    const auto *const reply = std::get_if<platform::ExecuteReply>(&exchanged);
    if (reply == nullptr || reply->status != platform::ExecuteStatus::Done) {
        grant.connection->close();
    }
    auto upstream = grant.upstream;
    this->end(transaction, decisions::WorkOutcome::Answered);
    co_return Answer{{}, std::move(upstream), platform::Role::Primary};
}

auto Transactions::end(const std::shared_ptr<Open> &transaction, decisions::WorkOutcome outcome) -> void
{
    if (!transaction->state.tryEnd()) {
        return;
    }
    transaction->idle.cancel();
    auto &grant = transaction->grant;
    // Work of this transaction may still be open on the connection. The next caller to get it would commit it with its own.
    if (grant.connection != nullptr && !grant.connection->isClean()) {
        grant.connection->close();
    }
    grant.connection = nullptr;
    grant.slot.finish(outcome);
    this->transactions.erase(transaction->id);
}

auto Transactions::remember(const Open &transaction, TransactionStep step, const Outcome &outcome) -> void
{
    if (this->remembered.insert_or_assign(transaction.id, Remembered{transaction.service, step, outcome}).second) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(this->executor, this->limits.transactionMemory);
        timer->async_wait([timer, id = transaction.id, weak = this->weak_from_this()](const boost::system::error_code &) {
            if (const auto self = weak.lock()) {
                self->remembered.erase(id);
            }
        });
    }
}

auto Transactions::ended(const TransactionRequest &request) const -> Outcome
{
    const auto found = this->remembered.find(request.id);
    if (found == this->remembered.end() || found->second.service != request.service) {
        return NotRun{RefusalReason::UnknownTransaction, "no open transaction " + request.id.value()};
    }
    // A caller that lost the answer to its commit sends it again and must learn how the first one ended, not "no such transaction".
    if (found->second.step == request.step) {
        return found->second.outcome;
    }
    return NotRun{RefusalReason::TransactionEnded, "the transaction has ended"};
}

auto Transactions::armIdle(const std::shared_ptr<Open> &transaction) -> void
{
    transaction->idle.expires_after(this->limits.transactionIdle);
    transaction->idle.async_wait([weak = this->weak_from_this(), transaction](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || self == nullptr || transaction->state.phase() != TransactionPhase::Begun) {
            return;
        }
        // A caller that went away would keep its slot, one of two to five, for ever.
        self->end(transaction, decisions::WorkOutcome::Answered);
        const auto outcome = rolledBack(RefusalReason::TransactionEnded, "the transaction was idle for too long");
        self->remember(*transaction, TransactionStep::Statement, outcome);
    });
}

auto Transactions::endAll() -> void
{
    const auto all = this->transactions;
    for (const auto &[id, transaction] : all) {
        if (transaction->grant.connection != nullptr) {
            transaction->grant.connection->close();
        }
        this->end(transaction, decisions::WorkOutcome::NotRun);
    }
}

auto Transactions::open() const -> std::size_t
{
    return this->transactions.size();
}

} // namespace sapphirespool::proxy
