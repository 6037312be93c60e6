#include "sapphirespool/Proxy/trafficpath.h"

#include "admission.h"
#include "homeguard.h"
#include "keyguard.h"
#include "localrecords.h"
#include "peercalls.h"
#include "statementrunner.h"
#include "transactions.h"
#include "upstreamaccess.h"
#include "viewfollower.h"
#include "writeconfirmation.h"

#include "sapphirespool/Sessions/token.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::proxy
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// How often the view is looked at if nobody says that it changed: well under the few seconds in which a change has to be in force.
constexpr auto viewInterval = milliseconds(20);

/// A proxy that has just started knows no service at all. Told "unknown", the caller would give up on a service that exists.
auto withoutService(const membership::ClusterView &view, const ServiceId &service) -> NotRun
{
    if (view.revision == Revision()) {
        return staleView();
    }
    return NotRun{RefusalReason::UnknownService, "no service " + service.value()};
}

struct RefusalCounter
{
    Recorder &recorder;
    const ServiceId &service;

    auto operator()(const Answer &) const -> void
    {
    }

    auto operator()(const TransactionBegun &) const -> void
    {
    }

    template <typename Refusal>
    auto operator()(const Refusal &refusal) const -> void
    {
        this->recorder.refused(this->service, refusal.reason);
    }
};

/// Counts a request while it runs, however it ends.
class Running
{
public:
    explicit Running(std::size_t &count)
        : count(count)
    {
        ++this->count;
    }

    ~Running()
    {
        --this->count;
    }

    Running(const Running &) = delete;
    auto operator=(const Running &) -> Running & = delete;

private:
    std::size_t &count;
};

class PlainTrafficPath : public TrafficPath, public std::enable_shared_from_this<PlainTrafficPath>
{
public:
    explicit PlainTrafficPath(TrafficParts parts)
        : parts(std::move(parts))
        , records(this->parts.vm, this->parts.limits, std::chrono::steady_clock::now())
        , ids(std::make_shared<SessionIds>(this->parts.seed))
        , calls(std::make_shared<PeerCalls>(this->parts.vm, this->parts.peers, *this, this->parts.limits.peerTimeout))
        , admission(std::make_shared<Admission>(this->parts.dispatch, this->parts.dispatcher))
        , access(std::make_shared<UpstreamAccess>(
              this->parts.views, this->parts.control, this->admission, this->parts.pool, this->parts.recorder, this->parts.seed))
        , homes(std::make_shared<HomeGuard>(this->calls, this->parts.dispatch))
        , confirmation(std::make_shared<WriteConfirmation>(this->access, this->parts.watch, this->homes, this->ids))
        , runner(this->access, this->admission, this->confirmation, this->parts.recorder, this->parts.dispatch, this->parts.limits)
        , transactions(std::make_shared<Transactions>(this->access, this->confirmation, this->ids, this->parts.dispatch, this->parts.limits))
        , keys(this->parts.vm, this->parts.incarnation, this->calls, this->parts.dispatch, this->parts.limits)
        , follower(this->parts.views, this->parts.pool, this->parts.watch, this->admission, this->records)
        , viewTimer(this->parts.dispatch)
    {
    }

    auto execute(StatementRequest request) -> asio::awaitable<Reply> override
    {
        const auto self = this->shared_from_this();
        auto reply = co_await asio::co_spawn(this->parts.dispatch, executeHere(self, std::move(request)), asio::use_awaitable);
        co_return reply;
    }

    auto begin(BeginRequest request) -> asio::awaitable<BeginReply> override
    {
        const auto self = this->shared_from_this();
        auto reply = co_await asio::co_spawn(this->parts.dispatch, beginHere(self, std::move(request)), asio::use_awaitable);
        co_return reply;
    }

    auto run(TransactionRequest request) -> asio::awaitable<Reply> override
    {
        const auto self = this->shared_from_this();
        auto reply = co_await asio::co_spawn(this->parts.dispatch, runHere(self, std::move(request)), asio::use_awaitable);
        co_return reply;
    }

    auto start() -> void override
    {
        this->parts.watch->observe([weak = this->weak_from_this()](const GroupId &group, const platform::PositionReport &report) {
            if (const auto self = weak.lock()) {
                self->observe(group, report);
            }
        });
        this->viewChanged();
        this->armViewTimer();
    }

    auto viewChanged() -> void override
    {
        this->follower.look();
    }

