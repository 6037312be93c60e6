// proxyrole.h: the proxy role of a VM, put together from its parts.
#pragma once

#include "sapphirespool/Http/router.h"
#include "sapphirespool/Http/server.h"
#include "sapphirespool/Proxy/limits.h"
#include "sapphirespool/Proxy/recorder.h"
#include "sapphirespool/ProxyRole/gracefulshutdown.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespool::decisions
{
class Dispatcher;
}

namespace sapphirespool::membership
{
class ControlLink;
class ViewHolder;
} // namespace sapphirespool::membership

namespace sapphirespool::upstreams
{
class Pool;
class PositionWatch;
} // namespace sapphirespool::upstreams

namespace sapphirespool::proxy
{

/// What the VM's settings say about the role.
struct ProxyRoleSettings
{
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;
    /// Where callers connect; port 0 takes any free one.
    Endpoint callers;
    /// Where other proxies connect; port 0 takes any free one.
    Endpoint peers;
    http::ServerLimits http;
    ProxyLimits limits;
    ShutdownTimes shutdown = ShutdownTimes::ofDrain(std::chrono::seconds(2), std::chrono::seconds(30));
};

/// A handler that others add for a path prefix, for example the operators' API.
struct ExtraRoute
{
    std::string prefix;
    std::shared_ptr<http::Handler> handler;
};

/// What the role works with.
struct ProxyRoleParts
{
    std::shared_ptr<membership::ViewHolder> views;
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<upstreams::Pool> pool;
    std::shared_ptr<upstreams::PositionWatch> watch;
    std::shared_ptr<decisions::Dispatcher> dispatcher;
    /// Of the process's metrics; see metricsrecorder.h.
    std::shared_ptr<Recorder> recorder;
    /// Executor of one thread, on which all state of the traffic path lives; pool and watch use the same.
    boost::asio::any_io_executor dispatch;
    /// Executors of callers' connections.
    http::ExecutorSource sessions;
    std::vector<ExtraRoute> routes;
};

/// Where the role was bound.
struct ProxyEndpoints
{
    Endpoint callers;
    Endpoint peers;
};

/// What the role is doing.
struct ProxyCounts
{
    std::size_t connections = 0;
    std::size_t requests = 0;
    std::size_t transactions = 0;
};

/// One proxy. Calls may come from any thread but for start(), which comes before the dispatch thread runs or on it.
class ProxyRole
{
public:
    ProxyRole() = default;
    ProxyRole(const ProxyRole &) = delete;
    auto operator=(const ProxyRole &) -> ProxyRole & = delete;
    virtual ~ProxyRole() = default;

    /// Listens for callers and peers.
    /// \throws boost::system::system_error if an endpoint cannot be had
    virtual auto start() -> ProxyEndpoints = 0;

    /// Takes up the newest view at once; without it the role sees a new view within some milliseconds.
    virtual auto viewChanged() -> void = 0;

    /// Graceful shutdown: unready, the balancer's delay, no new work, running requests and transactions to their end.
    /// Connections are accepted until then, since the next step of an open transaction may come on a new one.
    /// Calls \p done on the dispatch thread once nothing runs or the drain timeout is over.
    virtual auto drain(std::function<void()> done) -> void = 0;

    /// Closes everything at once. Call it before the dispatch thread ends.
    virtual auto close() -> void = 0;

    /// Calls \p done on the dispatch thread.
    virtual auto counts(std::function<void(ProxyCounts)> done) -> void = 0;
};

/// \return the role, not yet listening
[[nodiscard]] auto makeProxyRole(ProxyRoleSettings settings, ProxyRoleParts parts) -> std::shared_ptr<ProxyRole>;

} // namespace sapphirespool::proxy
