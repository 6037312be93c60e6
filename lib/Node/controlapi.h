// controlapi.h: what a control VM offers to operators and upstreams where they do not call the proxies.
#pragma once

#include "trafficthreads.h"

#include "sapphirespool/Node/edge.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/types.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespool::node
{

/// An HTTP server before a link to whichever control VM leads.
class ControlApi
{
public:
    /// Starts to listen.
    /// \param onLease called on the loop with the control VMs that each lease names; may be empty
    ControlApi(rpc::LoopThread &controlLoop,
               TrafficThreads &traffic,
               const settings::Settings &settings,
               Incarnation incarnation,
               Edge &edge,
               std::function<void(std::vector<Endpoint>)> onLease);

    auto setControlVms(const std::vector<Endpoint> &controlVms) -> void;

    auto close() -> void;

private:
    /// \return \p controlVms and the own address, if it serves the addresses of control VMs
    [[nodiscard]] auto withOwn(std::vector<Endpoint> controlVms) const -> std::vector<Endpoint>;

    TrafficThreads &traffic;
    std::optional<Endpoint> own;
    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<http::Server> server;
};

} // namespace sapphirespool::node