    auto refuseNewWork() -> void override
    {
        this->draining = true;
    }

    auto endForwardingAt(TimePoint end) -> void override
    {
        this->access->endForwardingAt(end);
    }

    auto stop() -> void override
    {
        this->draining = true;
        this->stopped = true;
        this->viewTimer.cancel();
        this->transactions->endAll();
        this->admission->stop();
    }

    [[nodiscard]] auto counts() const -> TrafficCounts override
    {
        return TrafficCounts{this->requests, this->transactions->open()};
    }

    auto startKey(const sessions::KeyStart &start) -> sessions::KeyReply override
    {
        return this->records.startKey(start, std::chrono::steady_clock::now());
    }

    auto finishKey(const sessions::KeyFinish &finish) -> void override
    {
        this->records.finishKey(finish, std::chrono::steady_clock::now());
    }

    auto abandonKey(const sessions::KeyAbandon &abandon) -> void override
    {
        this->records.abandonKey(abandon);
    }

    auto updateHome(const HomeUpdate &update) -> void override
    {
        this->records.updateHome(update, std::chrono::steady_clock::now());
    }

    auto findHome(const HomeQuery &query) -> std::optional<sessions::TermPosition> override
    {
        return this->records.findHome(query, std::chrono::steady_clock::now());
    }

    auto runForwarded(TransactionRequest request) -> asio::awaitable<Reply> override
    {
        const auto running = Running(this->requests);
        auto reply = co_await this->runAtHolder(std::move(request));
        co_return reply;
    }

private:
    using Self = std::shared_ptr<PlainTrafficPath>;

    static auto executeHere(Self self, StatementRequest request) -> asio::awaitable<Reply>
    {
        const auto running = Running(self->requests);
        const auto started = std::chrono::steady_clock::now();
        const auto service = request.service;
        const auto accessKind = request.statement.access;
        auto reply = co_await self->executeCounted(std::move(request));
        std::visit(RefusalCounter{*self->parts.recorder, service}, reply.outcome);
        if (const auto *const answer = std::get_if<Answer>(&reply.outcome)) {
            const auto isPrimary = answer->servedRole == platform::Role::Primary;
            const auto role = isPrimary ? metrics::ServedRole::Primary : metrics::ServedRole::Replica;
            self->parts.recorder->served(service, accessKind, role, std::chrono::steady_clock::now() - started);
        }
        co_return reply;
    }

    auto executeCounted(StatementRequest request) -> asio::awaitable<Reply>
    {
        const auto view = this->parts.views->current();
        const auto *const service = view->findService(request.service);
        auto refusal = this->refuseEarly(service, request.service);
        if (refusal) {
            co_return Reply{std::move(*refusal), request.sessionToken};
        }
        auto decoded = this->sessionOf(request.sessionToken);
        if (const auto *const error = std::get_if<sessions::TokenError>(&decoded)) {
            co_return Reply{NotRun{RefusalReason::MalformedRequest, std::string(sessions::describe(*error))}, {}};
        }
        auto &token = std::get<sessions::SessionToken>(decoded);
        const auto deadline = this->deadlineOf(*service, request.timeout, request.key.has_value());
        if (!request.key) {
            auto reply = co_await this->executeOnce(view, std::move(request), std::move(token), deadline);
            co_return reply;
        }
        auto begun = co_await this->keys.begin(view, request, deadline);
        if (auto *const reply = std::get_if<Reply>(&begun)) {
            if (reply->sessionToken.empty()) {
                reply->sessionToken = sessions::encode(token);
            }
            co_return std::move(*reply);
        }
        const auto ticket = std::get<KeyTicket>(std::move(begun));
        auto reply = co_await this->executeOnce(view, std::move(request), std::move(token), deadline);
        this->keys.end(ticket, reply);
        co_return reply;
    }

    auto executeOnce(std::shared_ptr<const membership::ClusterView> view, StatementRequest request, sessions::SessionToken token, TimePoint deadline)
        -> asio::awaitable<Reply>
    {
        const auto *const service = view->findService(request.service);
        auto job = StatementJob();
        job.service = request.service;
        job.group = service->group;
        job.caller = decisions::CallerId(request.caller.empty() ? token.id().value() : request.caller);
        job.deadline = deadline;
        job.maxAge = request.maxAge.value_or(service->readAge);
        job.statement = std::move(request.statement);
        if (job.statement.access == Access::Read) {
            co_await this->findNeeds(job, view, token, request.sessionToken);
        }
        auto outcome = co_await this->runner.run(std::move(job), token);
        co_return Reply{std::move(outcome), sessions::encode(token)};
    }

