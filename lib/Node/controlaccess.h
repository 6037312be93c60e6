// controlaccess.h: a process's link to the control group and the view that it brings.
#pragma once

#include "sapphirespool/Control/proxylink.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/types.h"

#include <memory>

namespace sapphirespool::node
{

/// Says of a process what control has to know of it, and where it finds control.
[[nodiscard]] auto proxyLinkSettings(const settings::Settings &settings, const VmId &vm, Incarnation incarnation) -> control::ProxyLinkSettings;

/// \param vm name under which control knows the process
/// \return a link that keeps \p views up to date for as long as anyone holds it
///
/// Requests that still run hold the link, and the link writes to the holder from its own thread: a holder that went before the link
/// would be written to after its end, so it goes with the link.
[[nodiscard]] auto
linkToControl(rpc::LoopThread &loop, const settings::Settings &settings, const VmId &vm, Incarnation incarnation, std::shared_ptr<membership::ViewHolder> views)
    -> std::shared_ptr<membership::ControlLink>;

} // namespace sapphirespool::node
