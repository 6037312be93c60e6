#include "statementrunner.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sapphirespool::proxy
{

namespace
{

using std::chrono::milliseconds;

/// \return the work to submit, or nothing if the session has seen a later term than the view knows
auto workFor(const StatementJob &job, const membership::ClusterView &view, std::uint32_t attempt) -> std::optional<decisions::Work>
{
    auto work = decisions::Work();
    work.service = job.service;
    work.caller = job.caller;
    work.access = job.statement.access;
    work.deadline = job.deadline;
    work.maxAge = job.primaryOnly ? milliseconds(0) : job.maxAge;
    work.attempt = attempt;
    const auto *const group = view.findGroup(job.group);
    if (group == nullptr || !job.seen) {
        return work;
    }
    const auto debt = sessions::requiredPosition(*group, *job.seen);
    if (!debt) {
        return std::nullopt;
    }
    work.needed = decisions::NeededPosition{debt->term, debt->position};
    return work;
}

auto requestFor(const StatementJob &job, const Grant &grant) -> platform::ExecuteRequest
{
    const auto isWrite = job.statement.access == Access::Write;
    auto request = platform::ExecuteRequest();
    // A primary must be that of the term. Of a replica any term will do; its answer is checked against what the session has seen.
    request.term = grant.isPrimary ? grant.term.value() : 0;
    request.write = isWrite;
    request.sql = job.statement.sql;
    request.params = job.statement.params;
    return request;
}

auto mayRunTwice(const StatementJob &job) -> bool
{
    return job.statement.access == Access::Read && job.statement.repeatable;
}

/// An earlier attempt reached an upstream. What ends a later attempt as "not run" ends the request as unknown: the caller of a
/// request that may not be repeated would otherwise trust "not run" and send it again.
auto afterSend(Outcome outcome) -> Outcome
{
    if (const auto *const refusal = std::get_if<NotRun>(&outcome)) {
        return OutcomeUnknown{refusal->reason, refusal->detail + "; an earlier attempt was sent"};
    }
    return outcome;
}

auto refusedByUpstream(RefusalReason reason, const platform::ExecuteReply &reply) -> StatementError
{
    return StatementError{reason, reply.detail, Executed::No};
}

} // namespace

auto toResult(platform::ExecuteReply reply) -> upstreams::StatementResult
{
    auto result = upstreams::StatementResult();
    result.columns = std::move(reply.columns);
    result.rows = std::move(reply.rows);
    result.changes = reply.changes;
    result.term = Term(reply.term);
    result.position = LogPosition(reply.position);
    return result;
}

StatementRunner::StatementRunner(std::shared_ptr<UpstreamAccess> access,
                                 std::shared_ptr<Admission> admission,
                                 std::shared_ptr<WriteConfirmation> confirmation,
                                 std::shared_ptr<Recorder> recorder,
                                 boost::asio::any_io_executor executor,
                                 ProxyLimits limits)
    : access(std::move(access))
    , admission(std::move(admission))
    , confirmation(std::move(confirmation))
    , recorder(std::move(recorder))
    , executor(std::move(executor))
    , limits(limits)
{
}

auto StatementRunner::run(StatementJob job, sessions::SessionToken &token) -> boost::asio::awaitable<Outcome>
{
    auto sent = false;
    for (auto number = std::uint32_t{0};; ++number) {
        auto attempted = co_await this->attempt(job, number, token);
        if (auto *const outcome = std::get_if<Outcome>(&attempted)) {
            co_return sent ? afterSend(std::move(*outcome)) : std::move(*outcome);
        }
        auto &again = std::get<TryAgain>(attempted);
        sent = sent || again.sent;
        job.primaryOnly = job.primaryOnly || again.toPrimary;
        const auto now = std::chrono::steady_clock::now();
        if (number + 1 >= this->limits.attempts || now >= job.deadline) {
            co_return sent ? afterSend(std::move(again.lastResort)) : std::move(again.lastResort);
        }
        if (again.reason) {
            this->recorder->retried(job.service, *again.reason);
        }
        if (again.afterPause) {
            auto timer = boost::asio::steady_timer(this->executor, this->limits.retryPause);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }
}

auto StatementRunner::attempt(StatementJob &job, std::uint32_t number, sessions::SessionToken &token) -> boost::asio::awaitable<Attempted>
{
    auto work = workFor(job, *this->access->view(), number);
    if (!work) {
        co_return TryAgain{std::nullopt, staleView(), false, false, true};
    }
    auto obtained = co_await this->access->obtain(std::move(*work), job.group);
    if (auto *const refusal = std::get_if<NotRun>(&obtained)) {
        co_return Outcome(std::move(*refusal));
    }
    if (auto *const again = std::get_if<TryAgain>(&obtained)) {
        co_return std::move(*again);
    }
    auto &grant = std::get<Grant>(obtained);
    auto request = requestFor(job, grant);
    auto exchanged = co_await grant.connection->execute(std::move(request), job.deadline);
    if (const auto *const failure = std::get_if<upstreams::ExchangeFailure>(&exchanged)) {
        this->access->suspect(grant);
        grant.slot.finish(decisions::WorkOutcome::Failed);
        co_return this->lostAnswer(job, *failure, token);
    }
    auto &reply = std::get<platform::ExecuteReply>(exchanged);
    auto finished = co_await this->finish(job, std::move(grant), std::move(reply), token);
    co_return finished;
}

auto StatementRunner::lostAnswer(const StatementJob &job, const upstreams::ExchangeFailure &failure, sessions::SessionToken &token) -> Attempted
{
    if (!failure.sent) {
        return TryAgain{metrics::RetryReason::NotSent, NotRun{RefusalReason::ConnectFailed, failure.detail}};
    }
    auto lost = OutcomeUnknown{RefusalReason::AnswerLost, failure.detail};
    if (mayRunTwice(job)) {
        return TryAgain{metrics::RetryReason::ReadAnswerLost, std::move(lost), true};
    }
    // A write whose answer is lost may have run. Sent again it would book twice; the caller is told that nobody knows.
    if (job.statement.access == Access::Write) {
        this->confirmation->noteLost(job.group, token);
    }
    return Outcome(std::move(lost));
}

auto StatementRunner::finish(StatementJob &job, Grant grant, platform::ExecuteReply reply, sessions::SessionToken &token) -> boost::asio::awaitable<Attempted>
{
    switch (reply.status) {
    case platform::ExecuteStatus::Failed:
        grant.slot.finish(decisions::WorkOutcome::Rejected);
        co_return Outcome(refusedByUpstream(RefusalReason::StatementFailed, reply));
    case platform::ExecuteStatus::WrongTerm:
        grant.slot.finish(decisions::WorkOutcome::NotRun);
        co_return TryAgain{metrics::RetryReason::WrongTerm, refusedByUpstream(RefusalReason::NoPrimary, reply), false, false, true};
    case platform::ExecuteStatus::Busy:
        grant.slot.finish(decisions::WorkOutcome::NotRun);
        co_return TryAgain{metrics::RetryReason::UpstreamBusy, refusedByUpstream(RefusalReason::ConnectionLimit, reply), false, false, true};
    case platform::ExecuteStatus::Done:
        break;
    }
    grant.slot.finish(decisions::WorkOutcome::Answered);
    grant.connection = nullptr;
    const auto age = milliseconds(reply.ageMs);
    this->admission->observe({grant.group, grant.upstream, Term(reply.term), LogPosition(reply.position), age});
    if (job.statement.access == Access::Read) {
        co_return this->finishRead(job, grant, std::move(reply), token);
    }
    auto finished = co_await this->finishWrite(job, std::move(grant), std::move(reply), token);
    co_return finished;
}

auto StatementRunner::finishRead(StatementJob &job, const Grant &grant, platform::ExecuteReply reply, sessions::SessionToken &token) -> Attempted
{
    if (!this->isFresh(job, grant, reply)) {
        auto lastResort = OutcomeUnknown{RefusalReason::NoUpstream, "no upstream showed data as fresh as the session needs"};
        return TryAgain{std::nullopt, std::move(lastResort), true, true, false};
    }
    const auto age = job.primaryOnly ? milliseconds(0) : job.maxAge;
    if (!this->access->leaseCovers(age)) {
        return Outcome(OutcomeUnknown{RefusalReason::StaleView, "the lease on the view ran out while the read ran"});
    }
    const auto term = Term(reply.term);
    const auto position = LogPosition(reply.position);
    // The primary's position covers every write that was acknowledged before, those that the session had lost sight of included.
    if (grant.isPrimary && job.primaryOnly) {
        token.merge({job.group, term, position});
    }
    const auto role = grant.isPrimary ? platform::Role::Primary : platform::Role::Replica;
    return Outcome(Answer{toResult(std::move(reply)), grant.upstream, role});
}

auto StatementRunner::isFresh(const StatementJob &job, const Grant &grant, const platform::ExecuteReply &reply) const -> bool
{
    if (grant.isPrimary) {
        return true;
    }
    if (job.primaryOnly || milliseconds(reply.ageMs) > job.maxAge) {
        return false;
    }
    if (!job.seen) {
        return true;
    }
    // The replica was chosen by what it was known to hold; it may have been replaced or rolled back since. Only its own answer
    // shows whether the caller finds the write it has just made.
    const auto view = this->access->view();
    const auto *const group = view->findGroup(job.group);
    const auto debt = group == nullptr ? std::nullopt : sessions::requiredPosition(*group, *job.seen);
    return debt && sessions::covers(*group, *debt, {Term(reply.term), LogPosition(reply.position)});
}

auto StatementRunner::finishWrite(StatementJob &job, Grant grant, platform::ExecuteReply reply, sessions::SessionToken &token)
    -> boost::asio::awaitable<Attempted>
{
    auto write = RanWrite{job.group, Term(reply.term), LogPosition(reply.position)};
    auto unknown = co_await this->confirmation->confirm(std::move(write), token, job.deadline);
    if (unknown) {
        co_return Outcome(std::move(*unknown));
    }
    co_return Outcome(Answer{toResult(std::move(reply)), grant.upstream, platform::Role::Primary});
}

} // namespace sapphirespool::proxy
