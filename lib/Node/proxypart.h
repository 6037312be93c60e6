// proxypart.h: the proxy role of a VM on its traffic threads.
#pragma once

#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/types.h"

#include <functional>
#include <memory>

namespace sapphirespool::node
{

class TrafficThreads;

/// The proxy role with its link to control, its upstreams and the operators' API.
class ProxyPart
{
public:
    ProxyPart(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation);
    ~ProxyPart();
    ProxyPart(const ProxyPart &) = delete;
    auto operator=(const ProxyPart &) -> ProxyPart & = delete;

    /// Opens the ports.
    /// \throws StartFailure
    auto start() -> void;

    /// Drains and then returns.
    auto drain() -> void;

    /// Closes everything at once. The traffic threads are to be stopped before the part is destroyed.
    auto close() -> void;

private:
    class Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace sapphirespool::node
