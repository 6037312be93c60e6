// callershutdown.h: stops a proxy whose callers hold sessions.
#pragma once

#include "sapphirespool/Forwarding/forwardingpool.h"
#include "sapphirespool/Interactive/session.h"
#include "sapphirespool/Node/edge.h"
#include "sapphirespool/ProxyRole/gracefulshutdown.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace sapphirespool::node
{

/// What a stop ends, in the order of its steps. All of it is used on the executor.
struct CallerShutdownParts
{
    std::shared_ptr<interactive::SessionService> sessions;
    std::shared_ptr<CallerServer> callers;
    /// Connections that other proxies use through this one end with it. May be null.
    std::shared_ptr<forwarding::ForwardingPool> pool;
    /// Called when new callers are turned away.
    std::function<void()> leave = [] {};
    boost::asio::any_io_executor executor;
};

/// Carries out the steps that proxy::GracefulShutdown decides on.
///
/// Guarantee: a request that was read in full is answered with the upstream's answer, or refused without having been sent to an upstream,
/// unless the upstream takes longer for it than the last part of the stop. This includes what other proxies run on connections of this one.
class CallerShutdown : public std::enable_shared_from_this<CallerShutdown>
{
public:
    CallerShutdown(CallerShutdownParts parts, proxy::ShutdownTimes times);

    /// \param done called once nothing is left to answer, or the time is over; the connections may be closed then
    auto begin(std::function<void()> done) -> void;

    auto cancel() -> void;

    [[nodiscard]] auto isServing() const -> bool;

private:
    auto advance() -> void;
    [[nodiscard]] auto runningWork() const -> proxy::RunningWork;

    CallerShutdownParts parts;
    proxy::GracefulShutdown steps;
    boost::asio::steady_timer timer;
    std::function<void()> done;
};

} // namespace sapphirespool::node
