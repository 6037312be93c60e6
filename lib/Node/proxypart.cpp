#include "proxypart.h"

#include "controlaccess.h"
#include "shutdowntimes.h"
#include "trafficthreads.h"

#include "sapphirespool/Decisions/factory.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Metrics/handler.h"
#include "sapphirespool/Metrics/metrics.h"
#include "sapphirespool/Node/node.h"
#include "sapphirespool/Operators/handler.h"
#include "sapphirespool/Platform/announcements.h"
#include "sapphirespool/ProxyRole/metricsrecorder.h"
#include "sapphirespool/ProxyRole/proxyrole.h"
#include "sapphirespool/Upstreams/connection.h"
#include "sapphirespool/Upstreams/pool.h"
#include "sapphirespool/Upstreams/positionwatch.h"

#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>

#include <future>
#include <utility>

namespace sapphirespool::node
{

namespace
{

namespace asio = boost::asio;

auto roleSettings(const settings::Settings &settings, Incarnation incarnation) -> proxy::ProxyRoleSettings
{
    auto role = proxy::ProxyRoleSettings();
    role.vm = settings.vm;
    role.zone = settings.zone;
    role.incarnation = incarnation;
    role.callers = settings.callers;
    role.peers = settings.peers;
    role.http = settings.limits;
    role.limits.keyWarmup = settings.keyWarmup;
    role.shutdown = shutdownTimes(settings.shutdown);
    return role;
}

auto dispatcherFor(const settings::Settings &settings) -> std::shared_ptr<decisions::Dispatcher>
{
    auto dispatcher = decisions::DispatcherSettings();
    dispatcher.vm = settings.vm;
    dispatcher.zone = settings.zone;
    return decisions::makeDispatcher(std::move(dispatcher));
}

} // namespace

class ProxyPart::Parts
{
public:
    Parts(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation)
        : traffic(traffic)
        , views(std::make_shared<membership::ViewHolder>())
        , link(linkToControl(controlLoop, settings, settings.vm, incarnation, this->views))
        , role(proxy::makeProxyRole(roleSettings(settings, incarnation), this->roleParts(settings)))
    {
    }

    auto close() -> void
    {
        this->traffic.runOnDispatch([this] {
            this->role->close();
        });
    }

    auto start() -> void
    {
        this->traffic.runOnDispatch([this] {
            this->role->start();
        });
    }

    auto drain() -> void
    {
        this->link->leave();
        auto drained = std::make_shared<std::promise<void>>();
        this->role->drain([drained] {
            drained->set_value();
        });
        drained->get_future().wait();
    }

private:
    auto roleParts(const settings::Settings &settings) -> proxy::ProxyRoleParts
    {
        auto parts = proxy::ProxyRoleParts();
        const auto dispatch = this->traffic.dispatch();
        parts.views = this->views;
        parts.control = this->link;
        parts.pool = upstreams::makePool(upstreams::makeHttpConnector(dispatch), dispatch);
        parts.watch = upstreams::makeHttpPositionWatch(dispatch);
        parts.dispatcher = dispatcherFor(settings);
        const auto metrics = std::make_shared<metrics::Metrics>();
        parts.recorder = proxy::makeMetricsRecorder(metrics);
        parts.routes.push_back({"/metrics", metrics::makeMetricsHandler(metrics)});
        parts.dispatch = dispatch;
        parts.sessions = this->traffic.sessions();
        const auto operators = operators::makeHandler(this->link);
        parts.routes.push_back({std::string(operators::configurationPath), operators});
        parts.routes.push_back({std::string(operators::statusPath), operators});
        const auto announcements = platform::makeAnnouncementHandler([link = this->link](platform::Announcement announcement) {
            link->announce(std::move(announcement));
        });
        parts.routes.push_back({"/v1/announcements", announcements});
        return parts;
    }

    TrafficThreads &traffic;
    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<membership::ControlLink> link;
    std::shared_ptr<proxy::ProxyRole> role;
};

ProxyPart::ProxyPart(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation)
    : parts(std::make_unique<Parts>(controlLoop, traffic, settings, incarnation))
{
}

ProxyPart::~ProxyPart() = default;

auto ProxyPart::start() -> void
{
    this->parts->start();
}

auto ProxyPart::drain() -> void
{
    this->parts->drain();
}

auto ProxyPart::close() -> void
{
    this->parts->close();
}

} // namespace sapphirespool::node
