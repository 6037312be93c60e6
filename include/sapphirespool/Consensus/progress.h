// progress.h: a leader's replication state for one other replica.
#pragma once

#include "sapphirespool/Consensus/messages.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace sapphirespool::consensus
{

/// Replication state that the leader holds for one replica.
struct Progress
{
    /// Last entry known to be synced on the replica and to match the leader's.
    LogIndex match;
    /// Entry to send next.
    LogIndex next;
    /// Whether the leader is still searching for the last matching entry; it then sends one message at a time.
    bool probing = true;
    std::size_t inFlight = 0;
    /// Start of the resend timeout: the time of the replica's last progress, of the first message after an idle phase, or of the last
    /// resend or snapshot chunk.
    TimePoint resendTimerStart{};
    /// Time of its last reply in this term, except for replies that only tell that it is reachable.
    TimePoint lastContactTime{};
    /// Time of its last reply of any kind in this term.
    TimePoint lastReplyTime{};
    /// Whether it has replied to this leader at all.
    bool hasReplied = false;
    /// Last heartbeat round that it acknowledged.
    Round round;
    /// Snapshot being sent to it; retained until the transfer ends, even if a newer one is taken.
    std::shared_ptr<const Snapshot> snapshot;
    /// Offset of the last chunk sent.
    std::uint64_t snapshotOffset = 0;
};

} // namespace sapphirespool::consensus
