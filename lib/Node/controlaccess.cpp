#include "controlaccess.h"

#include "sapphirespool/Control/proxylink.h"

#include <utility>

namespace sapphirespool::node
{

auto linkToControl(rpc::LoopThread &loop,
                   const settings::Settings &settings,
                   const VmId &vm,
                   Incarnation incarnation,
                   std::shared_ptr<membership::ViewHolder> views) -> std::shared_ptr<membership::ControlLink>
{
    auto about = control::ProxyLinkSettings();
    about.vm = vm;
    about.zone = settings.zone;
    about.incarnation = incarnation;
    about.callers = settings.callers;
    about.peers = settings.peers;
    about.firstStart = settings.firstStart;
    for (const auto &member : settings.controlMembers) {
        about.controlVms.push_back(member.endpoint);
    }
    return control::makeProxyLink(loop, std::move(about), std::move(views));
}

} // namespace sapphirespool::node
