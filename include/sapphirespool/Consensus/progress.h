// progress.h: what a leader knows of one other replica.
#pragma once

#include "sapphirespool/Consensus/messages.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace sapphirespool::consensus
{

/// State of the replication to one replica.
struct Progress
{
    /// Last entry known to be synced there and equal to the leader's.
    LogIndex match;
    /// Entry to send next.
    LogIndex next;
    /// Whether the leader still looks for the last common entry; it then sends one message at a time.
    bool probing = true;
    std::size_t inFlight = 0;
    /// When the replica last made progress, or was last sent the same again.
    TimePoint movedAt{};
    /// When it last answered anything in this term.
    TimePoint heardAt{};
    /// Last heartbeat round that it answered.
    Round round;
    /// Snapshot on its way to it; kept whole while it is sent, also when a newer one is taken.
    std::shared_ptr<const Snapshot> snapshot;
    /// Where the part last sent of it begins.
    std::uint64_t snapshotOffset = 0;
};

} // namespace sapphirespool::consensus
