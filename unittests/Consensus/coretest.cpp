#include "sapphirespool/Consensus/core.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>

namespace sapphirespool::consensus
{

namespace
{

using std::chrono::milliseconds;

const auto first = ReplicaId(1);
const auto second = ReplicaId(2);
const auto third = ReplicaId(3);

auto entry(std::uint64_t index, std::uint64_t term) -> Entry
{
    return {LogIndex(index), ElectionTerm(term), Command{Bytes{std::byte(1)}}};
}

/// A core of three voters, with what its log holds after the founding entry.
class OneCore
{
public:
    explicit OneCore(std::vector<Entry> entries = {}, std::uint64_t term = 1, ReplicaId leader = ReplicaId())
        : core(first, CoreSettings(), recovered(std::move(entries), term, leader), 1, this->at(milliseconds(0)))
    {
    }

    [[nodiscard]] auto at(milliseconds time) const -> TimePoint
    {
        return TimePoint(std::chrono::hours(1)) + time;
    }

    auto run(milliseconds time, const CoreEvent &event) -> Actions
    {
        auto actions = this->core.handle(event, this->at(time));
        for (const auto &action : actions) {
            if (const auto *const persist = std::get_if<Persist>(&action)) {
                this->lastToken = persist->token;
            }
        }
        return actions;
    }

    auto sync(milliseconds time) -> Actions
    {
        return this->run(time, DiskSynced{this->lastToken});
    }

    /// Lets the core win an election at \p time.
    auto lead(milliseconds time) -> void
    {
        this->run(time, Timer());
        this->run(time, Received{second, VoteReply{this->core.term().next(), true, true}});
        this->sync(time);
        this->run(time, Received{second, VoteReply{this->core.term(), false, true}});
        REQUIRE(this->core.role() == CoreRole::Leader);
    }

    Core core;
    PersistToken lastToken;

private:
    static auto recovered(std::vector<Entry> entries, std::uint64_t term, ReplicaId leader) -> Recovered
    {
        auto group = Members{{}, true};
        for (const auto replica : {first, second, third}) {
            group.members.push_back(ControlMember{VmId(std::to_string(replica.value())), Endpoint(), true, replica});
        }
        auto state = Recovered{HardState{ElectionTerm(term), ReplicaId(), leader}, nullptr, {Entry{LogIndex(1), ElectionTerm(1), group}}};
        state.entries.insert(state.entries.end(), entries.begin(), entries.end());
        return state;
    }
};

template <typename Kind>
auto sent(const Actions &actions) -> std::vector<Kind>
{
    auto found = std::vector<Kind>();
    for (const auto &action : actions) {
        if (const auto *const send = std::get_if<Send>(&action)) {
            if (const auto *const message = std::get_if<Kind>(&send->message)) {
                found.push_back(*message);
            }
        }
    }
    return found;
}

template <typename Kind>
auto count(const Actions &actions) -> std::ptrdiff_t
{
    return std::count_if(actions.begin(), actions.end(), [](const Action &action) {
        return std::holds_alternative<Kind>(action);
    });
}

auto grants(const Actions &actions) -> bool
{
    const auto replies = sent<VoteReply>(actions);
    return std::any_of(replies.begin(), replies.end(), [](const VoteReply &reply) {
        return reply.granted;
    });
}

const auto request = VoteRequest{ElectionTerm(5), false, LogIndex(9), ElectionTerm(4)};
const auto preRequest = VoteRequest{ElectionTerm(5), true, LogIndex(9), ElectionTerm(4)};

} // namespace

TEST_CASE("a voter that heard a leader keeps its vote for the minimum election timeout")
{
    // The caller sees: a write acknowledged by one leader that another one never heard of.
    // A leader relies on its lease while a candidate asks a voter that has just heard that leader.
    // The voter keeps its vote for longer than the lease lasts, so nobody is elected meanwhile.
    auto one = OneCore();
    one.run(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(2), Round(1), LogIndex()}});
    CHECK_FALSE(grants(one.run(milliseconds(1299), Received{third, preRequest})));
    one.run(milliseconds(1299), Received{third, request});
    CHECK_FALSE(grants(one.sync(milliseconds(1299))));
    CHECK(one.core.term() == ElectionTerm(2));
    CHECK(grants(one.run(milliseconds(1300), Received{third, preRequest})));
    one.run(milliseconds(1300), Received{third, request});
    CHECK(grants(one.sync(milliseconds(1300))));
}

