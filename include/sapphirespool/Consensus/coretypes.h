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

/// Role of a replica in its term.
enum class CoreRole {
    Follower,
    /// Asks whether an election would succeed, without raising the term.
    PreCandidate,
    Candidate,
    Leader,
};

/// Timeouts and limits of the protocol.
struct CoreSettings
{
    /// 10 to 20 round trips between availability zones (3 ms), so that heartbeats add little load.
    Duration heartbeatInterval = std::chrono::milliseconds(50);
    /// Six consecutive heartbeats may be lost or late before a follower suspects the leader.
    Duration minimumElectionTimeout = std::chrono::milliseconds(300);
    /// Twice the minimum spreads the election timeouts of a group of five well beyond a round trip and a sync.
    Duration maximumElectionTimeout = std::chrono::milliseconds(600);
    /// Maximum relative difference between the clock rates of two VMs. Steady clocks are slewed by 0.05 % at most; 10 % leaves a
    /// margin for a virtual machine whose host corrects its clock.
    double clockDriftBound = 0.1;
    /// Entries not acknowledged for this long are resent; long enough for a round trip and a slow sync.
    Duration resendAfter = std::chrono::milliseconds(200);
    /// Approximate size limit of one append message, so that it does not delay a heartbeat on the same connection.
    std::size_t appendBytes = 64 * 1024;
    /// Limit of unacknowledged append messages to one peer.
    std::size_t appendsInFlight = 8;
    /// Bytes of a snapshot in one message, limited for the same reason as appendBytes.
    std::size_t chunkBytes = 64 * 1024;
    /// A write that waits for the disk for longer counts as stalled. Below the maximum election timeout, so that a leader with a stalled
    /// disk is replaced no later than one that is lost; above the syncs of a busy disk.
    Duration stalledWriteTimeout = std::chrono::milliseconds(400);
    /// Bytes of entries that may wait for the disk. Beyond them entries are neither kept nor acknowledged.
    std::size_t backlogBytes = 8 * 1024 * 1024;
    /// Entries retained before a snapshot, so that a follower that lags slightly needs no snapshot.
    std::uint64_t entriesKept = 1000;
    /// Number of voters with which the group accepts commands.
    std::size_t foundingVoters = 1;

    /// \return the duration of the leader lease, counted from the time at which a heartbeat is sent: voters that received it withhold
    ///         their vote for the minimum election timeout by their own clocks, which may run faster than the leader's
    [[nodiscard]] auto leaseLength() const -> Duration;
};

/// State read from disk at startup.
struct Recovered
{
    HardState hard;
    std::shared_ptr<const Snapshot> snapshot;
    /// Entries after the snapshot, without gaps.
    std::vector<Entry> entries;
};

/// Number by which the owner identifies one of its proposals or reads.
using RequestNumber = support::StrongType<struct RequestNumberTag, std::uint64_t>;
/// Number of a Persist or SaveSnapshot, strictly increasing.
using PersistToken = support::StrongType<struct PersistTokenTag, std::uint64_t>;

/// \name Events
/// @{
struct Received
{
    ReplicaId from;
    Message message;
};

/// deadline() has passed.
struct Timer
{
};

/// The replica is reachable from now on; messages sent to it earlier may be lost.
struct Reached
{
    ReplicaId replica;
};

/// The process that used the replica's data folder has ended and the folder is lost: its VM runs a different replica now.
struct Ended
{
    ReplicaId replica;
};

/// This process is about to end: the replica hands over the leadership, and takes it again only if no other one does.
struct Departing
{
};

/// All writes up to the token are synced to disk.
struct DiskSynced
{
    PersistToken token;
};

/// A write or sync failed. No later write is reported as synced.
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
    /// Whether the group accepts commands although it has fewer voters than CoreSettings::foundingVoters, as no other VM asks to join.
    bool complete = false;
};

struct ReadRequested
{
    RequestNumber number;
};

/// This replica bootstraps a new group. The owner has verified that no other replica belongs to a group.
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

using CoreEvent
    = std::variant<Received, Timer, Reached, Ended, Departing, DiskSynced, DiskFailed, Proposed, MembersProposed, ReadRequested, Founded, SnapshotTaken>;

/// \name Actions
/// @{
struct Send
{
    ReplicaId to;
    Message message;
};

/// Write the hard state, then the truncation, then the entries.
struct Persist
{
    PersistToken token;
    std::optional<HardState> hard;
    /// Entries from this index on are truncated.
    std::optional<LogIndex> cutFrom;
    std::vector<Entry> entries;
};

/// Replace the stored snapshot, then replace the stored log by the hard state and entries given here.
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
    /// The owner's proposal that produced this entry, if any.
    std::optional<RequestNumber> number;
};

/// Replace the state of the state machine by the snapshot.
struct Restore
{
    std::shared_ptr<const Snapshot> snapshot;
};

/// The applied state includes all entries that were committed when the read was requested.
struct ReadReady
{
    RequestNumber number;
};

/// A proposal or read ended without a result.
struct Failed
{
    RequestNumber number;
    ProposalFailure failure;
};
/// @}

using Action = std::variant<Send, Persist, SaveSnapshot, Apply, Restore, ReadReady, Failed>;
using Actions = std::vector<Action>;

/// A partially received snapshot from the leader of a term.
struct IncomingSnapshot
{
    ElectionTerm leaderTerm;
    Snapshot snapshot;
};

} // namespace sapphirespool::consensus
