// fakes.h: a database group, proxies' peers and a dispatcher without any network, for the tests of the traffic path.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Proxy/peerlink.h"
#include "sapphirespool/Proxy/recorder.h"
#include "sapphirespool/Upstreams/pool.h"
#include "sapphirespool/Upstreams/positionwatch.h"

#include <functional>
#include <map>
#include <set>

namespace sapphirespool::proxy::testing
{

namespace asio = boost::asio;

/// One member of the group.
struct FakeMember
{
    UpstreamId id;
    std::uint64_t term = 1;
    std::uint64_t applied = 0;
    std::uint64_t ageMs = 0;
};

/// A group whose log is a list of statements; what is in a transaction enters it at the commit.
struct FakeGroup
{
    std::vector<FakeMember> members{{UpstreamId("u1")}, {UpstreamId("u2")}, {UpstreamId("u3")}};
    std::vector<std::string> log;
    /// Looked at before a request runs; an outcome given here replaces the answer.
    std::function<std::optional<upstreams::ExchangeOutcome>(const platform::ExecuteRequest &)> before;
    /// Looked at after a request ran; its answer is lost if this says so.
    std::function<bool(const platform::ExecuteRequest &)> loseAnswer;
    /// Upstreams to which no connection can be had.
    std::set<UpstreamId> unreachable;
    /// Upstreams to which connections were opened ahead of demand.
    std::set<UpstreamId> warmed;
    std::size_t connectionsOpened = 0;
    std::size_t connectionsClosed = 0;

    auto member(const UpstreamId &id) -> FakeMember &
    {
        for (auto &candidate : this->members) {
            if (candidate.id == id) {
                return candidate;
            }
        }
        throw std::logic_error("no such member");
    }

    auto append(UpstreamId at, const std::vector<std::string> &statements) -> std::uint64_t
    {
        this->log.insert(this->log.end(), statements.begin(), statements.end());
        this->member(at).applied = this->log.size();
        return this->log.size();
    }

    [[nodiscard]] auto count(const std::string &sql) const -> std::ptrdiff_t
    {
        return std::count(this->log.begin(), this->log.end(), sql);
    }
};

class FakeConnection : public upstreams::Connection
{
public:
    FakeConnection(std::shared_ptr<FakeGroup> group, UpstreamId upstream)
        : group(std::move(group))
        , upstream(std::move(upstream))
    {
    }

    auto execute(platform::ExecuteRequest request, TimePoint) -> asio::awaitable<upstreams::ExchangeOutcome> override
    {
        if (this->group->before) {
            auto instead = this->group->before(request);
            if (instead) {
                this->open = std::holds_alternative<platform::ExecuteReply>(*instead) && this->open;
                co_return std::move(*instead);
            }
        }
        auto reply = this->run(request);
        if (this->group->loseAnswer && this->group->loseAnswer(request)) {
            this->close();
            co_return upstreams::ExchangeFailure{true, "the answer was lost"};
        }
        co_return reply;
    }

    [[nodiscard]] auto isClean() const -> bool override
    {
        return this->open && !this->pending;
    }

    auto close() -> void override
    {
        this->open = false;
        this->pending.reset();
        ++this->group->connectionsClosed;
    }

private:
    auto run(const platform::ExecuteRequest &request) -> platform::ExecuteReply
    {
        auto &member = this->group->member(this->upstream);
        auto reply = platform::ExecuteReply();
        if (request.term != 0 && request.term != member.term) {
            reply.status = platform::ExecuteStatus::WrongTerm;
            reply.detail = "another term";
            return reply;
        }
        if (request.operation == platform::Operation::Begin) {
            this->pending.emplace();
        } else if (request.operation == platform::Operation::Commit) {
            this->group->append(this->upstream, this->pending.value_or(std::vector<std::string>()));
            this->pending.reset();
        } else if (request.operation == platform::Operation::Rollback) {
            this->pending.reset();
        } else if (this->pending) {
            this->pending->push_back(request.sql);
        } else if (request.write) {
            this->group->append(this->upstream, {request.sql});
        }
        reply.term = member.term;
        reply.position = member.applied;
        reply.ageMs = member.ageMs;
        reply.columns = {"position"};
        reply.rows.push_back(boost::json::array{member.applied});
        return reply;
    }

