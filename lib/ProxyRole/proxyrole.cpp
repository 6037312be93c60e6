#include "sapphirespool/ProxyRole/proxyrole.h"

#include "sapphirespool/Callers/handler.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Peers/peernetwork.h"
#include "sapphirespool/Proxy/trafficpath.h"
#include "sapphirespool/ProxyRole/gracefulshutdown.h"
#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"
#include "sapphirespool/Upstreams/pool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>
#include <utility>

namespace sapphirespool::proxy
{

namespace
{

namespace asio = boost::asio;

/// How often readiness and the progress of a stop are looked at: short beside the balancer's checks of about a second.
constexpr auto watchInterval = std::chrono::milliseconds(10);

/// Session ids must not repeat those of an earlier process, whose sessions may still be kept by other proxies.
auto drawSeed() -> std::uint64_t
{
    auto device = std::random_device();
    constexpr auto halfBits = 32U;
    return (std::uint64_t{device()} << halfBits) | device();
}

auto trafficParts(const ProxyRoleSettings &settings, const ProxyRoleParts &parts, std::shared_ptr<PeerLink> peers) -> TrafficParts
{
    auto traffic = TrafficParts();
    traffic.vm = settings.vm;
    traffic.incarnation = settings.incarnation;
    traffic.limits = settings.limits;
    traffic.views = parts.views;
    traffic.control = parts.control;
    traffic.pool = parts.pool;
    traffic.watch = parts.watch;
    traffic.dispatcher = parts.dispatcher;
    traffic.peers = std::move(peers);
    traffic.recorder = parts.recorder;
    traffic.dispatch = parts.dispatch;
    traffic.seed = drawSeed();
    return traffic;
}

class PlainProxyRole : public ProxyRole, public std::enable_shared_from_this<PlainProxyRole>
{
public:
    PlainProxyRole(ProxyRoleSettings givenSettings, ProxyRoleParts givenParts)
        : settings(std::move(givenSettings))
        , parts(std::move(givenParts))
        , network(peers::makePeerNetwork(this->settings.incarnation, this->parts.dispatch))
        , path(makeTrafficPath(trafficParts(this->settings, this->parts, this->network)))
        , readiness(std::make_shared<callers::Readiness>())
        , server(http::makeServer(this->parts.dispatch, this->parts.sessions, this->settings.http, this->makeRouter()))
        , shutdown(this->settings.shutdown)
        , watchTimer(this->parts.dispatch)
    {
    }

    auto start() -> ProxyEndpoints override
    {
        auto endpoints = ProxyEndpoints();
        endpoints.peers = this->network->listen(this->settings.peers, this->path);
        endpoints.callers = this->server->listen(this->settings.callers);
        this->path->start();
        this->watch();
        return endpoints;
    }

    auto viewChanged() -> void override
    {
        asio::post(this->parts.dispatch, [self = this->shared_from_this()] {
            self->path->viewChanged();
            self->followReadiness();
        });
    }

    auto drain(std::function<void()> done) -> void override
    {
        asio::post(this->parts.dispatch, [self = this->shared_from_this(), done = std::move(done)]() mutable {
            support::log(support::Event::ProcessDraining, {{"vm", self->settings.vm.value()}});
            self->drained = std::move(done);
            self->shutdown.begin(support::now());
            self->path->endForwardingAt(self->shutdown.forwardingEnd());
            self->readiness->ready = false;
        });
    }

    auto close() -> void override
    {
        this->readiness->ready = false;
        this->server->close();
        asio::post(this->parts.dispatch, [self = this->shared_from_this()] {
            self->closed = true;
            self->watchTimer.cancel();
            self->path->stop();
            self->network->close();
        });
    }

