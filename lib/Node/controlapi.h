// controlapi.h: what a control VM offers to operators and upstreams where they do not call the proxies.
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

/// An HTTP server before a link to whichever control VM leads.
class ControlApi
{
public:
    /// Starts to listen.
    ControlApi(rpc::LoopThread &controlLoop, TrafficThreads &traffic, const settings::Settings &settings, Incarnation incarnation, Edge &edge);

    auto setControlVms(const std::vector<Endpoint> &controlVms) -> void;

    auto close() -> void;

private:
    TrafficThreads &traffic;
    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<http::Server> server;
};

} // namespace sapphirespool::node
