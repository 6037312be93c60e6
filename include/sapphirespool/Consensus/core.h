// core.h: the consensus protocol as a state machine without I/O: handle(event, now) -> actions.
#pragma once

#include "sapphirespool/Consensus/coretypes.h"
#include "sapphirespool/Consensus/logwindow.h"
#include "sapphirespool/Consensus/messages.h"
#include "sapphirespool/Consensus/progress.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace sapphirespool::consensus
{

/// The Raft protocol of one replica.
///
/// The owner executes the actions in order, reports each completed Persist and SaveSnapshot with DiskSynced, and sends Timer once
/// deadline() has passed. Nothing that a Persist writes is acknowledged to a peer or counted here before its DiskSynced.
class Core
{
public:
    /// \param now start time of the process: the replica refuses votes for one minimum election timeout from here on, since the time of
    ///            its last contact with the leader is lost; it does not wait if it was the leader itself
    Core(ReplicaId self, CoreSettings settings, Recovered recovered, std::uint64_t seed, TimePoint now);

    [[nodiscard]] auto handle(const CoreEvent &event, TimePoint now) -> Actions;

    /// \return the time at which the owner must send Timer
    [[nodiscard]] auto deadline() const -> TimePoint;

    /// \return the time until which no other replica can be leader; the earliest time if this one is not the leader
    [[nodiscard]] auto leaderLeaseEnd() const -> TimePoint;
    /// \return whether this replica is the leader and no other can be leader at \p now
    [[nodiscard]] auto holdsLeaderLease(TimePoint now) const -> bool;

    [[nodiscard]] auto role() const -> CoreRole;
    [[nodiscard]] auto term() const -> ElectionTerm;
    /// \return the time since this leader last received a reply from \p replica; only meaningful on the leader
    [[nodiscard]] auto timeSinceContact(ReplicaId replica) const -> Duration;
    /// \return whether \p replica has replied to this leader since its election
    [[nodiscard]] auto hasReplied(ReplicaId replica) const -> bool;
    [[nodiscard]] auto leader() const -> std::optional<ReplicaId>;
    /// \return the time of the last contact with a leader, or the start time of this process
    [[nodiscard]] auto lastLeaderContactTime() const -> TimePoint;
    /// \return the time of the last contact with a quorum, this replica included; only meaningful on the leader
    [[nodiscard]] auto lastQuorumContactTime() const -> TimePoint;
    [[nodiscard]] auto commitIndex() const -> LogIndex;
    [[nodiscard]] auto log() const -> const LogWindow &;
    [[nodiscard]] auto members() const -> const Members &;
    /// \return whether \p replica votes by the committed members, or by those in the log
    [[nodiscard]] auto mayVote(ReplicaId replica) const -> bool;
    /// \return whether this replica is listed in the group; otherwise it must request to join. It may be listed and later dropped, when a
    ///         leader is replaced before it committed the entry that adds the replica.
    [[nodiscard]] auto isMember() const -> bool;
    /// \return whether this replica must request to join: it is not listed, or only as a learner without contact to a leader, so that the
    ///         entry that lists it may have been lost
    [[nodiscard]] auto needsToJoin() const -> bool;
    /// \return whether \p learner holds all committed entries; only meaningful on the leader
    [[nodiscard]] auto caughtUp(ReplicaId learner) const -> bool;
    /// \return whether a membership change can be proposed now
    [[nodiscard]] auto acceptsMemberChange() const -> bool;
    /// \return whether the oldest write waits for the disk for too long, which is full or does not respond
    [[nodiscard]] auto isDiskStalled() const -> bool;

private:
    /// A message that depends on a write that is not yet synced.
    struct HeldSend
    {
        PersistToken token;
        ElectionTerm term;
        ReplicaId to;
        Message message;
    };

    // core.cpp
    auto dispatch(const CoreEvent &event) -> void;
    auto onReceived(const Received &received) -> void;
    auto onTimer() -> void;
    auto onSynced(const DiskSynced &synced) -> void;
    auto onDiskFailed() -> void;
    auto send(ReplicaId to, Message message) -> void;
    auto sendWhenSynced(ReplicaId to, Message message) -> void;
    auto sendAfter(PersistToken token, ReplicaId to, Message message) -> void;
    auto persistHardState() -> void;
    auto nextToken(std::size_t entryBytes = 0) -> PersistToken;
    auto isCurrent(const HeldSend &held) const -> bool;
    auto isVoter(ReplicaId replica) const -> bool;
    auto voterCount() const -> std::size_t;
    auto quorum() const -> std::size_t;

    // backlog.cpp
    auto noteSynced(PersistToken token) -> void;
    [[nodiscard]] auto isBacklogFull() const -> bool;
    [[nodiscard]] auto quorumContinuesWithoutSelf() const -> bool;
    [[nodiscard]] auto oldestUnsyncedIndex() const -> LogIndex;
    auto resign() -> void;
    auto onResigned(ReplicaId from, const Resigned &resigned) -> void;

    // election.cpp
    auto electionTimeout() -> Duration;
    auto failPending() -> void;
    auto onVoteRequest(ReplicaId from, const VoteRequest &request) -> void;
    auto onVoteReply(ReplicaId from, const VoteReply &reply) -> void;
    auto campaign(bool preVote) -> void;
    auto countVotes() -> void;
    auto requestVotes() -> void;
    auto requestVote(ReplicaId voter) -> void;
    auto onReached(ReplicaId replica) -> void;
    auto onEnded(ReplicaId replica) -> void;
    auto onDeparting() -> void;
    auto releaseVote() -> void;
    [[nodiscard]] auto keepsVoteFrom(ReplicaId candidate, ElectionTerm asked) const -> bool;
    auto noteLeader(ReplicaId leader) -> void;
    auto becomeLeader() -> void;
    auto becomeFollower(ElectionTerm term, std::optional<ReplicaId> leader) -> void;
    auto hasRecentLeaderContact() const -> bool;
    auto logCovers(const VoteRequest &request) const -> bool;
    auto resetElectionDeadline() -> void;
    auto followLeader(ReplicaId from, ElectionTerm term) -> bool;

    // heartbeat.cpp
    auto sendHeartbeats() -> void;
    auto onHeartbeat(ReplicaId from, const Heartbeat &heartbeat) -> void;
    auto onHeartbeatReply(ReplicaId from, const HeartbeatReply &reply) -> void;
    auto confirmedRound() const -> Round;
    auto onRead(const ReadRequested &read) -> void;
    auto releaseReads() -> void;

    // replication.cpp
    auto onPropose(const Proposed &proposed) -> void;
    auto appendOwn(std::variant<NoOp, Command, Members> content, std::optional<RequestNumber> number) -> void;
    auto replicate(ReplicaId to) -> void;
    auto replicateToAll() -> void;
    auto resendStalled() -> void;
    auto onAppendRequest(ReplicaId from, const AppendRequest &request) -> void;
    auto onAppendReply(ReplicaId from, const AppendReply &reply) -> void;
    [[nodiscard]] auto nextAfterRefusal(const AppendReply &reply) const -> LogIndex;
    auto refuseAppend(ReplicaId from, const AppendRequest &request) -> void;
    auto appendReceivedEntries(const AppendRequest &request) -> void;
    auto noteWritten(PersistToken token) -> void;
    auto forgetWritten(LogIndex kept) -> void;
    auto commitByQuorum() -> void;
    auto advanceCommit(LogIndex target) -> void;

    // membership.cpp
    auto onMembersProposed(const MembersProposed &proposed) -> void;
    auto onFounded(const Founded &founded) -> void;
    auto reloadMembers() -> void;
    auto reloadProgress() -> void;
    auto isPermittedChange(const Members &next) const -> bool;

    // snapshots.cpp
    auto onSnapshotTaken(const SnapshotTaken &taken) -> void;
    auto sendChunk(ReplicaId to, std::uint64_t offset) -> void;
    auto onSnapshotChunk(ReplicaId from, const SnapshotChunk &chunk) -> void;
    auto onSnapshotReply(ReplicaId from, const SnapshotReply &reply) -> void;
    auto installSnapshot(ReplicaId from) -> void;
    auto saveSnapshot() -> void;

    struct PendingWrite
    {
        PersistToken token;
        TimePoint since;
        std::size_t entryBytes;
    };
    struct WrittenTo
    {
        PersistToken token;
        LogIndex index;
    };
    struct WaitingRead
    {
        RequestNumber number;
        LogIndex index;
        Round round;
    };

    ReplicaId self;
    CoreSettings settings;
    std::mt19937_64 random;
    TimePoint now;
    Actions actions;

    HardState hard;
    LogWindow window;
    LogIndex commit;
    /// Latest group in the log, committed or not; it takes effect as soon as it is appended.
    Members group;
    LogIndex groupIndex;
    Members committedGroup;
    LogIndex committedGroupIndex;

    CoreRole currentRole = CoreRole::Follower;
    std::optional<ReplicaId> knownLeader;
    TimePoint leaderContactTime;
    /// The leader of the last contact.
    std::optional<ReplicaId> lastLeader;
    bool departing = false;
    TimePoint electionDeadline;
    TimePoint nextVoteRequestTime;
    std::map<ReplicaId, bool> votes;

    PersistToken lastToken;
    PersistToken syncedToken;
    /// Token of the write of the latest hard state.
    PersistToken hardToken;
    bool diskFailed = false;
    /// Writes that are not yet synced, in the order of their tokens, and the bytes of their entries.
    std::deque<PendingWrite> pendingWrites;
    std::size_t pendingBytes = 0;
    std::deque<HeldSend> heldSends;
    std::deque<WrittenTo> written;
    LogIndex syncedIndex;

    // State of a leader.
    std::map<ReplicaId, Progress> progress;
    std::map<LogIndex, RequestNumber> proposals;
    Round round;
    std::map<Round, TimePoint> roundSent;
    TimePoint nextHeartbeat;
    LogIndex termStart;
    std::vector<WaitingRead> reads;

    // State of a replica that receives a snapshot.
    std::optional<IncomingSnapshot> incoming;
    std::shared_ptr<const Snapshot> snapshot;
};

} // namespace sapphirespool::consensus
