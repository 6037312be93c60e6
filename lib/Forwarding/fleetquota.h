// fleetquota.h: takes operations out of the customers' quotas, at this proxy or at the proxies that allocate them.
#pragma once

#include "ownerchannel.h"
#include "ownerserver.h"

#include "sapphirespool/Decisions/quotaallocator.h"
#include "sapphirespool/Forwarding/quotaplacement.h"
#include "sapphirespool/Interactive/quotagate.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace sapphirespool::forwarding
{

/// Channels to the other proxies.
class PeerChannels
{
public:
    PeerChannels() = default;
    PeerChannels(const PeerChannels &) = delete;
    auto operator=(const PeerChannels &) -> PeerChannels & = delete;
    virtual ~PeerChannels() = default;

    /// \return the channel to \p vm; null if the view does not list it
    virtual auto channelTo(const VmId &vm) -> std::shared_ptr<OwnerChannel> = 0;
};

/// Allocates this proxy's own parts, and asks the other allocators of a customer for its operations.
class FleetQuota : public interactive::QuotaGate, public QuotaParts, public std::enable_shared_from_this<FleetQuota>
{
public:
    /// \param views the view and the lease on it, without which no quota is allocated
    /// \param slack see QuotaPlacement
    /// \param startedAt when this process started
    FleetQuota(VmId self, ZoneId zone, std::shared_ptr<const membership::ViewHolder> views, double slack, TimePoint startedAt);

    auto connect(std::weak_ptr<PeerChannels> newChannels) -> void;

    auto viewChanged(const membership::ClusterView &view, TimePoint now) -> void;

    auto take(CustomerId customer, Duration maxWait, Duration limit) -> boost::asio::awaitable<std::optional<interactive::FailureReply>> override;

    [[nodiscard]] auto takeOwn(const CustomerId &customer, TimePoint now, Duration maxWait = {}) -> decisions::QuotaDecision override;

private:
    using Part = std::pair<CustomerId, VmId>;

    struct AtOnce
    {
        bool granted = false;
        std::optional<VmId> first;
        /// Time until the part of \a first has room.
        Duration wait{};
    };

    /// \return the allocators in the order in which they are asked: those of this zone first, each set rotated from call to call
    [[nodiscard]] auto orderAllocators(const CustomerId &customer) -> std::vector<VmId>;
    auto takeFrom(VmId allocator, CustomerId customer, Duration maxWait, Duration limit) -> boost::asio::awaitable<decisions::QuotaDecision>;
    /// Asks the allocators in \p order for a token that is there now.
    /// \return whether one granted it; otherwise the allocator whose part has room first, if any answered
    auto takeAtOnce(std::vector<VmId> order, CustomerId customer, Duration limit) -> boost::asio::awaitable<AtOnce>;
    /// \return how long the part of \p allocator is known to be used up
    [[nodiscard]] auto exhaustedFor(const CustomerId &customer, const VmId &allocator) const -> Duration;

    VmId self;
    ZoneId zone;
    std::shared_ptr<const membership::ViewHolder> views;
    std::weak_ptr<PeerChannels> channels;
    QuotaPlacement placement;
    decisions::QuotaAllocator allocator;
    /// When each part that was used up has its next token.
    std::map<Part, TimePoint> exhaustedUntil;
    std::size_t calls = 0;
    /// When this process started. What an earlier process of the VM allocated, it allocated before.
    TimePoint startedAt;
    bool hasParts = false;
};

} // namespace sapphirespool::forwarding
