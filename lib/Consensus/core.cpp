#include "sapphirespool/Consensus/core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

/// Replaces \p held by the later message \p next of the same kind that waits for the same write.
auto mergeInto(Message &held, Message next) -> void
{
    // A repeated request may cover fewer entries than the one before it, which are in the log nevertheless.
    const auto *const former = std::get_if<AppendReply>(&held);
    if (former != nullptr && former->index > std::get<AppendReply>(next).index) {
        return;
    }
    held = std::move(next);
}

} // namespace

auto CoreSettings::leaseLength() const -> Duration
{
    const auto length = static_cast<double>(this->minimumElectionTimeout.count()) * (1.0 - this->clockDriftBound);
    return Duration(static_cast<Duration::rep>(length));
}

Core::Core(ReplicaId self, CoreSettings settings, Recovered recovered, std::uint64_t seed, TimePoint now)
    : self(self)
    , settings(settings)
    , random(seed)
    , now(now)
    , hard(recovered.hard)
    , leaderContactTime(now)
    , snapshot(std::move(recovered.snapshot))
{
    if (this->snapshot != nullptr) {
        this->window = LogWindow(this->snapshot->index, this->snapshot->term);
        this->commit = this->snapshot->index;
        this->committedGroup = this->snapshot->members;
        this->committedGroupIndex = this->snapshot->index;
    }
    for (auto &entry : recovered.entries) {
        this->window.append(std::move(entry));
    }
    this->syncedIndex = this->window.lastIndex();
    this->reloadMembers();
    this->resetElectionDeadline();
    if (this->hard.leader == self) {
        // This replica's own lease ended with its process, and it acknowledged no other leader's: it need not wait before an election.
        this->leaderContactTime = now - this->settings.minimumElectionTimeout;
        this->electionDeadline = now;
    }
}

auto Core::handle(const CoreEvent &event, TimePoint now) -> Actions
{
    this->now = now;
    this->dispatch(event);
    return std::exchange(this->actions, {});
}

auto Core::deadline() const -> TimePoint
{
    switch (this->currentRole) {
    case CoreRole::Leader:
        return this->nextHeartbeat;
    case CoreRole::PreCandidate:
        return std::min(this->nextVoteRequestTime, this->electionDeadline);
    case CoreRole::Follower:
    case CoreRole::Candidate:
        return this->electionDeadline;
    }
    return this->electionDeadline;
}

auto Core::role() const -> CoreRole
{
    return this->currentRole;
}

auto Core::term() const -> ElectionTerm
{
    return this->hard.term;
}

auto Core::leader() const -> std::optional<ReplicaId>
{
    return this->knownLeader;
}

auto Core::lastLeaderContactTime() const -> TimePoint
{
    return this->leaderContactTime;
}

auto Core::commitIndex() const -> LogIndex
{
    return this->commit;
}

auto Core::log() const -> const LogWindow &
{
    return this->window;
}

auto Core::members() const -> const Members &
{
    return this->group;
}

auto Core::dispatch(const CoreEvent &event) -> void
{
    std::visit(Overloaded{
                   [this](const Received &received) {
                       this->onReceived(received);
                   },
                   [this](const Timer &) {
                       this->onTimer();
                   },
                   [this](const Reached &reached) {
                       this->onReached(reached.replica);
                   },
                   [this](const Ended &ended) {
                       this->onEnded(ended.replica);
                   },
                   [this](const Departing &) {
                       this->onDeparting();
                   },
                   [this](const DiskSynced &synced) {
                       this->onSynced(synced);
                   },
                   [this](const DiskFailed &) {
                       this->onDiskFailed();
                   },
                   [this](const Proposed &proposed) {
                       this->onPropose(proposed);
                   },
                   [this](const MembersProposed &proposed) {
                       this->onMembersProposed(proposed);
                   },
                   [this](const ReadRequested &read) {
                       this->onRead(read);
                   },
                   [this](const Founded &founded) {
                       this->onFounded(founded);
                   },
                   [this](const SnapshotTaken &taken) {
                       this->onSnapshotTaken(taken);
                   },
               },
               event);
}

auto Core::onReceived(const Received &received) -> void
{
    const auto from = received.from;
    std::visit(Overloaded{
                   [this, from](const VoteRequest &message) {
                       this->onVoteRequest(from, message);
                   },
                   [this, from](const VoteReply &message) {
                       this->onVoteReply(from, message);
                   },
                   [this, from](const Heartbeat &message) {
                       this->onHeartbeat(from, message);
                   },
                   [this, from](const HeartbeatReply &message) {
                       this->onHeartbeatReply(from, message);
                   },
                   [this, from](const AppendRequest &message) {
                       this->onAppendRequest(from, message);
                   },
                   [this, from](const AppendReply &message) {
                       this->onAppendReply(from, message);
                   },
                   [this, from](const SnapshotChunk &message) {
                       this->onSnapshotChunk(from, message);
                   },
                   [this, from](const SnapshotReply &message) {
                       this->onSnapshotReply(from, message);
                   },
                   [this, from](const Resigned &message) {
                       this->onResigned(from, message);
                   },
               },
               received.message);
}