    /// Fills in what the session's reads must reach.
    auto findNeeds(StatementJob &job, std::shared_ptr<const membership::ClusterView> view, sessions::SessionToken &token, std::string brought)
        -> asio::awaitable<void>
    {
        if (const auto *const seen = token.find(job.group)) {
            job.seen = sessions::TermPosition{seen->term, seen->position};
            co_return;
        }
        if (token.isComplete()) {
            co_return;
        }
        const auto broughtIdAlone = brought.find('.') == std::string::npos;
        if (broughtIdAlone && job.maxAge.count() > 0) {
            auto query = HomeQuery{token.id(), job.group};
            job.seen = co_await this->homes->find(view, std::move(query));
        }
        job.primaryOnly = !job.seen;
    }

    static auto beginHere(Self self, BeginRequest request) -> asio::awaitable<BeginReply>
    {
        const auto running = Running(self->requests);
        const auto service = request.service;
        auto reply = co_await self->beginCounted(std::move(request));
        std::visit(RefusalCounter{*self->parts.recorder, service}, reply.outcome);
        co_return reply;
    }

    auto beginCounted(BeginRequest request) -> asio::awaitable<BeginReply>
    {
        const auto view = this->parts.views->current();
        const auto *const service = view->findService(request.service);
        auto refusal = this->refuseEarly(service, request.service);
        if (refusal) {
            co_return BeginReply{std::move(*refusal), request.sessionToken};
        }
        auto decoded = this->sessionOf(request.sessionToken);
        if (const auto *const error = std::get_if<sessions::TokenError>(&decoded)) {
            co_return BeginReply{NotRun{RefusalReason::MalformedRequest, std::string(sessions::describe(*error))}, {}};
        }
        const auto &token = std::get<sessions::SessionToken>(decoded);
        auto work = decisions::Work();
        work.service = request.service;
        work.caller = decisions::CallerId(request.caller.empty() ? token.id().value() : request.caller);
        work.access = Access::Write;
        work.deadline = this->deadlineOf(*service, request.timeout, false);
        work.transaction = true;
        auto group = service->group;
        auto holder = TransactionName{this->parts.vm, this->parts.incarnation, {}};
        auto outcome = co_await this->transactions->begin(std::move(request), std::move(group), std::move(work), std::move(holder));
        co_return BeginReply{std::move(outcome), sessions::encode(token)};
    }

    static auto runHere(Self self, TransactionRequest request) -> asio::awaitable<Reply>
    {
        const auto running = Running(self->requests);
        const auto service = request.service;
        auto reply = co_await self->route(std::move(request));
        std::visit(RefusalCounter{*self->parts.recorder, service}, reply.outcome);
        co_return reply;
    }

    /// Runs a step here or at the proxy that holds the transaction.
    auto route(TransactionRequest request) -> asio::awaitable<Reply>
    {
        const auto name = parseTransactionId(request.id);
        if (!name) {
            co_return Reply{NotRun{RefusalReason::UnknownTransaction, "no transaction has the id " + request.id.value()}, request.sessionToken};
        }
        if (name->holder == this->parts.vm && name->incarnation == this->parts.incarnation) {
            auto reply = co_await this->runAtHolder(std::move(request));
            co_return reply;
        }
        const auto view = this->parts.views->current();
        const auto *const holder = view->findProxy(name->holder);
        if (holder == nullptr || holder->incarnation != name->incarnation) {
            co_return Reply{holderLost(request.step), request.sessionToken};
        }
        auto peer = *holder;
        auto reply = co_await this->forward(std::move(peer), std::move(request));
        co_return reply;
    }

