#include "controlapi.h"

#include "controlaccess.h"

namespace sapphirespool::node
{

namespace
{

/// The link is one of the control VM's own parts and takes no callers; the proxy on the same VM has a name of its own.
auto linkName(const settings::Settings &settings) -> VmId
{
    return VmId(settings.vm.value() + "-operators");
}

} // namespace

ControlApi::ControlApi(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation, Edge &edge)
    : traffic(traffic)
    , views(std::make_shared<membership::ViewHolder>())
    , control(linkToControl(controlLoop, settings, linkName(settings), incarnation, this->views))
{
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
    this->control->setControlVms(controlVms);
}

auto ControlApi::close() -> void
{
    this->traffic.runOnDispatch([this] {
        this->server->close();
    });
}

} // namespace sapphirespool::node