auto Core::onTimer() -> void
{
    if (this->currentRole != CoreRole::Leader) {
        if (this->now >= this->electionDeadline) {
            this->campaign(true);
        } else if (this->currentRole == CoreRole::PreCandidate && this->now >= this->nextVoteRequestTime) {
            this->requestVotes();
        }
        return;
    }
    // A partitioned leader would keep its callers waiting for commits that cannot happen. Without contact to a quorum it steps
    // down, so that callers receive NotLeader immediately.
    if (this->lastQuorumContactTime() < this->now - this->settings.maximumElectionTimeout) {
        this->becomeFollower(this->hard.term, std::nullopt);
        return;
    }
    // The other voters commit without this disk, but the loss of one more of them would stop all commits under this leader.
    if (this->isDiskStalled() && this->quorumContinuesWithoutSelf()) {
        this->resign();
        return;
    }
    if (this->now >= this->nextHeartbeat) {
        this->sendHeartbeats();
        this->resendStalled();
    }
}

auto Core::onSynced(const DiskSynced &synced) -> void
{
    if (this->diskFailed) {
        return;
    }
    this->syncedToken = std::max(this->syncedToken, synced.token);
    this->noteSynced(synced.token);
    while (!this->written.empty() && this->written.front().token <= this->syncedToken) {
        this->syncedIndex = std::max(this->syncedIndex, this->written.front().index);
        this->written.pop_front();
    }
    auto ready = std::vector<HeldSend>();
    while (!this->heldSends.empty() && this->heldSends.front().token <= this->syncedToken) {
        ready.push_back(std::move(this->heldSends.front()));
        this->heldSends.pop_front();
    }
    for (auto &held : ready) {
        if (this->isCurrent(held)) {
            this->send(held.to, std::move(held.message));
        }
    }
    if (this->currentRole == CoreRole::Leader) {
        this->commitByQuorum();
    }
}

auto Core::onDiskFailed() -> void
{
    // After a failed sync the operating system may have dropped the dirty pages, and a second sync would succeed without
    // them: an acknowledged entry would be missing after a restart. So nothing is acknowledged until the process restarts.
    this->diskFailed = true;
    this->heldSends.clear();
    this->written.clear();
    if (this->currentRole == CoreRole::Leader) {
        this->resign();
    } else if (this->currentRole != CoreRole::Follower) {
        this->becomeFollower(this->hard.term, std::nullopt);
    }
}

auto Core::send(ReplicaId to, Message message) -> void
{
    if (to != this->self) {
        this->actions.emplace_back(Send{to, std::move(message)});
        return;
    }
    this->onReceived(Received{to, std::move(message)});
}

auto Core::sendWhenSynced(ReplicaId to, Message message) -> void
{
    if (this->diskFailed) {
        return;
    }
    this->sendAfter(this->lastToken, to, std::move(message));
}

auto Core::sendAfter(PersistToken token, ReplicaId to, Message message) -> void
{
    if (this->syncedToken >= token) {
        this->send(to, std::move(message));
        return;
    }
    if (this->diskFailed) {
        return;
    }
    // A stalled disk holds back an answer to each repetition of a request. One of each kind is kept, or they would exhaust the memory.
    for (auto held = this->heldSends.rbegin(); held != this->heldSends.rend() && held->token == token; ++held) {
        if (held->to == to && held->message.index() == message.index()) {
            mergeInto(held->message, std::move(message));
            return;
        }
    }
    this->heldSends.push_back(HeldSend{token, this->hard.term, to, std::move(message)});
}

auto Core::isCurrent(const HeldSend &held) const -> bool
{
    // An acknowledgement from an earlier term could be counted for entries that were truncated since, and a lost entry would be
    // treated as committed.
    return held.term == this->hard.term;
}

auto Core::persistHardState() -> void
{
    this->hardToken = this->nextToken();
    this->actions.emplace_back(Persist{this->hardToken, this->hard, std::nullopt, {}});
}

auto Core::nextToken(std::size_t entryBytes) -> PersistToken
{
    this->lastToken = this->lastToken.next();
    this->pendingWrites.push_back(PendingWrite{this->lastToken, this->now, entryBytes});
    this->pendingBytes += entryBytes;
    return this->lastToken;
}

auto Core::isVoter(ReplicaId replica) const -> bool
{
    return std::any_of(this->group.members.begin(), this->group.members.end(), [replica](const ControlMember &member) {
        return member.replica == replica && member.voter;
    });
}

auto Core::voterCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(this->group.members.begin(), this->group.members.end(), [](const ControlMember &member) {
        return member.voter;
    }));
}

auto Core::quorum() const -> std::size_t
{
    return this->voterCount() / 2 + 1;
}

} // namespace sapphirespool::consensus
