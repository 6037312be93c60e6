// messages.h: entries of the replicated log and the messages between replicas.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/Consensus/statemachine.h"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace sapphirespool::consensus
{

/// First entry of each term; committing it also commits the uncommitted entries of earlier terms.
struct NoOp
{
    auto operator==(const NoOp &) const -> bool = default;
};

/// A command of the state machine.
struct Command
{
    Bytes bytes;

    auto operator==(const Command &) const -> bool = default;
};

/// The control group from this entry on, committed or not.
struct Members
{
    std::vector<ControlMember> members;
    /// Whether the group ever had all its voters, or all that asked to join. Until then it accepts no commands, since the loss of one disk
    /// could lose them.
    bool formed = false;

    auto operator==(const Members &) const -> bool = default;
};

/// One entry of the log.
struct Entry
{
    LogIndex index;
    ElectionTerm term;
    std::variant<NoOp, Command, Members> content;

    auto operator==(const Entry &) const -> bool = default;
};

/// State that a replica must persist in addition to its entries.
struct HardState
{
    ElectionTerm term;
    /// Replica that this one voted for in the term; 0 for none.
    ReplicaId vote;
    /// Leader of the term, once this replica received a message from it or is the leader itself; 0 before.
    ReplicaId leader;

    auto operator==(const HardState &) const -> bool = default;
};

/// The state after the entry at index is applied, with the group at that index.
struct Snapshot
{
    LogIndex index;
    ElectionTerm term;
    Members members;
    Bytes state;
};

/// Number of a heartbeat round of one leader, increasing within a term.
using Round = support::StrongType<struct RoundTag, std::uint64_t>;

/// Requests a vote; with preVote, only asks whether the vote would be granted.
struct VoteRequest
{
    ElectionTerm term;
    bool preVote = false;
    LogIndex lastIndex;
    ElectionTerm lastTerm;
};

struct VoteReply
{
    ElectionTerm term;
    bool preVote = false;
    bool granted = false;
};

/// Sent by the leader to assert its leadership. The reply renews its lease and confirms reads, so it does not wait for the entries to be
/// synced.
struct Heartbeat
{
    ElectionTerm term;
    Round round;
    /// Commit index, limited to the entries that the receiver is known to hold.
    LogIndex commit;
};

struct HeartbeatReply
{
    ElectionTerm term;
    /// Round 0 renews no lease: it only tells that the sender is reachable while its disk is stalled.
    Round round;
};

struct AppendRequest
{
    ElectionTerm term;
    LogIndex previousIndex;
    ElectionTerm previousTerm;
    std::vector<Entry> entries;
    LogIndex commit;
};

/// Sent once the entries are synced.
struct AppendReply
{
    ElectionTerm term;
    bool accepted = false;
    /// Accepted: index of the last entry that is synced and matches the leader's. Rejected: index that the leader should try next.
    LogIndex index;
    /// Rejected: term of the receiver's entry at that index, so that the leader can skip a whole term at a time.
    ElectionTerm hintTerm;
};

/// A chunk of a snapshot, sent to a replica that lags behind the start of the leader's log.
struct SnapshotChunk
{
    ElectionTerm term;
    LogIndex snapshotIndex;
    ElectionTerm snapshotTerm;
    Members members;
    std::uint64_t offset = 0;
    Bytes data;
    bool last = false;
};

/// Requests the chunk that begins at the offset; installed is set once the complete snapshot is synced.
struct SnapshotReply
{
    ElectionTerm term;
    LogIndex snapshotIndex;
    std::uint64_t offset = 0;
    bool installed = false;
};

/// Sent by a leader that gives up its leadership, and with it the lease of its term, although a quorum can go on without it.
struct Resigned
{
    ElectionTerm term;
};

using Message = std::variant<VoteRequest, VoteReply, Heartbeat, HeartbeatReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, Resigned>;

} // namespace sapphirespool::consensus
