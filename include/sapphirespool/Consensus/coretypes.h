// coretypes.h: events, actions and settings of the consensus core.
#pragma once

#include "sapphirespool/Consensus/messages.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace sapphirespool::consensus
{

/// Part of a replica in its term.
enum class CoreRole {
    Follower,
    /// Asks whether an election would succeed, without raising the term.
    PreCandidate,
    Candidate,
    Leader,
};

/// Figures of the protocol.
struct CoreSettings
{
    /// Heartbeats are 10 to 20 times rarer than a round trip between zones (3 ms), so that they cost little.
    Duration heartbeatInterval = std::chrono::milliseconds(50);
    /// Six heartbeats may be lost or late in a row before anyone suspects the leader.
    Duration minimumElectionTimeout = std::chrono::milliseconds(300);
    /// Twice the minimum spreads the candidates of a group of five well beyond a round trip and a sync.
    Duration maximumElectionTimeout = std::chrono::milliseconds(600);
    /// Clocks of two VMs may differ in rate by this share. Steady clocks are slewed by 0.05 % at most; 10 % leaves room for a
    /// virtual machine whose host corrects its clock.
    double clockDriftBound = 0.1;
    /// Entries not acknowledged for this long are sent again; ample for a round trip and a slow sync.
    Duration resendAfter = std::chrono::milliseconds(200);
    /// One append message holds about this many bytes, so that it does not hold up a heartbeat on the same connection.
    std::size_t appendBytes = 64 * 1024;
    /// Append messages on their way to one peer before the first is acknowledged.
    std::size_t appendsInFlight = 8;
    /// Bytes of a snapshot in one message, for the same reason as appendBytes.
    std::size_t chunkBytes = 64 * 1024;
    /// Entries kept before a snapshot, so that a follower that is a little behind needs no snapshot.
    std::uint64_t entriesKept = 1000;
    /// Voters that the group is meant to have before it accepts commands.
    std::size_t foundingVoters = 1;

    /// \return how long a leader may rely on a heartbeat, from when it sent it: voters that heard it keep their vote for the
    ///         minimum election timeout by their clocks, which may run faster than the leader's
    [[nodiscard]] auto leaseLength() const -> Duration;
};

/// What the disk gave back at the start.
struct Recovered
{
    HardState hard;
    std::shared_ptr<const Snapshot> snapshot;
    /// Entries after the snapshot, without gaps.
    std::vector<Entry> entries;
};

/// Number by which the owner knows a proposal or read of its own.
using RequestNumber = support::StrongType<struct RequestNumberTag, std::uint64_t>;
/// Number of a Persist or SaveSnapshot, rising.
using PersistToken = support::StrongType<struct PersistTokenTag, std::uint64_t>;

/// \name Events
/// @{
struct Received
{
    ReplicaId from;
    Message message;
};

/// deadline() has come.
struct Timer
{
};

/// Messages reach the replica from now on; what was sent to it before may be lost.
struct Reached
{
    ReplicaId replica;
};

/// The process that used the replica's data folder has ended, and the folder is lost: its VM runs another replica.
struct Ended
{
    ReplicaId replica;
};

/// All writes up to the token are on the disk.
struct DiskSynced
{
    PersistToken token;
};

/// A write or sync failed. Nothing after it will be reported synced.
struct DiskFailed
{
};

struct Proposed
{
    RequestNumber number;
    Bytes command;
};

struct MembersProposed
{
    RequestNumber number;
    std::vector<ControlMember> members;
};

struct ReadRequested
{
    RequestNumber number;
};

/// This replica is the first of a new group. The owner made sure that no other replica is of any group.
struct Founded
{
    ControlMember member;
};

/// The owner took a snapshot of the state machine after the entry at index.
struct SnapshotTaken
{
    LogIndex index;
    Bytes state;
};
/// @}

using CoreEvent = std::variant<Received, Timer, Reached, Ended, DiskSynced, DiskFailed, Proposed, MembersProposed, ReadRequested, Founded, SnapshotTaken>;

/// \name Actions
/// @{
struct Send
{
    ReplicaId to;
    Message message;
};

/// Write in this order: the hard state, the cut, the entries.
struct Persist
{
    PersistToken token;
    std::optional<HardState> hard;
    /// Entries from here on are void.
    std::optional<LogIndex> cutFrom;
    std::vector<Entry> entries;
};

/// Replace the stored snapshot, then store of the log only what is given here.
struct SaveSnapshot
{
    PersistToken token;
    std::shared_ptr<const Snapshot> snapshot;
    HardState hard;
    std::vector<Entry> entries;
};

/// Apply a committed entry to the state machine.
struct Apply
{
    Entry entry;
    /// The proposal of this owner that it answers.
    std::optional<RequestNumber> number;
};

/// Replace the state machine by the snapshot.
struct Restore
{
    std::shared_ptr<const Snapshot> snapshot;
};

/// The state applied so far holds all that was committed when the read was requested.
struct ReadReady
{
    RequestNumber number;
};

/// A proposal or read has no result.
struct Failed
{
    RequestNumber number;
    ProposalFailure failure;
};
/// @}

using Action = std::variant<Send, Persist, SaveSnapshot, Apply, Restore, ReadReady, Failed>;
using Actions = std::vector<Action>;

/// A snapshot of which parts have come from the leader of a term.
struct IncomingSnapshot
{
    ElectionTerm leaderTerm;
    Snapshot snapshot;
};

} // namespace sapphirespool::consensus
