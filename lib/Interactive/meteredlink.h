// meteredlink.h: a link that knows whether the upstream works on it.
#pragma once

#include "sapphirespool/Interactive/upstreamlink.h"

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
};

/// Passes exchanges on, and notes between them whether a transaction rests on the link.
///
/// A caller that pauses inside a transaction holds a connection and none of the upstream's slots. Counted as work, a dozen such callers
/// would keep all others from an idle upstream.
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
    std::shared_ptr<UpstreamLink> inner;
    std::weak_ptr<WorkMeter> meter;
    UpstreamId upstream;
};

} // namespace sapphirespool::interactive
