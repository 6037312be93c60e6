// timing.h: the times of promotion and their grounds.
#pragma once

#include <algorithm>
#include <chrono>

namespace sapphirespool::promotion
{

/// How often members announce themselves unless the settings say otherwise.
constexpr auto usualAnnouncementInterval = std::chrono::milliseconds(200);

/// Members announce themselves every 200 ms. Four in a row are missing at the end of this time: a lost segment, which TCP sends
/// again after 200 to 400 ms, or a stall of half a second does not cost a promotion; the gap stays far below the 7 s allowed.
constexpr auto silenceLimit = std::chrono::milliseconds(1'000);

/// \return how long a member may be silent that announces itself every \p interval
///
/// Two announcements in a row are missing at the end of two and a half intervals, so that one that was lost or is late costs no
/// promotion. Where announcements are that rare, the proxies' suspicions are what finds a dead primary early.
constexpr auto silenceAfter(std::chrono::milliseconds interval) -> std::chrono::milliseconds
{
    return std::max(silenceLimit, interval * 5 / 2);
}

/// Length of a proxy's lease on its view. It outlasts an election of control, which takes up to about 2 s, so that acknowledging does
/// not stop with each lost control VM. A promotion waits this long at most for a proxy that is lost or cut off at the same time, and
/// not at all while all proxies answer; with the detection before it that stays below the 7 s allowed.
constexpr auto leaseLength = std::chrono::milliseconds(3'000);

/// Suspicions of different zones count together within this time. Proxies whose callers are few notice a dead primary up to a
/// timeout of 2 s apart.
constexpr auto suspicionLife = std::chrono::milliseconds(2'000);

/// Zones that must suspect a primary: one zone that lost its way to it is no reason to stop it for the others.
constexpr auto suspectingZones = std::size_t{2};

/// An order that got no answer is sent again. A way between zones takes 3 ms there and back and a sync of a disk up to 20 ms, so
/// that no answer after this time means a lost one.
constexpr auto orderRetry = std::chrono::milliseconds(250);

/// A proposal that did not change the state in this time is made again; a commit takes a few syncs.
constexpr auto proposalRetry = std::chrono::milliseconds(1'000);

/// How long a fenced majority waits for one more member, when it could only choose a member that had better not be primary. The
/// fences go out at the same time, so that the last answer is a sync behind the others.
constexpr auto choiceGrace = std::chrono::milliseconds(60);

/// How long the choice in a self-replicating group waits for the reports of members that have neither answered nor failed to. Nobody
/// promises that any one of them holds the last acknowledged writes, so that each further report may save some; an order takes a few
/// milliseconds, or some hundred where the member's slots are taken.
constexpr auto reportGrace = std::chrono::milliseconds(300);

/// How long the choice waits for a replica to receive what the former primary acknowledged before it stepped down, and how often the
/// replicas are asked meanwhile. What was acknowledged is on its way to them already, some milliseconds behind; a replica that has not
/// received it after a second is cut off from the former primary.
constexpr auto catchUpGrace = std::chrono::milliseconds(1'000);
constexpr auto catchUpRetry = std::chrono::milliseconds(40);

/// A silent primary that no proxy suspects is replaced after this many times the usual silence: announcements may be cut off from
/// control alone while proxies are served.
constexpr auto unsuspectedSilence = 4;

/// A leaving primary is quiet when its position has not moved for this time: longer than an announcement takes from each member.
constexpr auto handoverQuiet = std::chrono::milliseconds(300);

/// A leaving primary that does not become quiet is replaced after this time; writes in flight then end unknown, none is lost.
constexpr auto handoverDeadline = std::chrono::milliseconds(5'000);

/// Second promotion within calmTime waits this long from the first one, each further one twice as long as the one before. On a
/// flapping link each promotion stops all writes of the group for a while, so that promotions without a pause would stop them for
/// good; two in a row still end within the 7 s allowed.
constexpr auto firstPause = std::chrono::milliseconds(2'000);
constexpr auto longestPause = std::chrono::milliseconds(30'000);
constexpr auto calmTime = std::chrono::milliseconds(60'000);

/// How often a group that is in motion is looked at.
constexpr auto motionInterval = std::chrono::milliseconds(20);

} // namespace sapphirespool::promotion
