// meteredlink.h: a link that knows whether the upstream works on it.
#pragma once

#include "sapphirespool/Interactive/upstreamlink.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <span>

namespace sapphirespool::interactive
{

/// Told when a link begins to rest inside a transaction, and when the transaction goes on.
class WorkMeter
{
public:
    WorkMeter() = default;
    WorkMeter(const WorkMeter &) = delete;
    auto operator=(const WorkMeter &) -> WorkMeter & = delete;
    virtual ~WorkMeter() = default;

    virtual auto rested(const UpstreamId &upstream) -> void = 0;
    virtual auto resumed(const UpstreamId &upstream) -> void = 0;
    /// A command that took a slot was answered after \p took.
    virtual auto worked(const UpstreamId &upstream, Duration took) -> void = 0;
    /// A command that took a slot has had no answer for overdueAfter().
    virtual auto overdue(const UpstreamId &upstream) -> void = 0;
    /// \return how long a command may go without an answer before it counts as lost
    [[nodiscard]] virtual auto overdueAfter(const UpstreamId &upstream) const -> Duration = 0;
};

/// Passes exchanges on, and notes between them whether a transaction rests on the link.
///
/// A caller that pauses inside a transaction holds a connection and none of the upstream's slots. Counted as work, a dozen such callers
/// would keep all others from an idle upstream.
///
/// Load pattern: an upstream runs statements whose answers are lost. Each waits for its whole time, a second or more, while the upstream has long
/// done it. Counted as work, two of them at each holder of links keep everyone from an upstream that is idle. So a command that is
/// overdue takes no slot any more; its link stays taken, so that it cannot be more than there are links.
class MeteredLink : public UpstreamLink
{
public:
    MeteredLink(std::shared_ptr<UpstreamLink> inner, std::weak_ptr<WorkMeter> meter, UpstreamId upstream);

    auto exchange(std::span<const Command> commands, Duration limit) -> boost::asio::awaitable<ExchangeResult> override;
    auto close() -> void override;
    [[nodiscard]] auto isUsable() const -> bool override;

    /// Whether the link is held and takes none of the upstream's slots.
    bool resting = false;

private:
    /// Frees the slot of the exchange under way once it is overdue, unless it has ended by then.
    auto watchOverdue(const std::shared_ptr<boost::asio::steady_timer> &timer) -> void;

    std::shared_ptr<UpstreamLink> inner;
    std::weak_ptr<WorkMeter> meter;
    UpstreamId upstream;
};

} // namespace sapphirespool::interactive
