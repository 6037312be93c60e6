#include "interactivepart.h"

#include "callershutdown.h"
#include "controlaccess.h"
#include "sessionmetrics.h"
#include "shutdowntimes.h"

#include "sapphirespool/Callers/handler.h"
#include "sapphirespool/Forwarding/forwardingpool.h"
#include "sapphirespool/Http/router.h"
#include "sapphirespool/Http/server.h"
#include "sapphirespool/Membership/primaryabsence.h"
#include "sapphirespool/Metrics/handler.h"
#include "sapphirespool/Metrics/metrics.h"
#include "sapphirespool/Promotion/timing.h"
#include "sapphirespool/Support/clock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <future>
#include <utility>

namespace sapphirespool::node
{

namespace
{

namespace asio = boost::asio;

/// How often the state of the connections is entered into the metrics.
constexpr auto countInterval = std::chrono::milliseconds(1'000);

/// A read whose answer was lost may run again without another token, which takes up the rest of the tolerated slack.
constexpr auto splitPartOfSlack = 0.75;

auto quotaSlackOf(const settings::Settings &settings) -> double
{
    return splitPartOfSlack * static_cast<double>(settings.quotaSlack);
}

} // namespace

class InteractivePart::Parts : public std::enable_shared_from_this<Parts>
{
public:
    Parts(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation, Edge &edge)
        : traffic(traffic)
        , settings(settings)
        , views(std::make_shared<membership::ViewHolder>())
        , control(linkToControl(controlLoop, settings, settings.vm, incarnation, this->views))
        , metrics(std::make_shared<metrics::Metrics>())
        , pool(forwarding::makeForwardingPool(settings.vm,
                                              settings.zone,
                                              interactive::makeConnectionPool(edge.upstreamConnector(traffic.dispatch()), traffic.dispatch()),
                                              this->views,
                                              quotaSlackOf(settings),
                                              traffic.dispatch()))
        , sessions(interactive::makeSessionService(this->sessionParts()))
        , callers(edge.callerServer(traffic.dispatch(), this->sessions))
        , readiness(std::make_shared<callers::Readiness>())
        , shutdown(std::make_shared<CallerShutdown>(this->shutdownParts(), shutdownTimes(settings.shutdown)))
        , countTimer(traffic.dispatch())
    {
    }

    auto start() -> void
    {
        this->traffic.runOnDispatch([this] {
            this->views->onChange([weak = this->weak_from_this(), dispatch = this->traffic.dispatch()] {
                asio::post(dispatch, [weak] {
                    if (const auto self = weak.lock()) {
                        self->viewChanged();
                    }
                });
            });
            this->pool->viewChanged(this->views->current());
            this->pool->listen(this->settings.peers);
            this->callers->listen(this->settings.callers);
            this->serveHttp(this->settings.readiness, "/", callers::makeHealthHandler(this->readiness));
            this->serveHttp(this->settings.metrics, "/metrics", metrics::makeMetricsHandler(this->metrics));
            this->count();
        });
    }

    auto setControlVms(const std::vector<Endpoint> &controlVms) -> void
    {
        this->control->setControlVms(controlVms);
    }

    auto drain() -> void
    {
        auto drained = std::make_shared<std::promise<void>>();
        asio::post(this->traffic.dispatch(), [self = this->shared_from_this(), drained] {
            self->readiness->ready = false;
            self->shutdown->begin([drained] {
                drained->set_value();
            });
        });
        drained->get_future().wait();
    }

    auto close() -> void
    {
        this->views->onChange({});
        this->traffic.runOnDispatch([this] {
            this->shutdown->cancel();
            this->countTimer.cancel();
            this->callers->close();
            this->pool->close();
            for (const auto &server : this->servers) {
                server->close();
            }
        });
    }

private:
    auto sessionParts() -> interactive::SessionServiceDependencies
    {
        auto parts = interactive::SessionServiceDependencies();
        parts.zone = this->settings.zone;
        parts.views = this->views;
        parts.control = this->control;
        parts.pool = this->pool;
        parts.quota = this->pool->quota();
        parts.recorder = makeSessionMetrics(this->metrics);
        parts.executor = this->traffic.dispatch();
        return parts;
    }

    auto shutdownParts() -> CallerShutdownParts
    {
        auto parts = CallerShutdownParts();
        parts.sessions = this->sessions;
        parts.callers = this->callers;
        parts.pool = this->pool;
        parts.leave = [control = this->control] {
            control->leave();
        };
        parts.executor = this->traffic.dispatch();
        return parts;
    }

    auto serveHttp(const Endpoint &endpoint, std::string path, std::shared_ptr<http::Handler> handler) -> void
    {
        if (endpoint.port == 0) {
            return;
        }
        const auto router = std::make_shared<http::Router>(handler);
        router->add(std::move(path), handler);
        const auto dispatch = this->traffic.dispatch();
        this->servers.push_back(http::makeServer(
            dispatch,
            [dispatch] {
                return dispatch;
            },
            this->settings.limits,
            router));
        this->servers.back()->listen(endpoint);
    }

    auto viewChanged() -> void
    {
        this->pool->viewChanged(this->views->current());
        this->sessions->viewChanged();
        // A proxy that has once had a configuration keeps serving under it: the balancer asks each proxy alike, so that a readiness
        // that followed the link to control would take all of them out at the moment at which control is lost.
        const auto configured = this->views->current()->configuration > Revision(0);
        this->readiness->ready = configured && this->shutdown->isServing();
    }

    auto count() -> void
    {
        const auto links = this->pool->counts();
        this->metrics->setConnections(metrics::ConnectionState::CallerOpen, this->callers->connections());
        this->metrics->setConnections(metrics::ConnectionState::CallerRunning, this->sessions->counts().statements);
        this->metrics->setConnections(metrics::ConnectionState::UpstreamIdle, links.idle);
        this->metrics->setConnections(metrics::ConnectionState::UpstreamBusy, links.busy);
        this->metrics->setOverdueElections(this->primaryAbsence.note(*this->views->current(), support::now()));
        this->countTimer.expires_after(countInterval);
        this->countTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self != nullptr) {
                self->count();
            }
        });
    }

    TrafficThreads &traffic;
    settings::Settings settings;
    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<metrics::Metrics> metrics;
    membership::PrimaryAbsence primaryAbsence{promotion::electionLimit};
    std::shared_ptr<forwarding::ForwardingPool> pool;
    std::shared_ptr<interactive::SessionService> sessions;
    std::shared_ptr<CallerServer> callers;
    std::shared_ptr<callers::Readiness> readiness;
    std::vector<std::shared_ptr<http::Server>> servers;
    std::shared_ptr<CallerShutdown> shutdown;
    asio::steady_timer countTimer;
};

InteractivePart::InteractivePart(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation, Edge &edge)
    : parts(std::make_shared<Parts>(controlLoop, traffic, settings, incarnation, edge))
{
}

InteractivePart::~InteractivePart() = default;

auto InteractivePart::start() -> void
{
    this->parts->start();
}

auto InteractivePart::setControlVms(const std::vector<Endpoint> &controlVms) -> void
{
    this->parts->setControlVms(controlVms);
}

auto InteractivePart::drain() -> void
{
    this->parts->drain();
}

auto InteractivePart::close() -> void
{
    this->parts->close();
}

} // namespace sapphirespool::node
