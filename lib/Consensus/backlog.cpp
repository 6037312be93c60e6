#include "sapphirespool/Consensus/core.h"

#include <algorithm>

namespace sapphirespool::consensus
{

auto Core::noteSynced(PersistToken token) -> void
{
    while (!this->pendingWrites.empty() && this->pendingWrites.front().token <= token) {
        this->pendingBytes -= this->pendingWrites.front().entryBytes;
        this->pendingWrites.pop_front();
    }
}

auto Core::isDiskStalled() const -> bool
{
    return !this->pendingWrites.empty() && this->now - this->pendingWrites.front().since > this->settings.stalledWriteTimeout;
}

auto Core::isBacklogFull() const -> bool
{
    return this->pendingBytes >= this->settings.backlogBytes;
}

auto Core::oldestUnsyncedIndex() const -> LogIndex
{
    const auto found = std::find_if(this->written.begin(), this->written.end(), [this](const WrittenTo &entry) {
        return entry.index > this->syncedIndex;
    });
    return found == this->written.end() ? LogIndex() : found->index;
}

auto Core::quorumContinuesWithoutSelf() const -> bool
{
    // A voter whose own disk is stalled answers heartbeats too, but does not acknowledge the entry that this replica cannot write.
    const auto required = this->oldestUnsyncedIndex();
    const auto continuing = std::count_if(this->progress.begin(), this->progress.end(), [this, required](const auto &peer) {
        const auto hasRecentContact = this->now - peer.second.lastContactTime < this->settings.minimumElectionTimeout;
        return this->isVoter(peer.first) && hasRecentContact && peer.second.match >= required;
    });
    return static_cast<std::size_t>(continuing) >= this->quorum();
}

auto Core::resign() -> void
{
    this->becomeFollower(this->hard.term, std::nullopt);
    for (const auto &member : this->group.members) {
        if (member.voter && member.replica != this->self) {
            this->send(member.replica, Resigned{this->hard.term});
        }
    }
}

auto Core::onResigned(ReplicaId from, const Resigned &resigned) -> void
{
    // A leader that resigned never leads its term again, and a voter of that term has extended no lease but this leader's since it heard of the
    // term. So no lease that relies on this replica's vote is left. The same message of an earlier term says nothing about the present leader.
    if (resigned.term != this->hard.term || this->hard.leader != from) {
        return;
    }
    this->knownLeader.reset();
    this->releaseVote();
}

} // namespace sapphirespool::consensus
