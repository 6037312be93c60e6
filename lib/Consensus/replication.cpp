#include "sapphirespool/Consensus/core.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace sapphirespool::consensus
{

auto Core::onPropose(const Proposed &proposed) -> void
{
    if (this->diskFailed) {
        this->actions.emplace_back(Failed{proposed.number, ProposalFailure::StorageFailed});
        return;
    }
    if (this->currentRole != CoreRole::Leader) {
        this->actions.emplace_back(Failed{proposed.number, ProposalFailure::NotLeader});
        return;
    }
    if (!this->group.formed) {
        this->actions.emplace_back(Failed{proposed.number, ProposalFailure::ChangeInProgress});
        return;
    }
    if (this->isBacklogFull()) {
        this->actions.emplace_back(Failed{proposed.number, ProposalFailure::StorageFailed});
        return;
    }
    this->appendOwn(Command{proposed.command}, proposed.number);
}

auto Core::appendOwn(std::variant<NoOp, Command, Members> content, std::optional<RequestNumber> number) -> void
{
    const auto index = this->window.lastIndex().next();
    this->window.append(Entry{index, this->hard.term, std::move(content)});
    if (number) {
        this->proposals[index] = *number;
    }
    const auto token = this->nextToken(entryBytes(this->window.at(index)));
    this->actions.emplace_back(Persist{token, std::nullopt, std::nullopt, {this->window.at(index)}});
    this->noteWritten(token);
    if (std::holds_alternative<Members>(this->window.at(index).content)) {
        this->reloadMembers();
    }
    this->replicateToAll();
}

auto Core::noteWritten(PersistToken token) -> void
{
    this->written.push_back(WrittenTo{token, this->window.lastIndex()});
}

auto Core::replicateToAll() -> void
{
    for (const auto &[replica, peer] : this->progress) {
        this->replicate(replica);
    }
}

auto Core::replicate(ReplicaId to) -> void
{
    auto &peer = this->progress.at(to);
    const auto limit = peer.probing ? std::size_t(1) : this->settings.appendsInFlight;
    while (peer.snapshot == nullptr && peer.inFlight < limit && peer.next <= this->window.lastIndex()) {
        const auto previous = before(peer.next);
        const auto previousTerm = this->window.termAt(previous);
        if (!previousTerm) {
            peer.snapshot = this->snapshot;
            this->sendChunk(to, 0);
            return;
        }
        auto entries = this->window.slice(peer.next, this->settings.appendBytes);
        const auto following = after(peer.next, entries.size());
        this->send(to, AppendRequest{this->hard.term, previous, *previousTerm, std::move(entries), this->commit});
        if (peer.inFlight == 0) {
            peer.resendTimerStart = this->now;
        }
        ++peer.inFlight;
        if (!peer.probing) {
            peer.next = following;
        }
    }
}

auto Core::resendStalled() -> void
{
    for (auto &[replica, peer] : this->progress) {
        // Not by the messages in flight alone: a repeated acknowledgement may have been counted for a message that was lost.
        const auto awaitsReply = peer.inFlight > 0 || peer.match.next() < peer.next || peer.snapshot != nullptr;
        if (!awaitsReply || this->now - peer.resendTimerStart < this->settings.resendAfter) {
            continue;
        }
        peer.resendTimerStart = this->now;
        if (peer.snapshot != nullptr) {
            this->sendChunk(replica, peer.snapshotOffset);
            continue;
        }
        if (!peer.probing) {
            peer.next = peer.match.next();
        }
        peer.probing = true;
        peer.inFlight = 0;
        this->replicate(replica);
    }
}

auto Core::onAppendRequest(ReplicaId from, const AppendRequest &request) -> void
{
    if (!this->followLeader(from, request.term)) {
        this->send(from, AppendReply{this->hard.term, false, LogIndex(), ElectionTerm()});
        return;
    }
    const auto precedesLog = request.previousIndex < this->window.baseIndex();
    if (!precedesLog && this->window.termAt(request.previousIndex) != request.previousTerm) {
        this->refuseAppend(from, request);
        return;
    }
    if (this->isBacklogFull()) {
        // The leader sends the entries again. Kept, those of a disk that stays full would exhaust the memory.
        return;
    }
    this->appendReceivedEntries(request);
    const auto matched = std::max(after(request.previousIndex, request.entries.size()), this->window.baseIndex());
    // If it were acknowledged before the sync, an entry could count towards a commit and then be lost in a power failure.
    this->sendWhenSynced(from, AppendReply{this->hard.term, true, matched, ElectionTerm()});
    this->advanceCommit(std::min(request.commit, matched));
}

auto Core::refuseAppend(ReplicaId from, const AppendRequest &request) -> void
{
    const auto hint = this->window.lastWithTermUpTo(request.previousIndex, request.previousTerm);
    const auto hintTerm = this->window.termAt(hint);
    assert(hintTerm && "the hint is an index within the log");
    this->send(from, AppendReply{this->hard.term, false, hint, *hintTerm});
}

auto Core::appendReceivedEntries(const AppendRequest &request) -> void
{
    auto persist = Persist();
    auto bytes = std::size_t(0);
    for (const auto &entry : request.entries) {
        const auto alreadyStored = entry.index <= this->window.baseIndex() || this->window.termAt(entry.index) == entry.term;
        if (alreadyStored) {
            continue;
        }
        if (entry.index <= this->window.lastIndex()) {
            assert(entry.index > this->commit && "a committed entry is never replaced");
            this->window.cutFrom(entry.index);
            persist.cutFrom = entry.index;
            this->forgetWritten(before(entry.index));
        }
        this->window.append(entry);
        persist.entries.push_back(entry);
        bytes += entryBytes(entry);
    }
    if (persist.entries.empty()) {
        return;
    }
    const auto changesGroup = persist.cutFrom || std::any_of(persist.entries.begin(), persist.entries.end(), [](const Entry &entry) {
                                  return std::holds_alternative<Members>(entry.content);
                              });
    persist.token = this->nextToken(bytes);
    this->noteWritten(persist.token);
    this->actions.emplace_back(std::move(persist));
    if (changesGroup) {
        this->reloadMembers();
    }
}

auto Core::forgetWritten(LogIndex kept) -> void
{
    this->syncedIndex = std::min(this->syncedIndex, kept);
    for (auto &entry : this->written) {
        entry.index = std::min(entry.index, kept);
    }
}

auto Core::onAppendReply(ReplicaId from, const AppendReply &reply) -> void
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
    peer.hasReplied = true;
    if (!reply.accepted) {
        peer.next = std::max(peer.match.next(), this->nextAfterRefusal(reply));
        peer.probing = true;
        peer.inFlight = 0;
        this->replicate(from);
        return;
    }
    peer.inFlight -= std::min<std::size_t>(peer.inFlight, 1);
    peer.probing = false;
    if (reply.index > peer.match) {
        peer.match = reply.index;
        peer.resendTimerStart = this->now;
    }
    peer.next = std::max(peer.next, peer.match.next());
    this->commitByQuorum();
    if (this->currentRole == CoreRole::Leader) {
        this->replicate(from);
    }
}

