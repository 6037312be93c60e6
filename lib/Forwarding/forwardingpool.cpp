#include "sapphirespool/Forwarding/forwardingpool.h"

#include "fleetquota.h"
#include "ownerchannel.h"
#include "ownerserver.h"

#include "sapphirespool/Http/liveness.h"
#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace sapphirespool::forwarding
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
/// Backoff after a failed accept, which usually means that the process is out of file descriptors.
constexpr auto acceptBackoff = std::chrono::milliseconds(100);

using interactive::ConnectionCounts;
using interactive::ConnectionPool;
using interactive::FailureReply;
using interactive::LeaseResult;

/// Connections to one upstream that this proxy leases from other proxies, and the load that those last reported for the upstream.
struct RemoteUsage
{
    std::size_t busy = 0;
    std::map<VmId, std::uint32_t> loads;
};

class ForwardingPoolImpl : public ForwardingPool, public OwnedUpstreams, public PeerChannels, public std::enable_shared_from_this<ForwardingPoolImpl>
{
public:
    ForwardingPoolImpl(VmId self,
                       ZoneId zone,
                       std::shared_ptr<ConnectionPool> localPool,
                       std::shared_ptr<const membership::ViewHolder> views,
                       double quotaSlack,
                       const asio::any_io_executor &executor)
        : self(self)
        , fleetQuota(std::make_shared<FleetQuota>(self, zone, std::move(views), quotaSlack, support::now()))
        , ownership(std::move(self), std::move(zone))
        , localPool(std::move(localPool))
        , executor(executor)
        , acceptor(executor)
        , viewSignal(executor)
    {
    }

    auto listen(const Endpoint &endpoint) -> Endpoint override
    {
        const auto address = tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port);
        this->acceptor.open(address.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(address);
        this->acceptor.listen();
        asio::co_spawn(this->executor, accept(this->shared_from_this()), asio::detached);
        return {endpoint.address, this->acceptor.local_endpoint().port()};
    }

    auto viewChanged(std::shared_ptr<const membership::ClusterView> newView) -> void override
    {
        const auto previous = std::exchange(this->view, std::move(newView));
        this->ownership.viewChanged(*this->view);
        this->fleetQuota->connect(this->weak_from_this());
        this->fleetQuota->viewChanged(*this->view, support::now());
        for (const auto &group : this->view->groups) {
            for (const auto &member : group.members) {
                this->localPool->setLimits(member.id, this->ownership.share(group, member));
            }
        }
        this->clearRemovedMembers(previous.get());
        this->viewSignal.notify();
        for (auto channel = this->channels.begin(); channel != this->channels.end();) {
            const auto isUsable = updateChannel(this->view->findProxy(channel->first), channel->second);
            channel = isUsable ? std::next(channel) : this->channels.erase(channel);
        }
    }

    [[nodiscard]] auto quota() -> std::shared_ptr<interactive::QuotaGate> override
    {
        return this->fleetQuota;
    }

    auto endLendingAt(TimePoint end) -> void override
    {
        this->lendingEnd = end;
    }

    [[nodiscard]] auto lent() const -> LentWork override
    {
        auto work = LentWork();
        for (const auto &connection : this->inboundConnections) {
            const auto lent = connection->lent();
            work.leases += lent.leases;
            work.exchanges += lent.exchanges;
        }
        return work;
    }

    [[nodiscard]] auto mayLend() const -> bool override
    {
        return support::now() < this->lendingEnd;
    }

    auto close() -> void override
    {
        auto ignored = boost::system::error_code();
        this->acceptor.close(ignored);
        for (const auto &[vm, channel] : this->channels) {
            channel.channel->close();
        }
        const auto openConnections = std::vector<std::shared_ptr<OwnerConnection>>(this->inboundConnections.begin(), this->inboundConnections.end());
        for (const auto &connection : openConnections) {
            connection->close();
        }
    }

