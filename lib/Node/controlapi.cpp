#include "controlapi.h"

#include "controlaccess.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::node
{

namespace
{

/// The link is one of the control VM's own parts and takes no callers; the proxy on the same VM has a name of its own.
auto linkName(const settings::Settings &settings) -> VmId
{
    return VmId(settings.vm.value() + "-operators");
}

/// \return the own address at which this process redirects to control VMs, if they are found by seeds. It may know one when no seed can be
/// reached.
auto ownAddress(const settings::Settings &settings) -> std::optional<Endpoint>
{
    if (!settings.controlFoundBySeeds) {
        return std::nullopt;
    }
    return settings.control ? settings.controlEndpoint() : settings.directoryEndpoint();
}

auto linkSettings(const settings::Settings &settings, Incarnation incarnation) -> control::ProxyLinkSettings
{
    auto about = proxyLinkSettings(settings, linkName(settings), incarnation);
    // Control VMs announce themselves to the VMs that register with an address for control VMs and none for callers.
    if (const auto directory = settings.directoryEndpoint()) {
        about.callers = Endpoint();
        about.peers = *directory;
    }
    return about;
}

} // namespace

ControlApi::ControlApi(rpc::LoopThread &controlLoop,
                       TrafficThreads &traffic,
                       const settings::Settings &settings,
                       Incarnation incarnation,
                       Edge &edge,
                       std::function<void(std::vector<Endpoint>)> onLease)
    : traffic(traffic)
    , own(ownAddress(settings))
    , views(std::make_shared<membership::ViewHolder>())
{
    auto about = linkSettings(settings, incarnation);
    about.controlVms = this->withOwn(std::move(about.controlVms));
    about.onLease = std::move(onLease);
    this->control = control::makeProxyLink(controlLoop, std::move(about), this->views);
    this->traffic.runOnDispatch([&] {
        const auto dispatch = traffic.dispatch();
        const auto sessions = [dispatch] {
            return dispatch;
        };
        this->server = http::makeServer(dispatch, sessions, settings.limits, edge.controlHandler(this->control, this->views));
        this->server->listen(settings.operators);
    });
}

auto ControlApi::setControlVms(const std::vector<Endpoint> &controlVms) -> void
{
    this->control->setControlVms(this->withOwn(controlVms));
}

auto ControlApi::withOwn(std::vector<Endpoint> controlVms) const -> std::vector<Endpoint>
{
    if (this->own && std::find(controlVms.begin(), controlVms.end(), *this->own) == controlVms.end()) {
        controlVms.push_back(*this->own);
    }
    return controlVms;
}

auto ControlApi::close() -> void
{
    this->traffic.runOnDispatch([this] {
        this->server->close();
    });
}

} // namespace sapphirespool::node