    auto counts(std::function<void(ProxyCounts)> done) -> void override
    {
        asio::post(this->parts.dispatch, [self = this->shared_from_this(), done = std::move(done)] {
            const auto traffic = self->path->counts();
            done(ProxyCounts{self->server->counts().connections, traffic.requests, traffic.transactions});
        });
    }

private:
    auto makeRouter() -> std::shared_ptr<http::Handler>
    {
        const auto router = std::make_shared<http::Router>(callers::makeHandler(this->path));
        const auto health = callers::makeHealthHandler(this->readiness);
        router->add("/healthz", health);
        router->add("/readyz", health);
        for (const auto &route : this->parts.routes) {
            router->add(route.prefix, route.handler);
        }
        return router;
    }

    auto watch() -> void
    {
        this->followReadiness();
        this->followShutdown();
        this->countConnections();
        if (this->closed || this->shutdown.phase() == ShutdownPhase::Done) {
            return;
        }
        this->watchTimer.expires_after(watchInterval);
        this->watchTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self != nullptr) {
                self->watch();
            }
        });
    }

    /// Without a view or a lease nearly everything would be refused; the balancer had better ask another proxy.
    auto followReadiness() -> void
    {
        const auto hasView = this->parts.views->current()->revision > Revision(0);
        const auto hasLease = this->parts.views->leaseLive(support::now());
        this->readiness->ready = this->shutdown.phase() == ShutdownPhase::Serving && hasView && hasLease;
    }

    /// The counts of the last look are what a scrape of the metrics shows.
    auto countConnections() -> void
    {
        const auto callers = this->server->counts();
        auto pooled = upstreams::PoolCounts();
        const auto view = this->parts.views->current();
        for (const auto &group : view->groups) {
            for (const auto &member : group.members) {
                const auto counts = this->parts.pool->counts(member.id);
                pooled.connecting += counts.connecting;
                pooled.idle += counts.idle;
                pooled.busy += counts.busy;
            }
        }
        auto &recorder = *this->parts.recorder;
        recorder.connections(metrics::ConnectionState::CallerOpen, callers.connections);
        recorder.connections(metrics::ConnectionState::CallerRunning, callers.running);
        recorder.connections(metrics::ConnectionState::UpstreamConnecting, pooled.connecting);
        recorder.connections(metrics::ConnectionState::UpstreamIdle, pooled.idle);
        recorder.connections(metrics::ConnectionState::UpstreamBusy, pooled.busy);
    }

    auto followShutdown() -> void
    {
        const auto traffic = this->path->counts();
        const auto work = RunningWork{traffic.requests, traffic.transactions, this->server->counts().running};
        const auto entered = this->shutdown.advance(work, support::now());
        if (!entered) {
            return;
        }
        switch (*entered) {
        case ShutdownPhase::Finishing:
            this->path->refuseNewWork();
            this->sayLeaving();
            break;
        case ShutdownPhase::Closing:
            this->server->drain();
            break;
        case ShutdownPhase::Done:
            this->finish();
            break;
        case ShutdownPhase::Serving:
        case ShutdownPhase::Unready:
        case ShutdownPhase::Answering:
            break;
        }
    }

    auto sayLeaving() -> void
    {
        if (this->parts.control != nullptr) {
            this->parts.control->leave();
        }
    }

    auto finish() -> void
    {
        this->path->stop();
        if (const auto done = std::exchange(this->drained, nullptr)) {
            done();
        }
    }

    ProxyRoleSettings settings;
    ProxyRoleParts parts;
    std::shared_ptr<peers::PeerNetwork> network;
    std::shared_ptr<TrafficPath> path;
    std::shared_ptr<callers::Readiness> readiness;
    std::shared_ptr<http::Server> server;
    GracefulShutdown shutdown;
    asio::steady_timer watchTimer;
    std::function<void()> drained;
    bool closed = false;
};

} // namespace

auto makeProxyRole(ProxyRoleSettings settings, ProxyRoleParts parts) -> std::shared_ptr<ProxyRole>
{
    return std::make_shared<PlainProxyRole>(std::move(settings), std::move(parts));
}

} // namespace sapphirespool::proxy