auto Core::nextAfterRefusal(const AppendReply &reply) const -> LogIndex
{
    const auto lastCommon = this->window.lastWithTermUpTo(reply.index, reply.hintTerm);
    // If even the base of the log has a later term than the peer's entry, the last common entry precedes the log, and the peer
    // needs a snapshot. Retries from the base would be refused forever.
    const auto beforeLog = lastCommon == this->window.baseIndex() && this->window.termAt(lastCommon) > reply.hintTerm;
    return beforeLog ? lastCommon : lastCommon.next();
}

auto Core::commitByQuorum() -> void
{
    auto matches = std::vector<LogIndex>();
    if (this->isVoter(this->self)) {
        matches.push_back(this->syncedIndex);
    }
    for (const auto &[replica, peer] : this->progress) {
        if (this->isVoter(replica)) {
            matches.push_back(peer.match);
        }
    }
    if (matches.size() < this->quorum()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const auto quorumMatch = matches[this->quorum() - 1];
    // An entry of an earlier term may be stored on a quorum and still be overwritten by a leader of an intermediate term.
    if (quorumMatch > this->commit && this->window.termAt(quorumMatch) == this->hard.term) {
        this->advanceCommit(quorumMatch);
    }
}

auto Core::advanceCommit(LogIndex target) -> void
{
    while (this->commit < target) {
        this->commit = this->commit.next();
        const auto &entry = this->window.at(this->commit);
        auto number = std::optional<RequestNumber>();
        if (const auto found = this->proposals.find(this->commit); found != this->proposals.end()) {
            number = found->second;
            this->proposals.erase(found);
        }
        this->actions.emplace_back(Apply{entry, number});
        if (const auto *const members = std::get_if<Members>(&entry.content)) {
            this->committedGroup = *members;
            this->committedGroupIndex = this->commit;
        }
    }
    this->releaseReads();
    // A leader that was removed from the group must step down, as its heartbeats would keep the others from an election.
    if (this->currentRole == CoreRole::Leader && this->commit >= this->groupIndex && !this->isVoter(this->self)) {
        this->resign();
    }
}

} // namespace sapphirespool::consensus
