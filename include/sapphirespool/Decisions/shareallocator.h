// shareallocator.h: divides an upstream's slots and connections among the proxies.
//
// Two proxies, chosen by rendezvous hash, each grant half of an upstream's limit as leases; all proxies send their demands to both.
// The sum of what holders may use never exceeds the upstream's limit, whatever message is lost, delayed or duplicated, and
// whichever process crashes or restarts.
#pragma once

#include "sapphirespool/Decisions/dispatcher.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sapphirespool::decisions
{

/// Identifies one granting process; a restarted process is a different grantor.
struct GrantorId
{
    VmId vm;
    Incarnation incarnation;

    auto operator<=>(const GrantorId &) const = default;
};

/// Message from a proxy to a grantor that requests slots, returns those no longer needed and renews the rest.
struct ShareDemand
{
    UpstreamId upstream;
    /// Addressee. A later process ignores demands to an earlier one, whose answer may still be in flight.
    GrantorId grantor;
    VmId proxy;
    Incarnation incarnation;
    /// Increases with each demand. The proxy ignores grants that answer an earlier one.
    std::uint64_t sequence = 0;
    /// What the proxy continues to use; this message returns the rest of earlier grants.
    Share retained;
    /// Slots that the proxy's work could use now.
    std::uint32_t wanted = 0;
};

/// Message from a grantor to a proxy with the proxy's share; replaces all earlier grants to it.
struct ShareGrant
{
    UpstreamId upstream;
    GrantorId grantor;
    VmId proxy;
    Incarnation incarnation;
    /// Sequence of the demand that this grant answers.
    std::uint64_t sequence = 0;
    /// Increases with each grant that answers the same demand.
    std::uint64_t number = 0;
    Share share;
};

/// Timing of the allocator; the same in all proxies.
struct ShareSettings
{
    /// Lifetime of a grant. It covers the longest statement and some lost renewals; the share of a crashed proxy is available again
    /// after it.
    std::chrono::milliseconds lifetime{5000};
    /// No statement starts under a grant with less than this time to its expiry; at least the longest timeout of a service, so that
    /// no statement outlives its grant.
    std::chrono::milliseconds startGuard{2500};
    /// Fraction by which a holder shortens the lifetime of its lease, as clocks run at different rates.
    double clockMargin = 0.02;
    /// Renewal interval; five renewals may be lost before startGuard stops new work.
    std::chrono::milliseconds renewalInterval{400};
    /// Time after which a slot is recalled if other proxies wait for one. Shorter values move slots more often, longer ones make proxies
    /// wait longer.
    std::chrono::milliseconds recallInterval{20};
    /// Time after which a holder returns a slot without work.
    std::chrono::milliseconds idleSlotTimeout{5};
    /// Time for which a new grantor grants nothing: the lifetime of a grant, plus the time for which a partitioned grantor may continue
    /// to grant under an outdated view.
    std::chrono::milliseconds handover{8000};
};

/// Grants one grantor's part of an upstream's limit to the proxies.
///
/// Load pattern: 12 proxies share 2 to 5 slots, and the proxies that receive work change all the time.
/// Without it each proxy has a static part of less than one slot: either slots are idle while work waits at another proxy, or all
/// proxies use one slot and the upstream exceeds its limit.
/// Invariant: the sum of what proxies may use is within the limit. A proxy is charged the maximum of all grants that it can still
/// accept. The charge falls when a newer demand reports that the proxy keeps less, or when the grant expires by the grantor's clock.
/// The holder's lease expires earlier, since it counts the lifetime from the time at which it sent the demand.
class ShareGrantor
{
public:
    using Grants = std::vector<ShareGrant>;

    /// Grants nothing until limitChanged() is called and the handover time has passed: grants of an earlier process or of another
    /// grantor may not have expired yet.
    ShareGrantor(GrantorId self, UpstreamId upstream, ShareSettings settings, TimePoint now);

    /// Handles a demand of a proxy.
    /// \return grants to send
    auto handleDemand(const ShareDemand &demand, TimePoint now) -> Grants;

    /// Sets the part that this grantor grants and the proxies that may send demands. The smaller half is granted before the end of the
    /// handover, from startGuard after the last proxy has first reported what it keeps: by then the work of terminated processes has ended.
    /// \param handoverPart the smaller half of the upstream's limit
    auto limitChanged(Share part, Share handoverPart, std::vector<VmId> proxies, TimePoint now) -> Grants;
    auto tick(TimePoint now) -> Grants;
    [[nodiscard]] auto nextTick() const -> std::optional<TimePoint>;

    /// \return upper bound of what all holders together use
    [[nodiscard]] auto outstanding(TimePoint now) const -> Share;

private:
    struct Holder
    {
        std::uint64_t sequence = 0;
        std::uint64_t number = 0;
        std::uint32_t wanted = 0;
        /// Share of the last grant.
        Share granted;
        /// Upper bound of what the holder uses.
        Share possibleUse;
        TimePoint expiry{};
        /// When its first demand arrived.
        TimePoint firstDemandAt{};
        /// Since when it waits for more slots, and since when its granted slots are unchanged.
        TimePoint waitingSince{};
        TimePoint grantedSince{};
    };
    using HolderKey = std::pair<VmId, Incarnation>;

    auto expire(TimePoint now) -> void;
    [[nodiscard]] auto withholdsGrants(TimePoint now) const -> bool;
    [[nodiscard]] auto limitAt(TimePoint now) const -> Share;
    [[nodiscard]] auto allReportedAt() const -> std::optional<TimePoint>;
    auto rebalance(std::vector<HolderKey> &changed, TimePoint now) -> void;
    auto grantFreeSlots(std::vector<HolderKey> &changed, TimePoint now) -> void;
    auto recallSlots(std::vector<HolderKey> &changed, TimePoint now) -> void;
    [[nodiscard]] auto nextToGrant() -> std::map<HolderKey, Holder>::iterator;
    [[nodiscard]] auto total() const -> Share;
    [[nodiscard]] auto pendingReturns() const -> std::uint32_t;
    auto makeGrant(const HolderKey &key, Holder &holder) const -> ShareGrant;
    auto makeGrants(std::vector<HolderKey> changed) -> Grants;

    GrantorId self;
    UpstreamId upstream;
    Share part;
    Share handoverPart;
    std::vector<VmId> proxies;
    ShareSettings settings;
    /// End of the handover; the whole part is granted from then on.
    TimePoint handoverEnd;
    std::map<HolderKey, Holder> holders;
};

/// Holds this proxy's lease on slots and connections of one upstream from one grantor.
///
/// Sends demands when its work changes, renews the lease, and returns slots that have no work. Without a lease that expires, the slots of
/// a crashed or partitioned proxy would be lost to the others, or be used twice.
class ShareHolder
{
public:
    ShareHolder(VmId self, Incarnation incarnation, UpstreamId upstream, GrantorId grantor, ShareSettings settings);

    /// Sets how many statements run under this share and how many slots could be used.
    /// \return a demand to send, if the grantor has to be notified now
    auto workChanged(std::uint32_t running, std::uint32_t wanted, TimePoint now) -> std::optional<ShareDemand>;

    /// Handles a grant; ignores one to another process or one that answers an earlier demand.
    /// \return a demand to send, if the grantor has to be notified now
    auto handleGrant(const ShareGrant &grant, TimePoint now) -> std::optional<ShareDemand>;
    auto tick(TimePoint now) -> std::optional<ShareDemand>;
    [[nodiscard]] auto nextTick(TimePoint now) const -> TimePoint;

    /// \return the share for work that starts at \p now
    [[nodiscard]] auto share(TimePoint now) const -> Share;

    [[nodiscard]] auto grantorId() const -> const GrantorId &;

    /// \return slots that this holder reported to the grantor as kept
    [[nodiscard]] auto kept() const -> std::uint32_t;

    /// Takes over the share of an earlier grantor, which stays in use until the new grantor answers or the lease expires.
    auto inherit(const ShareHolder &former) -> void;

private:
    auto demand(TimePoint now) -> ShareDemand;
    [[nodiscard]] auto needsDemand(TimePoint now) const -> bool;

    VmId self;
    Incarnation incarnation;
    UpstreamId upstream;
    GrantorId grantor;
    ShareSettings settings;
    std::uint64_t sequence = 0;
    std::uint64_t number = 0;
    Share held;
    /// Values that the grantor holds from the last demand.
    std::uint32_t reportedKept = 0;
    std::uint32_t reportedWanted = 0;
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
    TimePoint sentAt{};
    TimePoint expiry{};
    std::optional<TimePoint> idleSlotsSince;
};

/// Number of grantors of an upstream, each of which grants its part of the limit.
///
/// With two, half of the upstream stays usable after a crash of one, while the other half waits for the end of the handover.
constexpr std::size_t grantorsPerUpstream = 2;

/// \return the grantors of \p upstream: up to grantorsPerUpstream proxies in descending order of rendezvous hash, except leaving ones
[[nodiscard]] auto grantorsOf(const UpstreamId &upstream, std::span<const membership::ProxyView> proxies) -> std::vector<GrantorId>;

/// \return the part of \p limit that the grantor at \p index of \p count grants; the parts add up to the limit
[[nodiscard]] auto partOfLimit(Share limit, std::size_t index, std::size_t count) -> Share;

} // namespace sapphirespool::decisions
