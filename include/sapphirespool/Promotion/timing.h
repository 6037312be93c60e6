// timing.h: timing constants of promotion, each with its reason.
#pragma once

#include <algorithm>
#include <chrono>

namespace sapphirespool::promotion
{

/// Default interval of the health reports of a member.
constexpr auto defaultAnnouncementInterval = std::chrono::milliseconds(200);

/// Lower bound of the time since the last health report after which a member counts as lost. At the default interval of 200 ms four
/// successive reports are then missing: neither a lost segment, which TCP retransmits after 200 to 400 ms, nor a stall of half a second
/// causes a promotion. The failover still takes far less than the allowed 7 s.
constexpr auto minimumContactTimeout = std::chrono::milliseconds(1'000);

/// \return the time since the last health report after which a member that sends one every \p interval counts as lost
///
/// After two and a half intervals two successive reports are missing, so a single lost or delayed report causes no promotion. With long
/// intervals a failed primary is detected earlier by the suspicions of the proxies.
constexpr auto contactTimeoutFor(std::chrono::milliseconds interval) -> std::chrono::milliseconds
{
    return std::max(minimumContactTimeout, interval * 5 / 2);
}

/// Length of a proxy's lease on its view. It is longer than a control election, which takes up to about 2 s, so that the loss of a control
/// VM does not stop acknowledgements. A promotion is delayed by at most this time if a proxy is lost or partitioned at the same time, and
/// not at all while all proxies answer; together with the detection that is less than the allowed 7 s.
constexpr auto leaseLength = std::chrono::milliseconds(3'000);

/// Time for which a suspicion counts. Proxies with few callers may detect the same failed primary up to one statement timeout of 2 s
/// apart.
constexpr auto suspicionLifetime = std::chrono::milliseconds(2'000);

/// Zones that must suspect a primary before its term ends. A primary that only one zone cannot reach still serves the other zones.
constexpr auto suspectingZones = std::size_t{2};

/// Time after which an unanswered order is sent again. The round trip between zones takes 3 ms and a disk sync up to 20 ms, so an order
/// or answer that has not arrived by then is lost.
constexpr auto orderRetry = std::chrono::milliseconds(250);

/// Time after which a proposal that has not changed the state is repeated. A commit takes a few disk syncs.
constexpr auto proposalRetry = std::chrono::milliseconds(1'000);

/// Time for which the choice is delayed if the fenced majority leaves only a member that should be avoided. All fences are sent at the same
/// time, so the last answer arrives about one disk sync after the others.
constexpr auto choiceGrace = std::chrono::milliseconds(60);

/// Time for which the choice in a self-replicating group is delayed while an order to a member is neither answered nor failed. No single
/// member is guaranteed to have the last acknowledged writes, so each further report may save some. An order takes a few milliseconds, or
/// a few hundred if all slots of the member are in use.
constexpr auto reportGrace = std::chrono::milliseconds(300);

/// Time for which the choice is delayed until a replica has received all writes that the former primary acknowledged before it stepped
/// down, and the interval at which replicas are asked for their position meanwhile. Replication lags by some milliseconds; a replica
/// that has not caught up after a second is partitioned from the former primary.
constexpr auto catchUpGrace = std::chrono::milliseconds(1'000);
constexpr auto catchUpRetry = std::chrono::milliseconds(40);

/// Age at which the report of a member is renewed while no primary can be chosen. It is well below minimumContactTimeout, so that the
/// report of a member without health reports shows in time that the member still responds.
constexpr auto reportRenewal = std::chrono::milliseconds(500);

/// Time without a primary after which an election is reported as overdue: the longest time that a failover may take.
constexpr auto electionLimit = std::chrono::milliseconds(7'000);

/// Factor on the time after which a silent primary of a self-replicating group is replaced if no proxy suspects it: the primary may be
/// partitioned from control only and still serve the proxies.
constexpr auto unsuspectedTimeoutFactor = 4;

/// Time without a change of position after which a leaving primary counts as idle; longer than a health report of any member takes to
/// arrive.
constexpr auto handoverQuiet = std::chrono::milliseconds(300);

/// Time after which a leaving primary is replaced even if it is not idle. Writes in flight then have an unknown outcome, but no acknowledged
/// write is lost.
constexpr auto handoverDeadline = std::chrono::milliseconds(5'000);

/// Backoff between promotions: it begins at initialBackoff, doubles with each promotion up to maximumBackoff, and is reset after
/// backoffResetTime without a promotion. Each promotion stops the writes of the group for a while, so on a flapping network path promotions
/// without backoff would stop them permanently. Two successive promotions still end within the allowed 7 s.
constexpr auto initialBackoff = std::chrono::milliseconds(2'000);
constexpr auto maximumBackoff = std::chrono::milliseconds(30'000);
constexpr auto backoffResetTime = std::chrono::milliseconds(60'000);

/// Time after which an order that got no answer is taken to be carried out no more. Members carry out an order up to twelve seconds after
/// they received it.
constexpr auto lateOrderLimit = std::chrono::milliseconds(15'000);

/// Interval of advance() while a promotion or handover is in progress.
constexpr auto transitionInterval = std::chrono::milliseconds(20);

} // namespace sapphirespool::promotion
