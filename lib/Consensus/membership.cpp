#include "sapphirespool/Consensus/core.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

auto find(const Members &group, ReplicaId replica) -> const ControlMember *
{
    const auto found = std::find_if(group.members.begin(), group.members.end(), [replica](const ControlMember &member) {
        return member.replica == replica;
    });
    return found == group.members.end() ? nullptr : &*found;
}

auto isVoterOf(const Members &group, ReplicaId replica) -> bool
{
    const auto *const member = find(group, replica);
    return member != nullptr && member->voter;
}

} // namespace

auto Core::isMember() const -> bool
{
    return find(this->group, this->self) != nullptr;
}

auto Core::mayVote(ReplicaId replica) const -> bool
{
    return isVoterOf(this->group, replica) || isVoterOf(this->committedGroup, replica);
}

auto Core::needsToJoin() const -> bool
{
    // A leader may send the entry that adds a learner, and be replaced before anyone else has that entry, for example because its disk is
    // full. The next leader then does not know the learner.
    const auto isForgotten = !this->isVoter(this->self) && this->now - this->leaderContactTime > this->settings.maximumElectionTimeout;
    return !this->isMember() || isForgotten;
}

auto Core::acceptsMemberChange() const -> bool
{
    // Two concurrent changes could have quorums that do not intersect. An uncommitted change of an earlier term could still be
    // committed alongside a new one; committing an entry of the current term rules this out.
    return this->currentRole == CoreRole::Leader && this->commit >= this->groupIndex && this->commit >= this->termStart;
}

auto Core::caughtUp(ReplicaId learner) const -> bool
{
    const auto found = this->progress.find(learner);
    if (found == this->progress.end()) {
        return false;
    }
    const auto &peer = found->second;
    const auto hasRecentContact = this->now - peer.lastContactTime < this->settings.minimumElectionTimeout;
    return hasRecentContact && peer.match >= this->commit && peer.match >= this->termStart;
}

auto Core::timeSinceContact(ReplicaId replica) const -> Duration
{
    const auto found = this->progress.find(replica);
    return found == this->progress.end() ? Duration(0) : this->now - found->second.lastReplyTime;
}

auto Core::hasReplied(ReplicaId replica) const -> bool
{
    const auto found = this->progress.find(replica);
    return found != this->progress.end() && found->second.hasReplied;
}

auto Core::isPermittedChange(const Members &next) const -> bool
{
    auto changes = std::size_t(0);
    for (const auto &member : this->group.members) {
        if (member.voter && !isVoterOf(next, member.replica)) {
            ++changes;
        }
    }
    for (const auto &member : next.members) {
        if (!member.voter || isVoterOf(this->group, member.replica)) {
            continue;
        }
        // A voter without the log raises the quorum but cannot acknowledge entries yet: the loss of one more VM would stop all commits.
        if (find(this->group, member.replica) == nullptr || !this->caughtUp(member.replica)) {
            return false;
        }
        ++changes;
    }
    return changes <= 1;
}

auto Core::onMembersProposed(const MembersProposed &proposed) -> void
{
    if (this->diskFailed) {
        this->actions.emplace_back(Failed{proposed.number, ProposalFailure::StorageFailed});
        return;
    }
    if (this->currentRole != CoreRole::Leader) {
        this->actions.emplace_back(Failed{proposed.number, ProposalFailure::NotLeader});
        return;
    }
    auto next = Members{proposed.members, this->group.formed};
    if (!this->acceptsMemberChange() || !this->isPermittedChange(next)) {
        this->actions.emplace_back(Failed{proposed.number, ProposalFailure::ChangeInProgress});
        return;
    }
    const auto voters = std::count_if(next.members.begin(), next.members.end(), [](const ControlMember &member) {
        return member.voter;
    });
    next.formed = next.formed || proposed.complete || static_cast<std::size_t>(voters) >= this->settings.foundingVoters;
    this->appendOwn(std::move(next), proposed.number);
}

auto Core::onFounded(const Founded &founded) -> void
{
    assert(this->window.lastIndex() == LogIndex() && this->group.members.empty() && "only an empty replica may bootstrap a group");
    this->hard = HardState{ElectionTerm(1), ReplicaId(), ReplicaId()};
    const auto group = Members{{founded.member}, this->settings.foundingVoters <= 1};
    this->window.append(Entry{LogIndex(1), this->hard.term, group});
    const auto token = this->nextToken();
    this->actions.emplace_back(Persist{token, this->hard, std::nullopt, {this->window.at(LogIndex(1))}});
    this->noteWritten(token);
    this->reloadMembers();
    this->electionDeadline = this->now;
}

auto Core::reloadMembers() -> void
{
    this->group = this->committedGroup;
    this->groupIndex = this->committedGroupIndex;
    for (auto index = this->window.lastIndex(); index > this->window.baseIndex(); index = before(index)) {
        if (index <= this->committedGroupIndex) {
            break;
        }
        if (const auto *const members = std::get_if<Members>(&this->window.at(index).content)) {
            this->group = *members;
            this->groupIndex = index;
            break;
        }
    }
    this->reloadProgress();
}

auto Core::reloadProgress() -> void
{
    if (this->currentRole != CoreRole::Leader) {
        return;
    }
    std::erase_if(this->progress, [this](const auto &peer) {
        return find(this->group, peer.first) == nullptr;
    });
    for (const auto &member : this->group.members) {
        if (member.replica == this->self || this->progress.contains(member.replica)) {
            continue;
        }
        auto peer = Progress();
        // The last entry is sent to a new replica immediately: its rejection reports its last index, even if nothing more is appended.
        peer.next = std::max(this->window.lastIndex(), this->window.baseIndex().next());
        peer.lastContactTime = this->now;
        peer.lastReplyTime = this->now;
        this->progress.emplace(member.replica, std::move(peer));
    }
}

} // namespace sapphirespool::consensus
