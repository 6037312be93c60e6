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

/// First entry of each term; commits what earlier terms left behind.
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
    /// Whether the group ever had all its initial voters. Before that it accepts no commands, since one lost disk could lose them.
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

/// What a replica must not forget besides its entries.
struct HardState
{
    ElectionTerm term;
    /// Replica that got this one's vote in the term; 0 for none.
    ReplicaId vote;
    /// Leader of the term, once this replica heard it or leads itself; 0 before.
    ReplicaId leader;

    auto operator==(const HardState &) const -> bool = default;
};

/// The state machine after the entry at index, with the group at that point.
struct Snapshot
{
    LogIndex index;
    ElectionTerm term;
    Members members;
    Bytes state;
};

/// Number of a heartbeat round of one leader, rising in a term.
using Round = support::StrongType<struct RoundTag, std::uint64_t>;

/// Asks for a vote; with preVote only whether one would be given.
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

/// Says that the leader lives. The reply renews its lease and confirms reads, so it does not wait for the disk.
struct Heartbeat
{
    ElectionTerm term;
    Round round;
    /// What is committed, as far as the leader knows the receiver to hold it.
    LogIndex commit;
};

struct HeartbeatReply
{
    ElectionTerm term;
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
    /// Accepted: last entry that is synced and equal to the leader's. Refused: where the leader should try next.
    LogIndex index;
    /// Refused: term of the receiver's entry at that index, so that the leader skips a whole term at a time.
    ElectionTerm hintTerm;
};

/// A part of a snapshot for a replica that is behind the start of the log.
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

/// Asks for the part that begins at the offset; installed once the whole is synced.
struct SnapshotReply
{
    ElectionTerm term;
    LogIndex snapshotIndex;
    std::uint64_t offset = 0;
    bool installed = false;
};

using Message = std::variant<VoteRequest, VoteReply, Heartbeat, HeartbeatReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply>;

} // namespace sapphirespool::consensus