TEST_CASE("a restarted voter keeps its vote as if it had just heard a leader")
{
    // The caller sees: a write acknowledged by one leader that another one never heard of.
    // A voter answers a heartbeat, restarts at once and no longer knows of it, and a candidate asks it.
    // It keeps its vote for one minimum election timeout after each start.
    auto one = OneCore();
    one.run(milliseconds(299), Received{third, request});
    CHECK_FALSE(grants(one.sync(milliseconds(299))));
    one.run(milliseconds(300), Received{third, request});
    CHECK(grants(one.sync(milliseconds(300))));
}

TEST_CASE("the leader of the last term that comes back gets the votes at once")
{
    // The caller sees: nothing is served for a second after a loss of power, because each voter waits out a lease.
    // All VMs restart. The one lease that a voter may have upheld was that of the leader of its term, which asks for its vote: it leads no more.
    auto restarted = OneCore({}, 4, second);
    CHECK(grants(restarted.run(milliseconds(1), Received{second, preRequest})));
    restarted.run(milliseconds(2), Received{second, request});
    CHECK(grants(restarted.sync(milliseconds(2))));
    // A voter that runs on and has just heard that leader may do the same.
    auto running = OneCore();
    running.run(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(4), Round(1), LogIndex()}});
    running.sync(milliseconds(1000));
    CHECK_FALSE(grants(running.run(milliseconds(1001), Received{third, preRequest})));
    CHECK(grants(running.run(milliseconds(1002), Received{second, preRequest})));
}

TEST_CASE("the leader of an earlier term gets no vote before the lease of the present one is over")
{
    // The caller sees: two control VMs that answer at the same time.
    // A leader was cut off and another one elected, which this voter has heard; the former one comes back and asks.
    auto one = OneCore({}, 2, second);
    one.run(milliseconds(1000), Received{third, Heartbeat{ElectionTerm(3), Round(1), LogIndex()}});
    one.sync(milliseconds(1000));
    CHECK_FALSE(grants(one.run(milliseconds(1001), Received{second, preRequest})));
}

TEST_CASE("the first heartbeat of a leader is answered once the disk knows the leader")
{
    // The caller sees: two control VMs that answer at the same time.
    // A voter answers the new leader and loses its power before its disk knows of it. It would come back as a voter of the former leader and
    // give that one its vote at once, while the new leader counts on the answer.
    auto one = OneCore();
    CHECK(sent<HeartbeatReply>(one.run(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(3), Round(1), LogIndex()}})).empty());
    CHECK(sent<HeartbeatReply>(one.sync(milliseconds(1005))).size() == 1);
    CHECK(sent<HeartbeatReply>(one.run(milliseconds(1050), Received{second, Heartbeat{ElectionTerm(3), Round(2), LogIndex()}})).size() == 1);
}

TEST_CASE("a restarted leader asks for votes at once, again as others are reached, and until they are free to give them")
{
    // The caller sees: nothing is served for an election timeout, because the first round met VMs that were not connected yet.
    auto one = OneCore({}, 4, first);
    CHECK(one.core.deadline() <= one.at(milliseconds(0)));
    CHECK(sent<VoteRequest>(one.run(milliseconds(0), Timer())).size() == 2);
    CHECK(sent<VoteRequest>(one.run(milliseconds(30), Reached{second})).size() == 1);
    CHECK(one.core.deadline() == one.at(milliseconds(50)));
    CHECK(sent<VoteRequest>(one.run(milliseconds(50), Timer())).size() == 2);
    one.run(milliseconds(60), Received{third, VoteReply{ElectionTerm(5), true, true}});
    CHECK(one.core.role() == CoreRole::Candidate);
    // It had no lease to uphold but its own, so that it is free to vote for another one.
    auto other = OneCore({}, 4, first);
    CHECK(grants(other.run(milliseconds(1), Received{third, preRequest})));
}

TEST_CASE("where the leader's VM comes back empty, the others wait for no lease of its former process")
{
    // The caller sees: nothing is served for an election timeout more, because the VM that lost its disk in the loss of power was the leader.
    // It comes back under a new identity, which tells the others that the process which held the lease has ended.
    auto one = OneCore({}, 4, second);
    one.run(milliseconds(10), Ended{third});
    CHECK_FALSE(grants(one.run(milliseconds(11), Received{third, preRequest})));
    one.run(milliseconds(12), Ended{second});
    CHECK(one.core.deadline() <= one.at(milliseconds(62)));
    CHECK(grants(one.run(milliseconds(13), Received{third, preRequest})));
}

