// upstreamload.h: decides which member of a group serves a read.
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
    /// Statements of this proxy that the member works on or that wait for it.
    std::size_t inUse = 0;
};

/// Sends reads where they are likely to be done first.
///
/// Load pattern: one member of a group becomes slow, or other proxies fill it up; statements pile up there while its peers idle.
/// Without it reads go round in turn, a third of them waits behind the slow member, and the callers' slowest answers are its own.
/// The expected time is the member's recent time for a read times the statements that this proxy has there already (least expected
/// latency with a peak-sensitive average). A member that nobody asks fades back to being worth a try.
class UpstreamLoad
{
public:
    /// Weight of the newest time in the average: the last five or so count.
    static constexpr auto newest = 0.2;
    /// Time after which an average that got nothing new counts for half.
    static constexpr auto halfLife = std::chrono::milliseconds(2'000);
    /// A failed member is asked last for this long; doubled for each further failure, up to the limit.
    static constexpr auto firstRest = std::chrono::milliseconds(100);
    static constexpr auto longestRest = std::chrono::milliseconds(2'000);
    /// A member that lacks what a read must see is asked last for this part of the time that it is behind, within the bounds: one that is
    /// a replication delay of some tens of milliseconds behind has caught up in the next moment, one that is ten seconds behind has not.
    /// Each read that asks it in vain loses a way there and back and its place in a queue; the latest that its recovery goes
    /// unnoticed is the longest rest.
    static constexpr auto lagPart = 4;
    static constexpr auto shortestLagRest = std::chrono::milliseconds(60);
    static constexpr auto longestLagRest = std::chrono::milliseconds(1'000);
    /// Least expected time, so that the way between zones, some milliseconds, counts against an idle member elsewhere.
    static constexpr auto floor = std::chrono::milliseconds(5);
    /// What a member in another zone costs on top: the way there and back, and traffic between zones that is paid for.
    static constexpr auto otherZone = std::chrono::milliseconds(3);
    /// The primary also carries all writes and transactions, so that a read there holds up work that can go nowhere else. With this
    /// weight it gets reads once the replicas are twice as busy.
    static constexpr auto primaryWeight = 2.0;

    /// Notes that \p upstream served a read in \p time.
    auto served(const UpstreamId &upstream, Duration time, TimePoint now) -> void;

    /// Notes that \p upstream did not serve: it was unreachable, full or silent.
    auto failed(const UpstreamId &upstream, TimePoint now) -> void;

    /// Notes that \p upstream lacked what a read had to see.
    /// \param behind how long ago the group's log had already more than the upstream has; zero if that is not known
    auto lagged(const UpstreamId &upstream, Duration behind, TimePoint now) -> void;

    /// Keeps nothing of the upstreams that are not among \p present.
    auto keepOnly(const std::set<UpstreamId> &present) -> void;

    /// \return the candidate that is likely to be done first; null if there is none
    [[nodiscard]] auto choose(std::span<const ReadCandidate> candidates, TimePoint now) const -> const ReadCandidate *;

private:
    struct Member
    {
        double averageMs = 0.0;
        TimePoint noted{};
        TimePoint restsUntil{};
        std::chrono::milliseconds rest{0};
    };

    [[nodiscard]] auto expectedMs(const ReadCandidate &candidate, TimePoint now) const -> double;

    std::map<UpstreamId, Member> members;
};

} // namespace sapphirespool::interactive