    std::shared_ptr<FakeGroup> group;
    UpstreamId upstream;
    std::optional<std::vector<std::string>> pending;
    bool open = true;
};

class FakePool : public upstreams::Pool
{
public:
    explicit FakePool(std::shared_ptr<FakeGroup> group)
        : group(std::move(group))
    {
    }

    auto acquire(membership::UpstreamView upstream, TimePoint) -> asio::awaitable<std::shared_ptr<upstreams::Connection>> override
    {
        if (this->group->unreachable.contains(upstream.id)) {
            co_return nullptr;
        }
        ++this->group->connectionsOpened;
        co_return std::make_shared<FakeConnection>(this->group, upstream.id);
    }

    auto setLimit(const UpstreamId &, std::uint32_t) -> void override
    {
    }

    auto warm(membership::UpstreamView upstream, std::uint32_t) -> void override
    {
        this->group->warmed.insert(upstream.id);
    }

    auto retire(const UpstreamId &) -> void override
    {
    }

    [[nodiscard]] auto counts(const UpstreamId &) const -> upstreams::PoolCounts override
    {
        return {0, 1, 0};
    }

private:
    std::shared_ptr<FakeGroup> group;
};

class FakeWatch : public upstreams::PositionWatch
{
public:
    upstreams::Confirmation next = upstreams::Confirmation::Confirmed;
    /// Runs before the confirmation is given.
    std::function<void()> before;

    auto confirm(GroupId, Term, LogPosition, TimePoint) -> asio::awaitable<upstreams::Confirmation> override
    {
        if (this->before) {
            this->before();
        }
        co_return this->next;
    }

    auto viewChanged(std::shared_ptr<const membership::ClusterView>) -> void override
    {
    }

    auto observe(std::function<void(const GroupId &, const platform::PositionReport &)>) -> void override
    {
    }
};

/// Starts everything at once: writes and current reads at the primary, other reads at `replica`.
class FakeDispatcher : public decisions::Dispatcher
{
public:
    UpstreamId replica = UpstreamId("u2");
    /// Refuses all work from this attempt on.
    std::optional<std::uint32_t> refuseFrom;
    std::size_t running = 0;
    std::vector<decisions::Work> submitted;

    auto submit(decisions::Work work, TimePoint) -> Actions override
    {
        this->submitted.push_back(work);
        if (this->refuseFrom && work.attempt >= *this->refuseFrom) {
            return {decisions::Refuse{work.id, RefusalReason::QueueFull, std::chrono::milliseconds(250)}};
        }
        const auto &group = this->view->groups.front();
        const auto needsPrimary = work.access == Access::Write || work.maxAge.count() == 0;
        if (needsPrimary && !group.primary) {
            return {decisions::Refuse{work.id, RefusalReason::NoPrimary, {}}};
        }
        ++this->running;
        return {decisions::Start{work.id, needsPrimary ? *group.primary : this->replica}};
    }

    auto finished(decisions::WorkId, decisions::WorkOutcome, TimePoint) -> Actions override
    {
        --this->running;
        return {};
    }

    auto cancel(decisions::WorkId, TimePoint) -> Actions override
    {
        return {};
    }

    auto observe(const decisions::Observation &, TimePoint) -> Actions override
    {
        return {};
    }

    auto viewChanged(std::shared_ptr<const membership::ClusterView> newView, TimePoint) -> Actions override
    {
        this->view = std::move(newView);
        return {};
    }

    auto shareChanged(const UpstreamId &, decisions::Share, TimePoint) -> Actions override
    {
        return {};
    }

    auto tick(TimePoint) -> Actions override
    {
        return {};
    }

    [[nodiscard]] auto nextTick() const -> std::optional<TimePoint> override
    {
        return std::nullopt;
    }

