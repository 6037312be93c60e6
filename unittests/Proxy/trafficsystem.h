// trafficsystem.h: several proxies before one group, all on one event loop.
#pragma once

#include "Proxy/fakes.h"

#include "sapphirespool/Proxy/trafficpath.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sapphirespool::proxy::testing
{

/// One proxy with its own parts.
struct FakeProxy
{
    VmId vm;
    std::uint64_t incarnation = 1;
    std::shared_ptr<membership::ViewHolder> views = std::make_shared<membership::ViewHolder>();
    std::shared_ptr<FakeWatch> watch = std::make_shared<FakeWatch>();
    std::shared_ptr<FakeDispatcher> dispatcher = std::make_shared<FakeDispatcher>();
    std::shared_ptr<FakeRecorder> recorder = std::make_shared<FakeRecorder>();
    std::shared_ptr<TrafficPath> path;
};

class TrafficSystem
{
public:
    asio::io_context io;
    std::shared_ptr<FakeGroup> group = std::make_shared<FakeGroup>();
    std::shared_ptr<FakeNetwork> network = std::make_shared<FakeNetwork>();
    std::vector<FakeProxy> proxies;
    ProxyLimits limits;
    membership::ClusterView view;

    explicit TrafficSystem(std::size_t count = 4)
    {
        this->limits.keyWarmup = std::chrono::milliseconds(0);
        this->limits.retryPause = std::chrono::milliseconds(1);
        this->view = this->firstView(count);
        this->proxies.resize(count);
        for (auto index = std::size_t{0}; index < count; ++index) {
            this->proxies[index].vm = vmOf(index);
            this->startProcess(index);
        }
        this->publish();
    }

    ~TrafficSystem()
    {
        for (auto &proxy : this->proxies) {
            proxy.path->stop();
        }
        this->io.restart();
        this->io.poll();
    }

    static auto vmOf(std::size_t index) -> VmId
    {
        return VmId("vm" + std::to_string(index));
    }

    /// Ends the process of a proxy with all that it knew, and starts it anew.
    auto restartProxy(std::size_t index) -> void
    {
        this->proxies[index].path->stop();
        ++this->proxies[index].incarnation;
        this->view.proxies[index].incarnation = Incarnation(this->proxies[index].incarnation);
        this->limits.keyWarmup = this->limits.keyLife;
        this->startProcess(index);
        this->publish();
    }

    /// Ends the process of a proxy for good, and control notices.
    auto loseProxy(std::size_t index) -> void
    {
        this->network->processes.erase(vmOf(index));
        this->proxies[index].path->stop();
        std::erase_if(this->view.proxies, [index](const membership::ProxyView &proxy) {
            return proxy.id == vmOf(index);
        });
        this->publish();
    }

    auto publish() -> void
    {
        this->view.revision = this->view.revision.next();
        for (auto &proxy : this->proxies) {
            proxy.views->publish(std::make_shared<const membership::ClusterView>(this->view));
            proxy.path->viewChanged();
        }
    }

    /// Promotes \p member to the primary of the next term, which keeps the log up to \p keptUpTo.
    auto promote(const UpstreamId &member, std::uint64_t keptUpTo) -> void
    {
        auto &groupView = this->view.groups.front();
        groupView.term = groupView.term.next();
        groupView.primary = member;
        groupView.history.push_back({groupView.term, LogPosition(keptUpTo)});
        this->group->log.resize(keptUpTo);
        this->group->member(member).term = groupView.term.value();
        this->group->member(member).applied = keptUpTo;
        this->publish();
    }

    /// Time that writes allow; absent: the service's own.
    std::optional<std::chrono::milliseconds> writeTimeout;

    auto write(std::size_t proxy, const std::string &sql, const std::string &token = {}, const std::string &key = {}) -> Reply
    {
        auto request = StatementRequest();
        request.timeout = this->writeTimeout;
        request.service = ServiceId("orders");
        request.statement.sql = sql;
        request.statement.access = Access::Write;
        request.sessionToken = token;
        if (!key.empty()) {
            request.key = IdempotencyKey(key);
        }
        return this->await(this->proxies[proxy].path->execute(std::move(request)));
    }

    auto read(std::size_t proxy, const std::string &token = {}) -> Reply
    {
        auto request = StatementRequest();
        request.service = ServiceId("orders");
        request.statement.sql = "select";
        request.statement.repeatable = true;
        request.sessionToken = token;
        return this->await(this->proxies[proxy].path->execute(std::move(request)));
    }

    auto begin(std::size_t proxy) -> BeginReply
    {
        auto request = BeginRequest();
        request.service = ServiceId("orders");
        return this->await(this->proxies[proxy].path->begin(std::move(request)));
    }

    auto step(std::size_t proxy, const TransactionId &id, TransactionStep step, const std::string &sql = {}) -> Reply
    {
        auto request = TransactionRequest();
        request.service = ServiceId("orders");
        request.id = id;
        request.step = step;
        request.statement.sql = sql;
        request.statement.access = Access::Write;
        return this->await(this->proxies[proxy].path->run(std::move(request)));
    }

    template <typename Result>
    auto await(asio::awaitable<Result> work) -> Result
    {
        auto result = std::optional<Result>();
        asio::co_spawn(this->io, store(std::move(work), result), asio::detached);
        this->io.restart();
        while (!result) {
            this->io.run_one();
        }
        return std::move(*result);
    }

private:
    template <typename Result>
    static auto store(asio::awaitable<Result> work, std::optional<Result> &result) -> asio::awaitable<void>
    {
        auto value = co_await std::move(work);
        result.emplace(std::move(value));
    }

    [[nodiscard]] auto firstView(std::size_t count) const -> membership::ClusterView
    {
        auto first = membership::ClusterView();
        auto service = membership::ServiceView();
        service.id = ServiceId("orders");
        service.group = GroupId("orders-1");
        service.readAge = std::chrono::milliseconds(2000);
        first.services.append(service);
        auto groupView = membership::GroupView();
        groupView.id = GroupId("orders-1");
        groupView.term = Term(1);
        groupView.primary = UpstreamId("u1");
        groupView.history = {{Term(1), LogPosition(0)}};
        for (const auto &member : this->group->members) {
            auto memberView = membership::UpstreamView();
            memberView.id = member.id;
            groupView.members.push_back(memberView);
        }
        first.groups.push_back(groupView);
        for (auto index = std::size_t{0}; index < count; ++index) {
            first.proxies.push_back({vmOf(index), ZoneId(std::to_string(index % 3)), Incarnation(1), {}, {}});
        }
        return first;
    }

    auto startProcess(std::size_t index) -> void
    {
        auto &proxy = this->proxies[index];
        auto parts = TrafficParts();
        parts.vm = proxy.vm;
        parts.incarnation = Incarnation(proxy.incarnation);
        parts.limits = this->limits;
        parts.views = proxy.views;
        parts.pool = std::make_shared<FakePool>(this->group);
        parts.watch = proxy.watch;
        parts.dispatcher = proxy.dispatcher;
        parts.peers = std::make_shared<FakePeerLink>(this->network);
        parts.recorder = proxy.recorder;
        parts.dispatch = this->io.get_executor();
        parts.seed = index * 100 + proxy.incarnation;
        proxy.views->extendLease(std::chrono::steady_clock::now() + std::chrono::hours(1));
        proxy.views->publish(std::make_shared<const membership::ClusterView>(this->view));
        proxy.path = makeTrafficPath(std::move(parts));
        proxy.path->start();
        this->network->processes[proxy.vm] = {proxy.path.get(), Incarnation(proxy.incarnation)};
    }
};

/// \return the reason of a reply that is no answer
inline auto reasonOf(const Reply &reply) -> std::optional<RefusalReason>
{
    if (const auto *const refusal = std::get_if<NotRun>(&reply.outcome)) {
        return refusal->reason;
    }
    if (const auto *const unknown = std::get_if<OutcomeUnknown>(&reply.outcome)) {
        return unknown->reason;
    }
    if (const auto *const error = std::get_if<StatementError>(&reply.outcome)) {
        return error->reason;
    }
    return std::nullopt;
}

/// \return what a reply says about the request having run
inline auto executedOf(const Reply &reply) -> Executed
{
    if (std::holds_alternative<NotRun>(reply.outcome)) {
        return Executed::No;
    }
    if (std::holds_alternative<OutcomeUnknown>(reply.outcome)) {
        return Executed::Unknown;
    }
    const auto *const error = std::get_if<StatementError>(&reply.outcome);
    return error == nullptr ? Executed::Yes : error->executed;
}

inline auto servedBy(const Reply &reply) -> std::string
{
    const auto *const answer = std::get_if<Answer>(&reply.outcome);
    return answer == nullptr ? std::string("nobody") : answer->servedBy.value();
}

/// \return the session id in a token
inline auto idOf(const std::string &token) -> std::string
{
    return token.substr(0, token.find('.'));
}

} // namespace sapphirespool::proxy::testing
