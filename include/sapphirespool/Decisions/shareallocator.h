// shareallocator.h: divides an upstream's slots and connections among the proxies.
//
// Two proxies, chosen by rendezvous hash, each grant half of an upstream; every other proxy asks both. A grant is bounded in time.
// The sum of what holders may use never exceeds the upstream's limit, whatever message is lost, late or doubled, and whichever
// process dies or restarts.
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

/// One process that grants; a restarted one is another.
struct GrantorId
{
    VmId vm;
    Incarnation incarnation;

    auto operator<=>(const GrantorId &) const = default;
};

/// What a proxy asks of a grantor; also its return of what it no longer needs, and its renewal.
struct ShareDemand
{
    UpstreamId upstream;
    /// A demand to an earlier process says nothing to a later one: its answer may still be under way.
    GrantorId grantor;
    VmId proxy;
    Incarnation incarnation;
    /// Rises with each demand. Grants that answer an earlier one are void.
    std::uint64_t sequence = 0;
    /// What the proxy goes on using; the rest of earlier grants is returned by this message.
    Share keeps;
    /// Slots that its work could use now.
    std::uint32_t wanted = 0;
};

/// What a grantor gives; replaces all it gave before.
struct ShareGrant
{
    UpstreamId upstream;
    GrantorId grantor;
    VmId proxy;
    Incarnation incarnation;
    /// Sequence of the demand that it answers.
    std::uint64_t sequence = 0;
    /// Rises with each grant to the same demand.
    std::uint64_t number = 0;
    Share share;
};

/// Times of the allocator; the same in all proxies.
struct ShareSettings
{
    /// Life of a grant. It covers the longest statement and some lost renewals; a dead proxy's share returns after it.
    std::chrono::milliseconds life{5000};
    /// No statement starts under a grant that has less than this to live; at least the longest timeout of a service, so that
    /// no statement outlives its grant.
    std::chrono::milliseconds startGuard{2500};
    /// Part of the life that is given up for clocks that run at different rates.
    double clockMargin = 0.02;
    /// Time between renewals; five of them may be lost before the guard ends new work.
    std::chrono::milliseconds renewal{400};
    /// A slot goes to the next proxy after this time if others wait. Shorter costs handovers, longer costs waiting.
    std::chrono::milliseconds quantum{20};
    /// A slot that has no work is returned after this time.
    std::chrono::milliseconds linger{5};
    /// Time for which a new grantor grants nothing: the life, and the time for which a grantor that was cut off may go on
    /// under an old view.
    std::chrono::milliseconds handover{8000};
};

/// Gives out one part of one upstream.
///
/// Load pattern: 12 proxies share 2 to 5 slots; work arrives now here, now there.
/// Without it each proxy has a fixed part, less than one slot: either slots idle beside waiting work, or all run together and
/// the upstream is over its limit.
/// Why the sum holds: what a proxy may be using is counted as the most that any grant it can still accept gave it, until it
/// says in a newer demand that it keeps less, or until the grant has run out by this clock. The holder counts the same life from the
/// moment it sent the demand, which is earlier.
class ShareGrantor
{
public:
    using Grants = std::vector<ShareGrant>;

    /// Grants nothing before limitChanged() was called, and nothing for the handover time: grants of an earlier process or of another
    /// grantor may still live.
    ShareGrantor(GrantorId self, UpstreamId upstream, ShareSettings settings, TimePoint now);

    auto demanded(const ShareDemand &demand, TimePoint now) -> Grants;

    /// Sets the part that is given out and the proxies that may ask. The handover is over early, for the smaller half, once each of them
    /// has told what it keeps and the work of its former processes must have ended.
    /// \param early the smaller half of the whole
    auto limitChanged(Share part, Share early, std::vector<VmId> proxies, TimePoint now) -> Grants;
    auto tick(TimePoint now) -> Grants;
    [[nodiscard]] auto nextTick() const -> std::optional<TimePoint>;

