// upstreamload.h: selects the member of a group that serves a read.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <map>
#include <set>
#include <span>

namespace sapphirespool::interactive
{

/// A member that may serve a read.
struct ReadCandidate
{
    UpstreamId upstream;
    bool isPrimary = false;
    bool inOwnZone = false;
    /// Statements of this proxy that the member runs or that wait for it.
    std::size_t inUse = 0;
    /// Whether a connection for the caller's customer is likely open there.
    bool isWarm = true;
};

/// Selects the member that is expected to finish a read first.
///
/// Load pattern: one member of a group becomes slow, or other proxies saturate it, so that statements queue there while its peers are idle.
/// With round-robin selection a third of the reads would wait for the slow member, which would set the callers' tail latency.
/// The expected time is the member's recent time for a read times the statements that this proxy has there already (least expected
/// latency with a peak-sensitive average). The average of a member without reads decays until it is eligible for a trial request.
class UpstreamLoad
{
public:
    /// Weight of the newest time in the average, so that about the last five times count.
    static constexpr auto newestWeight = 0.2;
    /// Time after which an average without new values counts for half.
    static constexpr auto halfLife = std::chrono::milliseconds(2'000);
    /// Backoff during which a failed member is the last choice; doubled for each further failure, up to the limit.
    static constexpr auto firstBackoff = std::chrono::milliseconds(100);
    static constexpr auto longestBackoff = std::chrono::milliseconds(2'000);
    /// A member that lacks the position that a read requires is the last choice for its lag divided by this, within the bounds. A member
    /// with a replication delay of some tens of milliseconds catches up almost at once, one that is ten seconds behind does not.
    /// Each read that a lagging member refuses costs a round trip and a position in a queue. The upper bound limits how long its recovery goes
    /// unnoticed.
    static constexpr auto lagDivisor = 4;
    static constexpr auto shortestLagBackoff = std::chrono::milliseconds(60);
    static constexpr auto longestLagBackoff = std::chrono::milliseconds(1'000);
    /// Lower bound of the expected time, so that the network path between zones, some milliseconds, counts against an idle member in another
    /// zone.
    static constexpr auto leastExpectedTime = std::chrono::milliseconds(5);
    /// Added to the expected time of a member in another zone, for the round trip and the cost of traffic between zones.
    static constexpr auto crossZonePenalty = std::chrono::milliseconds(3);
    /// Added to the expected time of a member to which a connection must be opened first: a handshake takes this much of one of its slots.
    static constexpr auto handshakePenalty = std::chrono::milliseconds(12);
    /// The primary also serves all writes and transactions, so a read there delays work that no other member can do. With this weight it
    /// gets reads only when the replicas are twice as busy.
    static constexpr auto primaryWeight = 2.0;

    /// Records that \p upstream served a read in \p time.
    auto served(const UpstreamId &upstream, Duration time, TimePoint now) -> void;

    /// Records that \p upstream did not serve a read because it was unreachable, full or unresponsive.
    auto failed(const UpstreamId &upstream, TimePoint now) -> void;

    /// Records that \p upstream lacked the position that a read requires.
    /// \param behind time since the earliest proof that the group's log extends beyond that of the upstream; zero if there is no such proof
    auto lagged(const UpstreamId &upstream, Duration behind, TimePoint now) -> void;

    /// Removes all upstreams that are not in \p present.
    auto keepOnly(const std::set<UpstreamId> &present) -> void;

    /// \return the candidate with the least expected time; null if there is none
    [[nodiscard]] auto choose(std::span<const ReadCandidate> candidates, TimePoint now) const -> const ReadCandidate *;

private:
    struct Member
    {
        double averageMs = 0.0;
        TimePoint updatedAt{};
        TimePoint backoffUntil{};
        std::chrono::milliseconds backoff{0};
    };

    [[nodiscard]] auto expectedMs(const ReadCandidate &candidate, TimePoint now) const -> double;

    std::map<UpstreamId, Member> members;
};

} // namespace sapphirespool::interactive
