#include "sapphirespool/Consensus/core.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace sapphirespool::consensus
{

auto Core::sendHeartbeats() -> void
{
    this->round = this->round.next();
    this->roundSent[this->round] = this->now;
    this->nextHeartbeat = this->now + this->settings.heartbeatInterval;
    std::erase_if(this->roundSent, [this](const auto &sent) {
        return sent.second < this->now - this->settings.leaseLength();
    });
    for (const auto &[replica, peer] : this->progress) {
        this->send(replica, Heartbeat{this->hard.term, this->round, std::min(this->commit, peer.match)});
    }
    this->releaseReads();
}

auto Core::onHeartbeat(ReplicaId from, const Heartbeat &heartbeat) -> void
{
    if (!this->followLeader(from, heartbeat.term)) {
        this->send(from, HeartbeatReply{this->hard.term, heartbeat.round});
        return;
    }
    this->advanceCommit(std::min(heartbeat.commit, this->window.lastIndex()));
    if (this->isDiskStalled() && this->syncedToken < this->hardToken && !this->diskFailed) {
        // Without any reply a voter whose disk is full for a few seconds would be replaced as if its VM were lost.
        this->send(from, HeartbeatReply{this->hard.term, Round()});
        return;
    }
    // The reply extends the leader's lease. If it were sent before the leader's identity is synced, a crash could lose that identity,
    // and this replica would vote for the previous leader as if no other replica could hold a lease.
    this->sendAfter(this->hardToken, from, HeartbeatReply{this->hard.term, heartbeat.round});
}

auto Core::onHeartbeatReply(ReplicaId from, const HeartbeatReply &reply) -> void
{
    if (reply.term > this->hard.term) {
        this->becomeFollower(reply.term, std::nullopt);
        return;
    }
    const auto found = this->progress.find(from);
    if (this->currentRole != CoreRole::Leader || reply.term != this->hard.term || found == this->progress.end()) {
        return;
    }
    found->second.lastReplyTime = this->now;
    found->second.hasReplied = true;
    if (reply.round == Round()) {
        return;
    }
    found->second.lastContactTime = this->now;
    found->second.round = std::max(found->second.round, reply.round);
    this->releaseReads();
    this->replicate(from);
}

auto Core::confirmedRound() const -> Round
{
    auto rounds = std::vector<Round>();
    if (this->isVoter(this->self)) {
        rounds.push_back(this->round);
    }
    for (const auto &[replica, peer] : this->progress) {
        if (this->isVoter(replica)) {
            rounds.push_back(peer.round);
        }
    }
    if (rounds.size() < this->quorum()) {
        return Round();
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    return rounds[this->quorum() - 1];
}

auto Core::lastQuorumContactTime() const -> TimePoint
{
    auto contactTimes = std::vector<TimePoint>();
    if (this->isVoter(this->self)) {
        contactTimes.push_back(this->now);
    }
    for (const auto &[replica, peer] : this->progress) {
        if (this->isVoter(replica)) {
            contactTimes.push_back(peer.lastContactTime);
        }
    }
    if (contactTimes.size() < this->quorum()) {
        return TimePoint::min();
    }
    std::sort(contactTimes.begin(), contactTimes.end(), std::greater<>());
    return contactTimes[this->quorum() - 1];
}

auto Core::leaderLeaseEnd() const -> TimePoint
{
    // Until an entry of its own term is committed, a leader may not know all entries that were committed before it.
    if (this->currentRole != CoreRole::Leader || this->commit < this->termStart) {
        return TimePoint::min();
    }
    const auto sent = this->roundSent.find(this->confirmedRound());
    if (sent == this->roundSent.end()) {
        return TimePoint::min();
    }
    // The lease starts when the heartbeat is sent. Voters start their timeout at the receipt, which is later, so the clocks need
    // not be synchronized.
    return sent->second + this->settings.leaseLength();
}

auto Core::holdsLeaderLease(TimePoint now) const -> bool
{
    return now < this->leaderLeaseEnd();
}

auto Core::onRead(const ReadRequested &read) -> void
{
    if (this->currentRole != CoreRole::Leader) {
        this->actions.emplace_back(Failed{read.number, ProposalFailure::NotLeader});
        return;
    }
    if (this->holdsLeaderLease(this->now)) {
        this->actions.emplace_back(ReadReady{read.number});
        return;
    }
    // Another leader may have committed entries since this one last had contact with a quorum. Only a heartbeat round that starts
    // after the request proves that none did.
    this->reads.push_back(WaitingRead{read.number, std::max(this->commit, this->termStart), this->round.next()});
    this->nextHeartbeat = this->now;
}

auto Core::releaseReads() -> void
{
    const auto confirmed = this->confirmedRound();
    std::erase_if(this->reads, [this, confirmed](const WaitingRead &read) {
        const auto ready = read.round <= confirmed && read.index <= this->commit;
        if (ready) {
            this->actions.emplace_back(ReadReady{read.number});
        }
        return ready;
    });
}

} // namespace sapphirespool::consensus
