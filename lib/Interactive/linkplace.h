// linkplace.h: what a proxy's link pool keeps of one upstream.
#pragma once

#include "meteredlink.h"

#include "sapphirespool/Decisions/serviceestimate.h"
#include "sapphirespool/Decisions/statementqueue.h"
#include "sapphirespool/Interactive/linkpool.h"
#include "sapphirespool/Support/logbudget.h"
#include "sapphirespool/Support/presence.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespool::interactive
{

/// What a proxy may use before it knows its share of an upstream.
constexpr auto firstLimits = LinkLimits{1, 1};

/// A session that waits for a link.
struct Waiter
{
    explicit Waiter(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    boost::asio::steady_timer timer;
    bool takesSlot = true;
    /// The link that came free.
    std::shared_ptr<MeteredLink> link;
    /// Whether a place came free in which a link may be opened; the place is taken for this waiter.
    bool mayOpen = false;
    /// Whether the upstream turned out to be unreachable.
    bool unreachable = false;
};

/// The links to one upstream.
struct Place
{
    LinkLimits limits = firstLimits;
    /// Most recently used last.
    std::vector<std::shared_ptr<MeteredLink>> idle;
    std::size_t busy = 0;
    /// Busy links that take none of the upstream's slots.
    std::size_t resting = 0;
    decisions::StatementQueue queue;
    std::map<decisions::StatementQueue::Ticket, std::shared_ptr<Waiter>> waiters;
    /// How long a statement that takes a slot is under way.
    decisions::ServiceEstimate serviceTime;
    bool retired = false;
    /// The upstream as the view last showed it.
    membership::UpstreamView upstream;
    support::Presence presence;
    /// Lines on an upstream that comes and goes by turns.
    support::LogBudget lines{1.0};
    /// Whether it is being looked for.
    bool lookedFor = false;
    /// When it was last looked at since statements were overdue.
    TimePoint overdueLookAt{};
    /// The newest that the upstream gave.
    std::optional<PositionProof> proof = {};

    [[nodiscard]] auto hasRoom() const -> bool
    {
        return this->idle.size() + this->busy < this->limits.links;
    }

    [[nodiscard]] auto hasSlot() const -> bool
    {
        return this->busy - this->resting < this->limits.statements;
    }
};

} // namespace sapphirespool::interactive