TEST_CASE("a late word of an identity before the leader's frees no vote")
{
    // The caller sees: two control VMs that answer at the same time.
    // A VM lost its disk twice, and is the leader under its third identity. A message in which it asked to join under the second one lay in
    // the buffers of a VM that stood still, and is read after the leader's heartbeat.
    auto one = OneCore();
    one.run(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(4), Round(1), LogIndex()}});
    one.sync(milliseconds(1000));
    one.run(milliseconds(1001), Ended{second});
    CHECK_FALSE(grants(one.run(milliseconds(1002), Received{third, preRequest})));
}

TEST_CASE("a vote is sent after it is synced")
{
    // The caller sees: two leaders of one term, each of which acknowledges changes.
    // A voter gives its vote, loses power before the sync, and gives another vote in the same term.
    // The vote leaves only once the disk holds it.
    auto one = OneCore();
    CHECK_FALSE(grants(one.run(milliseconds(300), Received{third, request})));
    CHECK(grants(one.sync(milliseconds(300))));
}

TEST_CASE("the leader lease is shorter than the time for which voters keep their votes")
{
    // The caller sees: a read of the former leader that lacks an acknowledged change.
    // A leader is cut off right after a heartbeat; its clock is slow by the drift bound.
    // The lease counts from the send of the heartbeat and leaves room for the drift.
    auto one = OneCore();
    one.lead(milliseconds(700));
    one.sync(milliseconds(700));
    one.run(milliseconds(710), Received{second, AppendReply{ElectionTerm(2), true, LogIndex(2), ElectionTerm()}});
    CHECK_FALSE(one.core.holdsLeaderLease(one.at(milliseconds(711))));
    one.run(milliseconds(800), Received{second, HeartbeatReply{ElectionTerm(2), Round(1)}});
    CHECK(one.core.holdsLeaderLease(one.at(milliseconds(969))));
    CHECK_FALSE(one.core.holdsLeaderLease(one.at(milliseconds(970))));
}

TEST_CASE("a leader without a lease answers a read only after a round of heartbeats that began later")
{
    // The caller sees: a read that lacks a change that was acknowledged before.
    // The leader was cut off long enough for another one to be elected and to commit.
    // A quorum that answers a later heartbeat proves that there was none.
    auto one = OneCore();
    one.lead(milliseconds(700));
    one.sync(milliseconds(700));
    one.run(milliseconds(710), Received{second, AppendReply{ElectionTerm(2), true, LogIndex(2), ElectionTerm()}});
    one.run(milliseconds(720), Received{second, HeartbeatReply{ElectionTerm(2), Round(1)}});
    REQUIRE_FALSE(one.core.holdsLeaderLease(one.at(milliseconds(1100))));
    CHECK(count<ReadReady>(one.run(milliseconds(1100), ReadRequested{RequestNumber(1)})) == 0);
    CHECK(count<ReadReady>(one.run(milliseconds(1100), Timer())) == 0);
    CHECK(count<ReadReady>(one.run(milliseconds(1110), Received{second, HeartbeatReply{ElectionTerm(2), Round(1)}})) == 0);
    CHECK(count<ReadReady>(one.run(milliseconds(1120), Received{second, HeartbeatReply{ElectionTerm(2), Round(2)}})) == 1);
}

TEST_CASE("an entry of an earlier term is committed only by one of the own term")
{
    // The caller sees: an acknowledged change that vanishes.
    // A new leader finds an entry of an earlier term on a quorum. A VM with an entry of a term in between could still be
    // elected and overwrite it. Only an own entry above it shuts that VM out.
    auto one = OneCore({entry(2, 2)}, 2);
    one.lead(milliseconds(700));
    one.sync(milliseconds(700));
    one.run(milliseconds(710), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(2), ElectionTerm()}});
    CHECK(one.core.commitIndex() == LogIndex(0));
    one.run(milliseconds(720), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(3), ElectionTerm()}});
    CHECK(one.core.commitIndex() == LogIndex(3));
}

TEST_CASE("an acknowledgement that waits for the disk is dropped when the term changes")
{
    // The caller sees: an acknowledged change that vanishes.
    // A follower writes an entry; before the sync another leader arises, for which it voted and which may cut the entry.
    // The acknowledgement for the former leader could then count for an entry that the follower no longer holds.
    auto one = OneCore();
    const auto append = AppendRequest{ElectionTerm(2), LogIndex(1), ElectionTerm(1), {entry(2, 2)}, LogIndex()};
    one.run(milliseconds(100), Received{second, append});
    one.run(milliseconds(500), Received{third, Heartbeat{ElectionTerm(3), Round(1), LogIndex()}});
    CHECK(sent<AppendReply>(one.sync(milliseconds(510))).empty());
}

