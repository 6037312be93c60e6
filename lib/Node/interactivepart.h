// interactivepart.h: the proxy role for callers with long-lived sessions.
#pragma once

#include "trafficthreads.h"

#include "sapphirespool/Node/edge.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/types.h"

#include <memory>
#include <vector>

namespace sapphirespool::node
{

/// Sessions, their links to upstreams, and the link to control, on the dispatch thread.
class InteractivePart
{
public:
    InteractivePart(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation, Edge &edge);
    ~InteractivePart();
    InteractivePart(const InteractivePart &) = delete;
    auto operator=(const InteractivePart &) -> InteractivePart & = delete;

    /// Opens the ports.
    auto start() -> void;

    auto setControlVms(const std::vector<Endpoint> &controlVms) -> void;

    /// Drains and then returns.
    auto drain() -> void;

    /// Closes everything at once. The traffic threads are to be stopped before the part is destroyed.
    auto close() -> void;

private:
    class Parts;
    std::shared_ptr<Parts> parts;
};

} // namespace sapphirespool::node
