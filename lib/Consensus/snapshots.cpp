#include "sapphirespool/Consensus/core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::consensus
{

auto Core::onSnapshotTaken(const SnapshotTaken &taken) -> void
{
    assert(taken.index == this->commit && "the owner must apply committed entries immediately");
    const auto term = this->window.termAt(taken.index);
    assert(term && "the last committed entry must be in the window or be its base");
    this->snapshot = std::make_shared<const Snapshot>(Snapshot{taken.index, *term, this->committedGroup, taken.state});
    const auto kept = std::min(this->settings.entriesKept, taken.index.value());
    const auto base = LogIndex(taken.index.value() - kept);
    if (base > this->window.baseIndex()) {
        this->window.compactTo(base);
    }
    this->saveSnapshot();
}

auto Core::saveSnapshot() -> void
{
    const auto token = this->nextToken();
    this->actions.emplace_back(SaveSnapshot{token, this->snapshot, this->hard, this->window.tail(this->snapshot->index.next())});
    this->noteWritten(token);
}

auto Core::sendChunk(ReplicaId to, std::uint64_t offset) -> void
{
    auto &peer = this->progress.at(to);
    const auto &whole = *peer.snapshot;
    const auto begin = std::min<std::size_t>(offset, whole.state.size());
    const auto size = std::min(this->settings.chunkBytes, whole.state.size() - begin);
    const auto first = whole.state.begin() + static_cast<std::ptrdiff_t>(begin);
    auto data = Bytes(first, first + static_cast<std::ptrdiff_t>(size));
    peer.snapshotOffset = begin;
    peer.resendTimerStart = this->now;
    const auto last = begin + size == whole.state.size();
    this->send(to, SnapshotChunk{this->hard.term, whole.index, whole.term, whole.members, begin, std::move(data), last});
}

auto Core::onSnapshotChunk(ReplicaId from, const SnapshotChunk &chunk) -> void
{
    if (!this->followLeader(from, chunk.term)) {
        this->send(from, SnapshotReply{this->hard.term, chunk.snapshotIndex, 0, false});
        return;
    }
    if (chunk.snapshotIndex <= this->commit) {
        this->sendWhenSynced(from, SnapshotReply{this->hard.term, chunk.snapshotIndex, 0, true});
        return;
    }
    // Two leaders' snapshots of the same index may be encoded differently, so their chunks must not be combined.
    const auto continues = this->incoming && this->incoming->leaderTerm == chunk.term && this->incoming->snapshot.index == chunk.snapshotIndex;
    if (!continues) {
        this->incoming = IncomingSnapshot{chunk.term, Snapshot{chunk.snapshotIndex, chunk.snapshotTerm, chunk.members, {}}};
    }
    auto &state = this->incoming->snapshot.state;
    if (chunk.offset == state.size()) {
        state.insert(state.end(), chunk.data.begin(), chunk.data.end());
        if (chunk.last) {
            this->installSnapshot(from);
            return;
        }
    }
    this->send(from, SnapshotReply{this->hard.term, chunk.snapshotIndex, state.size(), false});
}

auto Core::installSnapshot(ReplicaId from) -> void
{
    this->snapshot = std::make_shared<const Snapshot>(std::move(this->incoming->snapshot));
    this->incoming.reset();
    const auto index = this->snapshot->index;
    if (this->window.termAt(index) == this->snapshot->term) {
        this->window.compactTo(index);
    } else {
        this->window = LogWindow(index, this->snapshot->term);
        this->forgetWritten(LogIndex());
    }
    this->commit = index;
    this->committedGroup = this->snapshot->members;
    this->committedGroupIndex = index;
    this->saveSnapshot();
    this->reloadMembers();
    this->actions.emplace_back(Restore{this->snapshot});
    this->sendWhenSynced(from, SnapshotReply{this->hard.term, index, 0, true});
}

auto Core::onSnapshotReply(ReplicaId from, const SnapshotReply &reply) -> void
{
    if (reply.term > this->hard.term) {
        this->becomeFollower(reply.term, std::nullopt);
        return;
    }
    const auto found = this->progress.find(from);
    if (this->currentRole != CoreRole::Leader || reply.term != this->hard.term || found == this->progress.end()) {
        return;
    }
    auto &peer = found->second;
    peer.lastContactTime = this->now;
    peer.lastReplyTime = this->now;
    if (peer.snapshot == nullptr || peer.snapshot->index != reply.snapshotIndex) {
        return;
    }
    if (!reply.installed) {
        this->sendChunk(from, reply.offset);
        return;
    }
    peer.snapshot.reset();
    peer.match = std::max(peer.match, reply.snapshotIndex);
    peer.next = peer.match.next();
    peer.probing = false;
    peer.inFlight = 0;
    this->commitByQuorum();
    if (this->currentRole == CoreRole::Leader) {
        this->replicate(from);
    }
}

} // namespace sapphirespool::consensus