    /// \return the most that all holders together may be using
    [[nodiscard]] auto outstanding(TimePoint now) const -> Share;

private:
    struct Holder
    {
        std::uint64_t sequence = 0;
        std::uint64_t number = 0;
        std::uint32_t wanted = 0;
        /// What was last granted.
        Share granted;
        /// The most that it may be using.
        Share possible;
        TimePoint expiry{};
        /// When its first demand came.
        TimePoint heardAt{};
        /// Since when it waits for more, and since when it has what it has.
        TimePoint waitingSince{};
        TimePoint grantedSince{};
    };
    using HolderKey = std::pair<VmId, Incarnation>;

    auto expire(TimePoint now) -> void;
    [[nodiscard]] auto closed(TimePoint now) const -> bool;
    [[nodiscard]] auto limitAt(TimePoint now) const -> Share;
    [[nodiscard]] auto allHeardAt() const -> std::optional<TimePoint>;
    auto rebalance(std::vector<HolderKey> &changed, TimePoint now) -> void;
    auto giveFree(std::vector<HolderKey> &changed, TimePoint now) -> void;
    auto recall(std::vector<HolderKey> &changed, TimePoint now) -> void;
    [[nodiscard]] auto neediest() -> std::map<HolderKey, Holder>::iterator;
    [[nodiscard]] auto total() const -> Share;
    [[nodiscard]] auto pendingReturns() const -> std::uint32_t;
    auto issue(const HolderKey &key, Holder &holder) const -> ShareGrant;
    auto issueAll(std::vector<HolderKey> changed) -> Grants;

    GrantorId self;
    UpstreamId upstream;
    Share part;
    Share early;
    std::vector<VmId> proxies;
    ShareSettings settings;
    /// From when the whole part is given out.
    TimePoint openFrom;
    std::map<HolderKey, Holder> holders;
};

/// Holds this proxy's part of one upstream from one grantor.
class ShareHolder
{
public:
    ShareHolder(VmId self, Incarnation incarnation, UpstreamId upstream, GrantorId grantor, ShareSettings settings);

    /// Tells how much work runs under this share and how much could.
    /// \return a demand to send, if something is to be said now
    auto workChanged(std::uint32_t running, std::uint32_t wanted, TimePoint now) -> std::optional<ShareDemand>;

    auto granted(const ShareGrant &grant, TimePoint now) -> std::optional<ShareDemand>;
    auto tick(TimePoint now) -> std::optional<ShareDemand>;
    [[nodiscard]] auto nextTick(TimePoint now) const -> TimePoint;

    /// \return what may be used for work that starts at \p now
    [[nodiscard]] auto share(TimePoint now) const -> Share;

    [[nodiscard]] auto grantorId() const -> const GrantorId &;

    /// \return slots that the grantor was told are kept
    [[nodiscard]] auto kept() const -> std::uint32_t;

    /// Takes over what a former grantor gave; it is used on until this one's grantor answers.
    auto inherit(const ShareHolder &former) -> void;

private:
    auto demand(TimePoint now) -> ShareDemand;
    [[nodiscard]] auto mustSay(TimePoint now) const -> bool;

    VmId self;
    Incarnation incarnation;
    UpstreamId upstream;
    GrantorId grantor;
    ShareSettings settings;
    std::uint64_t sequence = 0;
    std::uint64_t number = 0;
    Share held;
    /// Slots that were told to the grantor as kept.
    std::uint32_t toldKeeps = 0;
    std::uint32_t toldWanted = 0;
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
    TimePoint sentAt{};
    TimePoint expiry{};
    std::optional<TimePoint> surplusSince;
};

/// Grantors of an upstream, in order; each has its part of the limit.
///
/// With two, the death of one leaves half of the upstream usable while the other's part waits out the handover.
constexpr std::size_t grantorsPerUpstream = 2;

/// \return the proxies that grant \p upstream, at most grantorsPerUpstream, by highest rendezvous hash
[[nodiscard]] auto grantorsOf(const UpstreamId &upstream, std::span<const membership::ProxyView> proxies) -> std::vector<GrantorId>;

/// \return the part of \p limit that the grantor at \p index of \p count gives out; the parts add up to the limit
[[nodiscard]] auto partOf(Share limit, std::size_t index, std::size_t count) -> Share;

} // namespace sapphirespool::decisions