    [[nodiscard]] auto demand(const UpstreamId &) const -> decisions::SlotDemand override
    {
        return {};
    }

private:
    std::shared_ptr<const membership::ClusterView> view;
};

/// What all proxies' peer links share.
struct FakeNetwork
{
    struct Process
    {
        PeerService *service = nullptr;
        Incarnation incarnation;
    };

    std::map<VmId, Process> processes;
    std::set<VmId> unreachable;
    /// Calls of this kind are dropped if this says so.
    std::function<bool(const VmId &, std::string_view call)> drop;

    auto reach(const membership::ProxyView &peer, std::string_view call) -> PeerService *
    {
        const auto found = this->processes.find(peer.id);
        const auto isDropped = this->drop && this->drop(peer.id, call);
        if (found == this->processes.end() || found->second.incarnation != peer.incarnation || this->unreachable.contains(peer.id) || isDropped) {
            return nullptr;
        }
        return found->second.service;
    }
};

class FakePeerLink : public PeerLink
{
public:
    explicit FakePeerLink(std::shared_ptr<FakeNetwork> network)
        : network(std::move(network))
    {
    }

    auto startKey(membership::ProxyView peer, sessions::KeyStart start, std::chrono::milliseconds)
        -> asio::awaitable<std::optional<sessions::KeyReply>> override
    {
        auto *const service = this->network->reach(peer, "startKey");
        co_return service == nullptr ? std::nullopt : std::optional(service->startKey(start));
    }

    auto finishKey(membership::ProxyView peer, sessions::KeyFinish finish) -> void override
    {
        if (auto *const service = this->network->reach(peer, "finishKey")) {
            service->finishKey(finish);
        }
    }

    auto abandonKey(membership::ProxyView peer, sessions::KeyAbandon abandon) -> void override
    {
        if (auto *const service = this->network->reach(peer, "abandonKey")) {
            service->abandonKey(abandon);
        }
    }

    auto updateHome(membership::ProxyView peer, HomeUpdate update, std::chrono::milliseconds) -> asio::awaitable<bool> override
    {
        auto *const service = this->network->reach(peer, "updateHome");
        if (service != nullptr) {
            service->updateHome(update);
        }
        co_return service != nullptr;
    }

    auto findHome(membership::ProxyView peer, HomeQuery query, std::chrono::milliseconds) -> asio::awaitable<std::optional<sessions::TermPosition>> override
    {
        auto *const service = this->network->reach(peer, "findHome");
        co_return service == nullptr ? std::nullopt : service->findHome(query);
    }

    auto forward(membership::ProxyView peer, TransactionRequest request, std::chrono::milliseconds) -> asio::awaitable<ForwardOutcome> override
    {
        auto *const service = this->network->reach(peer, "forward");
        if (service == nullptr) {
            co_return PeerFailure{false};
        }
        auto reply = co_await service->runForwarded(std::move(request));
        co_return ForwardOutcome(std::move(reply));
    }

private:
    std::shared_ptr<FakeNetwork> network;
};

class FakeRecorder : public Recorder
{
public:
    std::map<RefusalReason, int> refusals;
    std::map<metrics::RetryReason, int> retries;
    std::map<metrics::ServedRole, int> answers;
    std::map<metrics::ConnectionState, std::uint64_t> states;
    /// Runs at each retry.
    std::function<void()> onRetry;

    auto served(const ServiceId &, Access, metrics::ServedRole role, Duration) -> void override
    {
        ++this->answers[role];
    }

    auto refused(const ServiceId &, RefusalReason reason) -> void override
    {
        ++this->refusals[reason];
    }

    auto connections(metrics::ConnectionState state, std::uint64_t count) -> void override
    {
        this->states[state] = count;
    }

    auto retried(const ServiceId &, metrics::RetryReason reason) -> void override
    {
        ++this->retries[reason];
        if (this->onRetry) {
            this->onRetry();
        }
    }
};

} // namespace sapphirespool::proxy::testing
