// trafficpath.h: callers' work from admission to the confirmed answer, on the dispatch thread.
#pragma once

#include "sapphirespool/Proxy/executor.h"
#include "sapphirespool/Proxy/limits.h"
#include "sapphirespool/Proxy/peerlink.h"
#include "sapphirespool/Proxy/recorder.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

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

/// What the traffic path works with. All of it is used on the dispatch thread only, but for the views.
struct TrafficParts
{
    VmId vm;
    Incarnation incarnation;
    ProxyLimits limits;
    std::shared_ptr<membership::ViewHolder> views;
    /// May be null; then nobody hears of suspicions.
    std::shared_ptr<membership::ControlLink> control;
    std::shared_ptr<upstreams::Pool> pool;
    std::shared_ptr<upstreams::PositionWatch> watch;
    std::shared_ptr<decisions::Dispatcher> dispatcher;
    std::shared_ptr<PeerLink> peers;
    std::shared_ptr<Recorder> recorder;
    boost::asio::any_io_executor dispatch;
    /// Seed of session and transaction ids; drawn anew for each process.
    std::uint64_t seed = 0;
};

/// What is under way.
struct TrafficCounts
{
    std::size_t requests = 0;
    std::size_t transactions = 0;
};

/// The traffic path of one proxy. The Executor part may be called from any thread, the rest on the dispatch thread.
class TrafficPath : public Executor, public PeerService
{
public:
    /// Begins to follow the view.
    virtual auto start() -> void = 0;

    /// Takes up the newest view.
    virtual auto viewChanged() -> void = 0;

    /// Refuses new requests and transactions from now on; what runs goes on.
    virtual auto refuseNewWork() -> void = 0;

    /// From \p end on sends nothing to an upstream: a waiting request is refused as not run, and a transaction is rolled back at its next
    /// statement, its commit included. What was sent before goes on.
    virtual auto endForwardingAt(TimePoint end) -> void = 0;

    /// Rolls back what is open and ends the timers.
    virtual auto stop() -> void = 0;

    [[nodiscard]] virtual auto counts() const -> TrafficCounts = 0;
};

[[nodiscard]] auto makeTrafficPath(TrafficParts parts) -> std::shared_ptr<TrafficPath>;

} // namespace sapphirespool::proxy
