// sharetable.h: the holders and grantors of upstream shares in one proxy.
#pragma once

#include "sapphirespool/Decisions/shareallocator.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace sapphirespool::decisions
{

/// Message to another proxy. The next renewal compensates for a lost one.
struct ShareMessage
{
    VmId to;
    std::variant<ShareDemand, ShareGrant> content;
};

/// Notification that this proxy's share of an upstream changed.
struct ShareChange
{
    UpstreamId upstream;
    Share share;
};

/// Messages to send to other proxies, and share changes for the dispatcher.
struct ShareActions
{
    std::vector<ShareMessage> messages;
    std::vector<ShareChange> changes;
};

/// Holders and grantors of one proxy, by upstream. All calls are made on the dispatch thread.
///
/// Replaces holders and grantors when the view changes, passes demands and grants between them, and adds up the shares of each upstream.
/// Without it holders would keep sending demands to a proxy that is no longer a grantor.
class ShareTable
{
public:
    ShareTable(VmId self, Incarnation incarnation, ShareSettings settings);

    /// Selects the grantors of each upstream. Shares from an earlier grantor stay usable until a new grantor answers or they expire.
    auto viewChanged(const membership::ClusterView &view, TimePoint now) -> ShareActions;

    /// Sets how many slots of \p upstream are in use and how many could be used.
    auto workChanged(const UpstreamId &upstream, std::uint32_t running, std::uint32_t wanted, TimePoint now) -> ShareActions;

    auto receive(const ShareDemand &demand, TimePoint now) -> ShareActions;
    auto receive(const ShareGrant &grant, TimePoint now) -> ShareActions;
    auto tick(TimePoint now) -> ShareActions;
    [[nodiscard]] auto nextTick(TimePoint now) const -> std::optional<TimePoint>;

    /// \return this proxy's share of \p upstream for work that starts at \p now
    [[nodiscard]] auto share(const UpstreamId &upstream, TimePoint now) const -> Share;

private:
    struct UpstreamEntry
    {
        std::vector<ShareHolder> holders;
        std::unique_ptr<ShareGrantor> grantor;
        std::uint32_t running = 0;
        std::uint32_t wanted = 0;
        /// Share that the dispatcher was last notified of.
        Share reported;
    };

    auto updateHolders(UpstreamEntry &entry, const UpstreamId &upstream, const std::vector<GrantorId> &grantors) -> void;
    auto updateGrantor(UpstreamEntry &entry,
                       const membership::UpstreamView &upstream,
                       const std::vector<GrantorId> &grantors,
                       const std::vector<membership::ProxyView> &proxies,
                       TimePoint now,
                       ShareActions &actions) -> void;
    auto assignWork(UpstreamEntry &entry, TimePoint now, ShareActions &actions) -> void;
    auto send(std::optional<ShareDemand> demand, TimePoint now, ShareActions &actions) -> void;
    auto send(ShareGrantor::Grants grants, TimePoint now, ShareActions &actions) -> void;
    auto reportChanges(TimePoint now, ShareActions &actions) -> void;
    [[nodiscard]] auto shareOf(const UpstreamEntry &entry, TimePoint now) const -> Share;

    GrantorId self;
    ShareSettings settings;
    std::map<UpstreamId, UpstreamEntry> upstreams;
};

} // namespace sapphirespool::decisions
