#include "controlaccess.h"

#include <utility>

namespace sapphirespool::node
{

auto proxyLinkSettings(const settings::Settings &settings, const VmId &vm, Incarnation incarnation) -> control::ProxyLinkSettings
{
    auto about = control::ProxyLinkSettings();
    about.vm = vm;
    about.zone = settings.zone;
    about.incarnation = incarnation;
    about.callers = settings.callers;
    about.peers = settings.peers;
    about.firstStart = settings.firstStart;
    about.foundBySeeds = settings.controlFoundBySeeds;
    for (const auto &member : settings.controlMembers) {
        about.controlVms.push_back(member.endpoint);
    }
    return about;
}

auto linkToControl(rpc::LoopThread &loop,
                   const settings::Settings &settings,
                   const VmId &vm,
                   Incarnation incarnation,
                   std::shared_ptr<membership::ViewHolder> views) -> std::shared_ptr<membership::ControlLink>
{
    return control::makeProxyLink(loop, proxyLinkSettings(settings, vm, incarnation), std::move(views));
}

} // namespace sapphirespool::node
