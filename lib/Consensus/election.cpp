#include "sapphirespool/Consensus/core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::consensus
{

auto Core::electionTimeout() -> Duration
{
    // Randomized, so that two candidates rarely split the vote repeatedly.
    auto spread = std::uniform_int_distribution<Duration::rep>(this->settings.minimumElectionTimeout.count(), this->settings.maximumElectionTimeout.count());
    return Duration(spread(this->random));
}

auto Core::resetElectionDeadline() -> void
{
    this->electionDeadline = this->now + this->electionTimeout();
    if (this->departing) {
        // The others come first, but one of them may lack an entry and be unable to win.
        this->electionDeadline += 2 * this->settings.maximumElectionTimeout;
    }
}

auto Core::hasRecentLeaderContact() const -> bool
{
    // The leader's lease relies on a quorum that grants no other vote before the minimum election timeout. A voter that granted one
    // earlier would allow a second leader while the first still answers, and a caller could read from the old leader or get an
    // acknowledgement from it.
    if (this->currentRole == CoreRole::Leader) {
        return true;
    }
    return this->now - this->leaderContactTime < this->settings.minimumElectionTimeout;
}

auto Core::keepsVoteFrom(ReplicaId candidate, ElectionTerm asked) const -> bool
{
    // A leader of this replica's term that requests a vote for a later term no longer leads and never leads its old term again, so the
    // only lease that this replica may have extended has ended. Otherwise, after a restart of all VMs, the voters would wait for the
    // expiry of a lease whose holder is the candidate itself.
    const auto isFormerLeader = this->hard.leader == candidate && asked > this->hard.term && this->currentRole != CoreRole::Leader;
    return !isFormerLeader && this->hasRecentLeaderContact();
}

auto Core::noteLeader(ReplicaId leader) -> void
{
    if (this->hard.leader != leader) {
        this->hard.leader = leader;
        this->persistHardState();
    }
}

auto Core::logCovers(const VoteRequest &request) const -> bool
{
    // A candidate that lacks an entry which this replica acknowledged could overwrite it. The quorum that acknowledged the entry
    // intersects each quorum of votes, so one such refusal is enough.
    if (request.lastTerm != this->window.lastTerm()) {
        return request.lastTerm > this->window.lastTerm();
    }
    return request.lastIndex >= this->window.lastIndex();
}

auto Core::onVoteRequest(ReplicaId from, const VoteRequest &request) -> void
{
    if (request.term < this->hard.term) {
        this->send(from, VoteReply{this->hard.term, request.preVote, false});
        return;
    }
    const auto keepsVote = this->keepsVoteFrom(from, request.term);
    // A vote that a stalled disk holds back elects nobody; a pre-vote for it would only raise the terms.
    const auto canGrant = !this->diskFailed && !this->isDiskStalled() && !keepsVote && this->logCovers(request);
    if (request.preVote) {
        // Without the pre-vote, a replica that returns from a partition would have a higher term and depose a leader that all others
        // still reach.
        const auto granted = canGrant && request.term > this->hard.term;
        this->send(from, VoteReply{granted ? request.term : this->hard.term, true, granted});
        return;
    }
    if (keepsVote) {
        return;
    }
    if (request.term > this->hard.term) {
        this->becomeFollower(request.term, std::nullopt);
    }
    const auto voteAvailable = this->hard.vote == ReplicaId() || this->hard.vote == from;
    if (!canGrant || !voteAvailable) {
        this->send(from, VoteReply{this->hard.term, false, false});
        return;
    }
    if (this->hard.vote != from) {
        this->hard.vote = from;
        this->persistHardState();
    }
    this->resetElectionDeadline();
    // A vote sent before the sync could be lost in a crash, and the replica could then vote for another candidate in the same term.
    this->sendWhenSynced(from, VoteReply{this->hard.term, false, true});
}

auto Core::onVoteReply(ReplicaId from, const VoteReply &reply) -> void
{
    if (!reply.granted) {
        if (reply.term > this->hard.term) {
            this->becomeFollower(reply.term, std::nullopt);
        }
        return;
    }
    const auto expectedRole = reply.preVote ? CoreRole::PreCandidate : CoreRole::Candidate;
    const auto expectedTerm = reply.preVote ? this->hard.term.next() : this->hard.term;
    if (this->currentRole != expectedRole || reply.term != expectedTerm) {
        return;
    }
    this->votes[from] = true;
    this->countVotes();
}

auto Core::countVotes() -> void
{
    const auto granted = std::count_if(this->votes.begin(), this->votes.end(), [this](const auto &vote) {
        return vote.second && this->isVoter(vote.first);
    });
    if (static_cast<std::size_t>(granted) < this->quorum()) {
        return;
    }
    if (this->currentRole == CoreRole::PreCandidate) {
        this->campaign(false);
        return;
    }
    this->becomeLeader();
}

auto Core::campaign(bool preVote) -> void
{
    this->resetElectionDeadline();
    if (!this->isVoter(this->self) || this->diskFailed || this->isDiskStalled()) {
        return;
    }
    this->knownLeader.reset();
    this->votes.clear();
    if (preVote) {
        this->currentRole = CoreRole::PreCandidate;
        this->votes[this->self] = true;
        this->requestVotes();
        this->countVotes();
        return;
    }
    this->currentRole = CoreRole::Candidate;
    this->hard = HardState{this->hard.term.next(), this->self, ReplicaId()};
    this->persistHardState();
    this->requestVotes();
    this->sendWhenSynced(this->self, VoteReply{this->hard.term, false, true});
}

auto Core::requestVotes() -> void
{
    this->nextVoteRequestTime = this->now + this->settings.heartbeatInterval;
    if (this->isDiskStalled()) {
        return;
    }
    for (const auto &member : this->group.members) {
        if (member.voter && !this->votes.contains(member.replica) && member.replica != this->self) {
            this->requestVote(member.replica);
        }
    }
}

auto Core::requestVote(ReplicaId voter) -> void
{
    if (this->currentRole == CoreRole::PreCandidate) {
        this->send(voter, VoteRequest{this->hard.term.next(), true, this->window.lastIndex(), this->window.lastTerm()});
    } else {
        this->sendWhenSynced(voter, VoteRequest{this->hard.term, false, this->window.lastIndex(), this->window.lastTerm()});
    }
}

auto Core::onReached(ReplicaId replica) -> void
{
    // When all VMs start together, no peer is connected yet when the first vote requests are sent. Without a request on connection, the
    // peer would get one only in the next round: a heartbeat interval later from a pre-candidate, an election timeout later from a candidate.
    const auto campaigning = this->currentRole == CoreRole::PreCandidate || this->currentRole == CoreRole::Candidate;
    if (campaigning && !this->isDiskStalled() && this->isVoter(replica) && !this->votes.contains(replica)) {
        this->requestVote(replica);
    }
}

auto Core::becomeLeader() -> void
{
    assert(this->currentRole == CoreRole::Candidate && "only a candidate becomes leader");
    this->currentRole = CoreRole::Leader;
    this->knownLeader = this->self;
    this->progress.clear();
    this->roundSent.clear();
    this->round = Round();
    this->reloadProgress();
    if (const auto former = this->lastLeader ? this->progress.find(*this->lastLeader) : this->progress.end(); former != this->progress.end()) {
        // If it is lost, it is so since its last message, not since this election.
        former->second.lastReplyTime = std::min(this->now, this->leaderContactTime);
    }
    // Entries of earlier terms cannot be committed by counting replicas, as a later leader could still overwrite them. The first
    // entry of the leader's own term commits them along with itself.
    this->noteLeader(this->self);
    this->appendOwn(NoOp(), std::nullopt);
    this->termStart = this->window.lastIndex();
    this->sendHeartbeats();
}

auto Core::becomeFollower(ElectionTerm term, std::optional<ReplicaId> leader) -> void
{
    if (term > this->hard.term) {
        this->hard = HardState{term, ReplicaId(), ReplicaId()};
        this->persistHardState();
    }
    if (this->currentRole == CoreRole::Leader) {
        this->failPending();
    }
    this->currentRole = CoreRole::Follower;
    this->knownLeader = leader;
    this->resetElectionDeadline();
}

auto Core::failPending() -> void
{
    for (const auto &[index, number] : this->proposals) {
        this->actions.emplace_back(Failed{number, ProposalFailure::OutcomeUnknown});
    }
    for (const auto &read : this->reads) {
        this->actions.emplace_back(Failed{read.number, ProposalFailure::NotLeader});
    }
    this->proposals.clear();
    this->reads.clear();
    this->progress.clear();
}

auto Core::followLeader(ReplicaId from, ElectionTerm term) -> bool
{
    if (term < this->hard.term) {
        return false;
    }
    assert((term > this->hard.term || this->currentRole != CoreRole::Leader) && "a term has at most one leader");
    if (term > this->hard.term || this->currentRole != CoreRole::Follower || this->knownLeader != from) {
        this->becomeFollower(term, from);
    }
    this->noteLeader(from);
    this->lastLeader = from;
    this->leaderContactTime = this->now;
    this->resetElectionDeadline();
    return true;
}

auto Core::onEnded(ReplicaId replica) -> void
{
    // Ignored by a replica that has had contact with the leader since its own start: the report may be stale, from an identity that the
    // VM had before the leader's, and the lease may still be valid. No such report can date from before the start of this process.
    if (this->hard.leader != replica || this->knownLeader || this->currentRole != CoreRole::Follower) {
        return;
    }
    // The lease ended with the leader's process.
    this->releaseVote();
}

auto Core::onDeparting() -> void
{
    this->departing = true;
    if (this->currentRole == CoreRole::Leader) {
        this->resign();
    } else {
        this->resetElectionDeadline();
    }
}

auto Core::releaseVote() -> void
{
    if (this->departing) {
        this->leaderContactTime = this->now - this->settings.minimumElectionTimeout;
        return;
    }
    // Other voters are notified at the same time; the random delay keeps them from campaigning at once.
    this->leaderContactTime = this->now - this->settings.minimumElectionTimeout;
    auto spread = std::uniform_int_distribution<Duration::rep>(0, this->settings.heartbeatInterval.count());
    this->electionDeadline = std::min(this->electionDeadline, this->now + Duration(spread(this->random)));
}

} // namespace sapphirespool::consensus
