// meteredconnection.h: an upstream connection that reports when it takes and releases a slot of the upstream.
#pragma once

#include "sapphirespool/Interactive/upstreamconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <span>

namespace sapphirespool::interactive
{

/// Receives the slot changes and command durations that metered connections report.
class SlotObserver
{
public:
    SlotObserver() = default;
    SlotObserver(const SlotObserver &) = delete;
    auto operator=(const SlotObserver &) -> SlotObserver & = delete;
    virtual ~SlotObserver() = default;

    /// A busy connection no longer takes a slot: its transaction is idle or its command is overdue.
    virtual auto slotReleased(const UpstreamId &upstream) -> void = 0;
    /// A busy connection without a slot takes one again.
    virtual auto slotTaken(const UpstreamId &upstream) -> void = 0;
    /// A command that takes a slot was answered after \p took.
    virtual auto commandAnswered(const UpstreamId &upstream, Duration took) -> void = 0;
    /// A command that takes a slot has had no answer for overdueLimit().
    virtual auto commandOverdue(const UpstreamId &upstream) -> void = 0;
    /// \return time without an answer after which a command counts as lost
    [[nodiscard]] virtual auto overdueLimit(const UpstreamId &upstream) const -> Duration = 0;
};

/// Forwards exchanges to another connection and tracks whether this one takes a slot of the upstream.
///
/// A connection that is idle in transaction takes no slot, since the upstream does no work for a caller that pauses. If it took one, a dozen
/// such callers would keep all others from an idle upstream.
///
/// Load pattern: an upstream runs statements whose answers are lost. Each statement waits until its deadline, a second or more, although
/// the upstream finished it long ago. If they kept their slots, two of them at each proxy that owns connections would keep all callers from
/// an idle upstream. So an overdue command releases its slot. Its connection stays busy, which bounds the number of such commands by
/// the connection limit.
class MeteredConnection : public UpstreamConnection
{
public:
    MeteredConnection(std::shared_ptr<UpstreamConnection> inner, std::weak_ptr<SlotObserver> observer, UpstreamId upstream, CustomerId customer);

    auto exchange(std::span<const Command> commands, Duration limit) -> boost::asio::awaitable<ExchangeResult> override;
    auto close() -> void override;
    [[nodiscard]] auto isUsable() const -> bool override;

    /// Whether the connection is busy and takes none of the upstream's slots.
    bool withoutSlot = false;
    /// Customer whose statements the connection may carry; empty for callers without a customer.
    const CustomerId customer;

private:
    /// Releases the slot of the current exchange when \p timer expires, unless the exchange has ended by then.
    auto watchOverdue(const std::shared_ptr<boost::asio::steady_timer> &timer) -> void;

    std::shared_ptr<UpstreamConnection> inner;
    std::weak_ptr<SlotObserver> observer;
    UpstreamId upstream;
};

} // namespace sapphirespool::interactive