TEST_CASE("a leader that hears no quorum steps down and fails what it was asked")
{
    // The caller sees: a request that hangs until its own timeout.
    // A partition cuts the leader off from the others, but not from a proxy.
    // It notices within the maximum election timeout, and the proxy goes to another VM.
    auto one = OneCore();
    one.lead(milliseconds(700));
    one.sync(milliseconds(700));
    CHECK(count<Failed>(one.run(milliseconds(710), Proposed{RequestNumber(1), Bytes{std::byte(1)}})) == 0);
    CHECK(count<Failed>(one.run(milliseconds(1300), Timer())) == 0);
    CHECK(count<Failed>(one.run(milliseconds(1301), Timer())) == 1);
    CHECK(one.core.role() == CoreRole::Follower);
}

TEST_CASE("a replica whose disk failed acknowledges nothing, gives no vote and does not stand for election")
{
    // The caller sees: an acknowledged change that is gone after a restart.
    // A sync fails; the entries that it was for may be lost although a later sync succeeds.
    auto one = OneCore();
    one.run(milliseconds(100), Received{second, AppendRequest{ElectionTerm(2), LogIndex(1), ElectionTerm(1), {entry(2, 2)}, LogIndex()}});
    one.run(milliseconds(110), DiskFailed());
    CHECK(one.sync(milliseconds(120)).empty());
    CHECK_FALSE(grants(one.run(milliseconds(800), Received{third, preRequest})));
    CHECK(one.run(milliseconds(2000), Timer()).empty());
    const auto failed = one.run(milliseconds(2100), Proposed{RequestNumber(1), Bytes{std::byte(1)}});
    REQUIRE(count<Failed>(failed) == 1);
    CHECK(std::get<Failed>(failed.front()).failure == ProposalFailure::StorageFailed);
}

TEST_CASE("parts of a snapshot from two leaders are not joined")
{
    // The caller sees: a configuration that nobody wrote.
    // The leader goes while it sends a snapshot; its successor has one of the same index, encoded otherwise, and starts further on.
    // The follower asks the successor for the whole.
    auto one = OneCore();
    const auto part = Bytes(40, std::byte(1));
    const auto chunk = [&one, &part](std::uint64_t term, std::uint64_t offset, bool last) {
        const auto message = SnapshotChunk{ElectionTerm(term), LogIndex(9), ElectionTerm(2), one.core.members(), offset, part, last};
        return one.run(milliseconds(100), Received{second, message});
    };
    CHECK(sent<SnapshotReply>(chunk(2, 0, false)).at(0).offset == 40);
    const auto actions = chunk(3, 40, true);
    CHECK(count<Restore>(actions) == 0);
    CHECK(sent<SnapshotReply>(actions).at(0).offset == 0);
}

TEST_CASE("a learner is not made a voter before it holds what is committed, nor two changes made at once")
{
    // The caller sees: control that stops when one more VM is lost right after a repair.
    // An empty learner counted as a voter raises the quorum without holding anything.
    auto one = OneCore();
    // The founding entry is known to be committed, so only the missing own entry stands against the first change.
    one.run(milliseconds(50), Received{second, Heartbeat{ElectionTerm(2), Round(1), LogIndex(1)}});
    one.lead(milliseconds(700));
    auto members = one.core.members().members;
    members.push_back(ControlMember{VmId("4"), Endpoint(), false, ReplicaId(4)});
    const auto early = one.run(milliseconds(705), MembersProposed{RequestNumber(1), members});
    CHECK(count<Failed>(early) == 1);
    one.sync(milliseconds(706));
    one.run(milliseconds(710), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(2), ElectionTerm()}});
    CHECK(count<Failed>(one.run(milliseconds(720), MembersProposed{RequestNumber(2), members})) == 0);
    members.back().voter = true;
    CHECK(count<Failed>(one.run(milliseconds(725), MembersProposed{RequestNumber(3), members})) == 1);
    one.sync(milliseconds(726));
    one.run(milliseconds(730), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(3), ElectionTerm()}});
    CHECK(count<Failed>(one.run(milliseconds(740), MembersProposed{RequestNumber(4), members})) == 1);
    one.run(milliseconds(750), Received{ReplicaId(4), AppendReply{ElectionTerm(3), true, LogIndex(3), ElectionTerm()}});
    CHECK(count<Failed>(one.run(milliseconds(760), MembersProposed{RequestNumber(5), members})) == 0);
}

} // namespace sapphirespool::consensus