    auto forward(membership::ProxyView peer, TransactionRequest request) -> asio::awaitable<Reply>
    {
        const auto token = request.sessionToken;
        const auto view = this->parts.views->current();
        const auto *const service = view->findService(request.service);
        const auto timeout = request.timeout.value_or(service == nullptr ? this->parts.limits.peerTimeout : service->timeout);
        const auto allowed = std::min(timeout, this->parts.limits.longestTimeout);
        request.timeout = allowed;
        const auto vm = peer.id;
        auto forwarded = co_await this->parts.peers->forward(std::move(peer), std::move(request), allowed);
        if (auto *const reply = std::get_if<Reply>(&forwarded)) {
            co_return std::move(*reply);
        }
        if (!std::get<PeerFailure>(forwarded).sent) {
            co_return Reply{NotRun{RefusalReason::PeerUnreachable, "proxy " + vm.value() + ", which holds the transaction, cannot be reached"}, token};
        }
        co_return Reply{OutcomeUnknown{RefusalReason::AnswerLost, "no answer from proxy " + vm.value() + ", which holds the transaction"}, token};
    }

    /// The process that held the connection is gone, and with the connection went the transaction. Only a commit that was sent before
    /// may have taken effect, and of that nobody is left to tell.
    static auto holderLost(TransactionStep step) -> Outcome
    {
        if (step == TransactionStep::Commit) {
            return OutcomeUnknown{RefusalReason::TransactionHolderLost,
                                  "the proxy that held the transaction is gone; unless a commit of it was sent before, it was rolled back"};
        }
        return StatementError{
            RefusalReason::TransactionHolderLost, "the proxy that held the transaction is gone; the transaction was rolled back", Executed::No};
    }

    auto runAtHolder(TransactionRequest request) -> asio::awaitable<Reply>
    {
        auto decoded = this->sessionOf(request.sessionToken);
        if (const auto *const error = std::get_if<sessions::TokenError>(&decoded)) {
            co_return Reply{NotRun{RefusalReason::MalformedRequest, std::string(sessions::describe(*error))}, {}};
        }
        auto &token = std::get<sessions::SessionToken>(decoded);
        const auto view = this->parts.views->current();
        const auto *const service = view->findService(request.service);
        if (service == nullptr) {
            co_return Reply{withoutService(*view, request.service), request.sessionToken};
        }
        const auto deadline = this->deadlineOf(*service, request.timeout, false);
        auto outcome = co_await this->transactions->run(std::move(request), token, deadline);
        co_return Reply{std::move(outcome), sessions::encode(token)};
    }

    [[nodiscard]] auto refuseEarly(const membership::ServiceView *service, const ServiceId &name) const -> std::optional<NotRun>
    {
        if (this->draining) {
            return stopping();
        }
        if (service == nullptr) {
            return withoutService(*this->parts.views->current(), name);
        }
        return std::nullopt;
    }

    auto sessionOf(const std::string &text) -> sessions::DecodedToken
    {
        if (text.empty()) {
            return sessions::SessionToken(this->ids->draw());
        }
        return sessions::decode(text);
    }

    [[nodiscard]] auto deadlineOf(const membership::ServiceView &service, std::optional<milliseconds> asked, bool keyed) const -> TimePoint
    {
        auto longest = this->parts.limits.longestTimeout;
        if (keyed) {
            // A request that outlived the record of its key could run a second time beside the resend.
            longest = std::min(longest, this->parts.limits.keyLife / 2);
        }
        return std::chrono::steady_clock::now() + std::min(asked.value_or(service.timeout), longest);
    }

    auto observe(const GroupId &group, const platform::PositionReport &report) -> void
    {
        const auto age = milliseconds(report.ageMs);
        this->admission->observe({group, UpstreamId(report.id), Term(report.term), LogPosition(report.applied), age});
    }

    auto armViewTimer() -> void
    {
        this->viewTimer.expires_after(viewInterval);
        this->viewTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (error || self == nullptr || self->stopped) {
                return;
            }
            self->viewChanged();
            self->armViewTimer();
        });
    }

    TrafficParts parts;
    LocalRecords records;
    std::shared_ptr<SessionIds> ids;
    std::shared_ptr<PeerCalls> calls;
    std::shared_ptr<Admission> admission;
    std::shared_ptr<UpstreamAccess> access;
    std::shared_ptr<HomeGuard> homes;
    std::shared_ptr<WriteConfirmation> confirmation;
    StatementRunner runner;
    std::shared_ptr<Transactions> transactions;
    KeyGuard keys;
    ViewFollower follower;
    asio::steady_timer viewTimer;
    std::size_t requests = 0;
    bool draining = false;
    bool stopped = false;
};

} // namespace

auto makeTrafficPath(TrafficParts parts) -> std::shared_ptr<TrafficPath>
{
    return std::make_shared<PlainTrafficPath>(std::move(parts));
}

} // namespace sapphirespool::proxy