    auto acquire(GroupId group, membership::UpstreamView upstream, interactive::ConnectionRequest claim) -> asio::awaitable<LeaseResult> override
    {
        const auto keepAlive = this->shared_from_this();
        const auto *const groupView = this->view == nullptr ? nullptr : this->view->findGroup(group);
        const auto owners = groupView == nullptr ? std::vector<VmId>() : this->ownership.ownersOf(*groupView, upstream, claim.customer);
        if (owners.empty()) {
            co_return co_await this->localPool->acquire(group, upstream, std::move(claim));
        }
        const auto request = Acquire{group,
                                     upstream.id,
                                     claim.values,
                                     std::chrono::ceil<std::chrono::milliseconds>(claim.waitLimit),
                                     std::chrono::ceil<std::chrono::milliseconds>(claim.connectLimit),
                                     std::chrono::ceil<std::chrono::milliseconds>(claim.objective),
                                     claim.priority,
                                     claim.customer};
        const auto order = this->orderOwners(owners, upstream.id, claim.customer);
        auto failureReply
            = FailureReply{interactive::Failure::Busy, "no proxy that owns connections to " + upstream.id.value() + " answers", std::chrono::milliseconds(100)};
        for (const auto &owner : order) {
            auto result = co_await this->acquireFrom(owner, group, upstream, claim, request);
            if (!result) {
                continue;
            }
            auto *const refused = std::get_if<FailureReply>(&*result);
            if (refused == nullptr || !mayOtherOwnersServe(refused->failure)) {
                co_return std::move(*result);
            }
            failureReply = std::move(*refused);
        }
        co_return failureReply;
    }

    auto probe(GroupId group, membership::UpstreamView upstream, Duration limit, bool thorough) -> asio::awaitable<std::optional<FailureReply>> override
    {
        return this->localPool->probe(std::move(group), std::move(upstream), limit, thorough);
    }

    auto prove(GroupId group, membership::UpstreamView upstream, Duration maxAge, Duration limit)
        -> asio::awaitable<std::optional<interactive::PositionProof>> override
    {
        const auto keepAlive = this->shared_from_this();
        const auto *const groupView = this->view == nullptr ? nullptr : this->view->findGroup(group);
        const auto owners = groupView == nullptr ? std::vector<VmId>() : this->ownership.ownersOf(*groupView, upstream);
        if (owners.empty()) {
            co_return co_await this->localPool->prove(group, upstream, maxAge, limit);
        }
        const auto request
            = Prove{group, upstream.id, std::chrono::floor<std::chrono::milliseconds>(maxAge), std::chrono::ceil<std::chrono::milliseconds>(limit)};
        for (const auto &owner : this->orderOwners(owners, upstream.id, CustomerId())) {
            if (owner == this->self) {
                co_return co_await this->localPool->prove(group, upstream, maxAge, limit);
            }
            const auto channel = this->channelTo(owner);
            auto proof = std::optional<interactive::PositionProof>();
            if (channel != nullptr) {
                proof = co_await channel->prove(request);
            }
            if (proof) {
                co_return proof;
            }
        }
        co_return std::nullopt;
    }

    auto awaitOwned(GroupId group, UpstreamId upstream, Duration waitLimit) -> asio::awaitable<std::optional<membership::UpstreamView>> override
    {
        const auto keepAlive = this->shared_from_this();
        const auto deadline = std::chrono::steady_clock::now() + waitLimit;
        auto owned = this->findOwned(group, upstream);
        while (!owned && std::chrono::steady_clock::now() < deadline) {
            co_await this->viewSignal.wait(deadline);
            owned = this->findOwned(group, upstream);
        }
        co_return owned;
    }

    auto setLimits(const UpstreamId &, const interactive::ConnectionLimits &) -> void override
    {
        // Ignored: viewChanged() derives the limits from the view.
    }

    auto retire(const UpstreamId &upstream) -> void override
    {
        this->localPool->retire(upstream);
        if (const auto found = this->remoteUsages.find(upstream); found != this->remoteUsages.end() && found->second.busy == 0) {
            this->remoteUsages.erase(found);
        }
    }

    [[nodiscard]] auto counts(const UpstreamId &upstream) const -> ConnectionCounts override
    {
        auto counts = this->localPool->counts(upstream);
        if (const auto found = this->remoteUsages.find(upstream); found != this->remoteUsages.end()) {
            counts.busy += found->second.busy;
        }
        return counts;
    }

