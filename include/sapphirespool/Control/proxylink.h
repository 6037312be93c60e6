// proxylink.h: a proxy's link to the control group over Cap'n Proto RPC.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/types.h"

#include <functional>
#include <memory>
#include <vector>

namespace sapphirespool::control
{

/// What a proxy says of itself, and where the control VMs listen.
struct ProxyLinkSettings
{
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;
    Endpoint callers;
    Endpoint peers;
    /// Control VMs or directories.
    std::vector<Endpoint> controlVms;
    /// Whether these are only some of the control VMs or directories, so that redirects name others to be tried.
    bool foundBySeeds = false;
    /// Called on the loop with the control VMs that each lease names; may be empty.
    std::function<void(std::vector<Endpoint>)> onLease;
    /// The services that the proxy serves; empty for all.
    std::vector<ServiceId> services;
    /// Whether this may be the very first start of the system.
    bool firstStart = false;
};

/// Connects on \p loop and keeps \p holder up to date until destroyed. Both must outlive the link.
[[nodiscard]] auto makeProxyLink(rpc::LoopThread &loop, ProxyLinkSettings settings, std::shared_ptr<membership::ViewHolder> holder)
    -> std::shared_ptr<membership::ControlLink>;

} // namespace sapphirespool::control
