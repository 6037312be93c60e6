// upstreamentry.h: state of a proxy's connection pool for one upstream.
#pragma once

#include "idleconnections.h"
#include "meteredconnection.h"

#include "sapphirespool/Decisions/serviceestimate.h"
#include "sapphirespool/Decisions/statementqueue.h"
#include "sapphirespool/Interactive/connectionpool.h"
#include "sapphirespool/Support/logbudget.h"
#include "sapphirespool/Support/presence.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace sapphirespool::interactive
{

/// Limits of an upstream before this proxy's share of it is known.
constexpr auto initialLimits = ConnectionLimits{1, 1};

/// A session that waits for a connection.
struct Waiter
{
    Waiter(const boost::asio::any_io_executor &executor, ConnectionRequest request)
        : timer(executor)
        , request(std::move(request))
    {
    }

    boost::asio::steady_timer timer;
    ConnectionRequest request;
    /// The connection that became available.
    std::shared_ptr<MeteredConnection> connection;
    /// Whether the waiter may open a connection; the pool already counts it as busy.
    bool mayOpen = false;
    /// Whether the upstream became unreachable during the wait.
    bool unreachable = false;
};

/// The connections to one upstream and the sessions that wait for them.
struct UpstreamEntry
{
    ConnectionLimits limits = initialLimits;
    IdleConnections idle;
    std::size_t busy = 0;
    /// Busy connections that take none of the upstream's slots.
    std::size_t withoutSlot = 0;
    decisions::StatementQueue queue;
    std::map<decisions::StatementQueue::Ticket, std::shared_ptr<Waiter>> waiters;
    /// Time from sending a statement that takes a slot to its answer.
    decisions::ServiceEstimate serviceTime;
    bool retired = false;
    /// The upstream, as passed with the latest request for a connection.
    membership::UpstreamView upstream;
    support::Presence presence;
    /// Limits the log lines about an upstream that alternates between reachable and unreachable.
    support::LogBudget logBudget{1.0};
    /// Whether a background probe of the unreachable upstream is running.
    bool isProbed = false;
    /// When it was last probed because of overdue statements.
    TimePoint overdueProbeAt{};
    /// The newest position proof from the upstream.
    std::optional<PositionProof> proof = {};

    [[nodiscard]] auto canOpen() const -> bool
    {
        return this->idle.size() + this->busy < this->limits.connections;
    }

    [[nodiscard]] auto hasSlot() const -> bool
    {
        return this->busy - this->withoutSlot < this->limits.statements;
    }
};

} // namespace sapphirespool::interactive