    [[nodiscard]] auto counts() const -> ConnectionCounts override
    {
        return this->localPool->counts();
    }

private:
    /// Load recorded for an owner that refused a lease.
    static constexpr auto refusedLoad = std::uint32_t{1'000};
    /// Statements at an owner below which a customer's own connection there serves sooner than a new one at another owner.
    static constexpr auto affinityLoad = std::uint32_t{6};

    struct Channel
    {
        Endpoint endpoint;
        Incarnation incarnation;
        std::shared_ptr<OwnerChannel> channel;
    };

    /// \return whether the failure concerns a single owner, so that others may still serve: it cannot reach the upstream, or its share of the
    ///         connections is not available yet. A saturated upstream concerns all owners: a statement would wait at each of them.
    static auto mayOtherOwnersServe(interactive::Failure failure) -> bool
    {
        return failure == interactive::Failure::Unreachable || failure == interactive::Failure::ConnectionLimit;
    }

    /// \return a lease from \p owner, or its refusal; nothing if it does not answer or is not an owner according to its own view
    auto acquireFrom(VmId owner, GroupId group, membership::UpstreamView upstream, interactive::ConnectionRequest claim, Acquire request)
        -> asio::awaitable<std::optional<LeaseResult>>
    {
        const auto keepAlive = this->shared_from_this();
        const auto id = upstream.id;
        if (owner == this->self) {
            co_return co_await this->localPool->acquire(std::move(group), std::move(upstream), std::move(claim));
        }
        const auto channel = this->channelTo(owner);
        if (channel == nullptr) {
            co_return std::nullopt;
        }
        ++this->remoteUsages[id].busy;
        auto result = co_await channel->acquire(std::move(request));
        auto &usage = this->remoteUsages[id];
        if (auto *const connection = std::get_if<std::shared_ptr<interactive::UpstreamConnection>>(&result.connection)) {
            usage.loads[owner] = result.load;
            co_return interactive::ConnectionLease(this->weak_from_this(), id, std::move(*connection));
        }
        --usage.busy;
        if (!result.answered || result.notOwner) {
            co_return std::nullopt;
        }
        usage.loads[owner] = refusedLoad;
        co_return std::get<FailureReply>(std::move(result.connection));
    }

    /// Applies the view's entry of an owner to its channel. Closes the channel if the owner is gone or has another endpoint.
    /// \return whether the channel can still be used
    static auto updateChannel(const membership::ProxyView *proxy, Channel &channel) -> bool
    {
        if (proxy == nullptr || proxy->peers != channel.endpoint) {
            channel.channel->close();
            return false;
        }
        if (std::exchange(channel.incarnation, proxy->incarnation) != proxy->incarnation) {
            channel.channel->ownerRestarted();
        }
        return true;
    }

    /// Sets the limits of members that are in \p previous and not in the current view to zero.
    auto clearRemovedMembers(const membership::ClusterView *previous) -> void
    {
        if (previous == nullptr) {
            return;
        }
        for (const auto &group : previous->groups) {
            const auto *const present = this->view->findGroup(group.id);
            for (const auto &member : group.members) {
                if (present == nullptr || present->findMember(member.id) == nullptr) {
                    this->localPool->setLimits(member.id, interactive::ConnectionLimits());
                }
            }
        }
    }

    static auto accept(std::shared_ptr<ForwardingPoolImpl> self) -> asio::awaitable<void>
    {
        auto pause = asio::steady_timer(self->executor);
        while (self->acceptor.is_open()) {
            auto [error, socket] = co_await self->acceptor.async_accept(awaitTuple);
            if (error) {
                pause.expires_after(acceptBackoff);
                co_await pause.async_wait(awaitTuple);
                continue;
            }
            self->serve(std::move(socket));
        }
    }

    auto serve(tcp::socket socket) -> void
    {
        auto framed = std::make_shared<FramedConnection>(std::move(socket));
        const auto connection = std::make_shared<OwnerConnection>(std::move(framed), this->localPool, this->weak_from_this(), this->fleetQuota);
        this->inboundConnections.insert(connection);
        connection->start([weak = this->weak_from_this(), weakConnection = std::weak_ptr(connection)] {
            if (const auto pool = weak.lock()) {
                pool->inboundConnections.erase(weakConnection.lock());
            }
        });
    }

    /// \return the upstream, if this proxy may open connections to it
    [[nodiscard]] auto findOwned(const GroupId &group, const UpstreamId &upstream) const -> std::optional<membership::UpstreamView>
    {
        const auto *const groupView = this->view == nullptr ? nullptr : this->view->findGroup(group);
        const auto *const member = groupView == nullptr ? nullptr : groupView->findMember(upstream);
        if (member == nullptr || this->ownership.share(*groupView, *member).connections == 0) {
            return std::nullopt;
        }
        return *member;
    }

    /// \return the owners sorted by reachability, then by load; equal ones stay in the order of \p owners. For a customer only a high load
    ///         counts, since its connections are open at the first of them
    auto orderOwners(const std::vector<VmId> &owners, const UpstreamId &upstream, const CustomerId &customer) -> std::vector<VmId>
    {
        auto &loads = this->remoteUsages[upstream].loads;
        const auto ignoredLoad = customer.value().empty() ? std::uint32_t{0} : affinityLoad;
        const auto rank = [this, &loads, ignoredLoad](const VmId &owner) {
            const auto channel = owner == this->self ? nullptr : this->channelTo(owner);
            const auto isUnreachable = channel != nullptr && !channel->isReachable();
            // The reported load decays: it is halved each time it is read, so that a stale one loses its effect after a few statements.
            auto &load = loads[owner];
            const auto reported = load;
            load /= 2;
            return std::pair(isUnreachable, reported < ignoredLoad ? 0 : reported);
        };
        auto ranked = std::vector<std::pair<std::pair<bool, std::uint32_t>, VmId>>();
        for (const auto &owner : owners) {
            ranked.emplace_back(rank(owner), owner);
        }
        std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
            return left.first < right.first;
        });
        auto order = std::vector<VmId>();
        for (auto &entry : ranked) {
            order.push_back(std::move(entry.second));
        }
        return order;
    }

    auto channelTo(const VmId &owner) -> std::shared_ptr<OwnerChannel> override
    {
        if (const auto found = this->channels.find(owner); found != this->channels.end()) {
            return found->second.channel;
        }
        const auto *const proxy = this->view->findProxy(owner);
        if (proxy == nullptr) {
            return nullptr;
        }
        const auto channel = std::make_shared<OwnerChannel>(this->executor, proxy->peers);
        this->channels.emplace(owner, Channel{proxy->peers, proxy->incarnation, channel});
        return channel;
    }

    auto returned(const UpstreamId &upstream, std::shared_ptr<interactive::UpstreamConnection> connection, bool clean) -> void override
    {
        if (const auto found = this->remoteUsages.find(upstream); found != this->remoteUsages.end() && found->second.busy > 0) {
            --found->second.busy;
        }
        releaseRemote(*connection, clean);
    }

    VmId self;
    std::shared_ptr<FleetQuota> fleetQuota;
    Ownership ownership;
    std::shared_ptr<ConnectionPool> localPool;
    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    std::shared_ptr<const membership::ClusterView> view;
    support::Signal viewSignal;
    std::map<VmId, Channel> channels;
    std::map<UpstreamId, RemoteUsage> remoteUsages;
    std::set<std::shared_ptr<OwnerConnection>> inboundConnections;
    TimePoint lendingEnd = TimePoint::max();
};

} // namespace

auto makeForwardingPool(VmId self,
                        ZoneId zone,
                        std::shared_ptr<ConnectionPool> localPool,
                        std::shared_ptr<const membership::ViewHolder> views,
                        double quotaSlack,
                        const asio::any_io_executor &executor) -> std::shared_ptr<ForwardingPool>
{
    return std::make_shared<ForwardingPoolImpl>(std::move(self), std::move(zone), std::move(localPool), std::move(views), quotaSlack, executor);
}

} // namespace sapphirespool::forwarding
