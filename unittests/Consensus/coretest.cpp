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

/// A core in a group of three voters. \p entries follow the initial configuration entry in its log.
class CoreFixture
{
public:
    explicit CoreFixture(std::vector<Entry> entries = {}, std::uint64_t term = 1, ReplicaId leader = ReplicaId())
        : core(first, CoreSettings(), recoveredState(std::move(entries), term, leader), 1, this->at(milliseconds(0)))
    {
    }

    [[nodiscard]] auto at(milliseconds time) const -> TimePoint
    {
        return TimePoint(std::chrono::hours(1)) + time;
    }

    auto handle(milliseconds time, const CoreEvent &event) -> Actions
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
        return this->handle(time, DiskSynced{this->lastToken});
    }

    /// Makes the core win the pre-vote and the election at \p time.
    auto winElection(milliseconds time) -> void
    {
        this->handle(time, Timer());
        this->handle(time, Received{second, VoteReply{this->core.term().next(), true, true}});
        this->sync(time);
        this->handle(time, Received{second, VoteReply{this->core.term(), false, true}});
        REQUIRE(this->core.role() == CoreRole::Leader);
    }

    /// Makes both other voters acknowledge the entries up to \p index in term 2.
    auto acknowledgeAll(milliseconds time, LogIndex index) -> void
    {
        for (const auto voter : {second, third}) {
            this->handle(time, Received{voter, AppendReply{ElectionTerm(2), true, index, ElectionTerm()}});
        }
    }

    /// Makes the core send heartbeats and both other voters answer them in term 2.
    auto answerHeartbeats(milliseconds time) -> void
    {
        auto round = Round();
        for (const auto &action : this->handle(time, Timer())) {
            const auto *const send = std::get_if<Send>(&action);
            const auto *const heartbeat = send == nullptr ? nullptr : std::get_if<Heartbeat>(&send->message);
            round = heartbeat == nullptr ? round : heartbeat->round;
        }
        for (const auto voter : {second, third}) {
            this->handle(time, Received{voter, HeartbeatReply{ElectionTerm(2), round}});
        }
    }

    Core core;
    PersistToken lastToken;

private:
    static auto recoveredState(std::vector<Entry> entries, std::uint64_t term, ReplicaId leader) -> Recovered
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
auto sentMessages(const Actions &actions) -> std::vector<Kind>
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
auto countActions(const Actions &actions) -> std::ptrdiff_t
{
    return std::count_if(actions.begin(), actions.end(), [](const Action &action) {
        return std::holds_alternative<Kind>(action);
    });
}

auto grantsVote(const Actions &actions) -> bool
{
    const auto replies = sentMessages<VoteReply>(actions);
    return std::any_of(replies.begin(), replies.end(), [](const VoteReply &reply) {
        return reply.granted;
    });
}

const auto voteRequest = VoteRequest{ElectionTerm(5), false, LogIndex(9), ElectionTerm(4)};
const auto preVoteRequest = VoteRequest{ElectionTerm(5), true, LogIndex(9), ElectionTerm(4)};

} // namespace

TEST_CASE("a voter in contact with a leader grants no vote for the minimum election timeout")
{
    // Visible failure: a write acknowledged by one leader is missing at another one.
    // A leader relies on its lease while a candidate requests the vote of a voter that has just received that leader's heartbeat.
    // The voter withholds its vote for longer than the lease lasts, so no other leader is elected during the lease.
    auto fixture = CoreFixture();
    fixture.handle(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(2), Round(1), LogIndex()}});
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(1299), Received{third, preVoteRequest})));
    fixture.handle(milliseconds(1299), Received{third, voteRequest});
    CHECK_FALSE(grantsVote(fixture.sync(milliseconds(1299))));
    CHECK(fixture.core.term() == ElectionTerm(2));
    CHECK(grantsVote(fixture.handle(milliseconds(1300), Received{third, preVoteRequest})));
    fixture.handle(milliseconds(1300), Received{third, voteRequest});
    CHECK(grantsVote(fixture.sync(milliseconds(1300))));
}

TEST_CASE("a restarted voter grants no vote for the minimum election timeout")
{
    // Visible failure: a write acknowledged by one leader is missing at another one.
    // A voter answers a heartbeat and restarts at once, which loses the time of the heartbeat; then a candidate requests its vote.
    // The voter withholds its vote for one minimum election timeout after each start.
    auto fixture = CoreFixture();
    fixture.handle(milliseconds(299), Received{third, voteRequest});
    CHECK_FALSE(grantsVote(fixture.sync(milliseconds(299))));
    fixture.handle(milliseconds(300), Received{third, voteRequest});
    CHECK(grantsVote(fixture.sync(milliseconds(300))));
}

TEST_CASE("the restarted leader of the last term is granted votes at once")
{
    // Visible failure: no request is served for a second after a power failure, because each voter waits for a lease to expire.
    // All VMs restart. A voter can only have supported the lease of the leader of its term. That leader now requests its vote, so it no longer leads.
    auto restarted = CoreFixture({}, 4, second);
    CHECK(grantsVote(restarted.handle(milliseconds(1), Received{second, preVoteRequest})));
    restarted.handle(milliseconds(2), Received{second, voteRequest});
    CHECK(grantsVote(restarted.sync(milliseconds(2))));
    // A voter that did not restart and has just received that leader's heartbeat may do the same.
    auto running = CoreFixture();
    running.handle(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(4), Round(1), LogIndex()}});
    running.sync(milliseconds(1000));
    CHECK_FALSE(grantsVote(running.handle(milliseconds(1001), Received{third, preVoteRequest})));
    CHECK(grantsVote(running.handle(milliseconds(1002), Received{second, preVoteRequest})));
}

TEST_CASE("the leader of an earlier term is granted no vote before the lease of the current leader expires")
{
    // Visible failure: two control VMs serve requests at the same time.
    // A leader was partitioned and another one elected, whose heartbeat this voter has received; the former leader reconnects and requests its vote.
    auto fixture = CoreFixture({}, 2, second);
    fixture.handle(milliseconds(1000), Received{third, Heartbeat{ElectionTerm(3), Round(1), LogIndex()}});
    fixture.sync(milliseconds(1000));
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(1001), Received{second, preVoteRequest})));
}

TEST_CASE("the first heartbeat of a leader is answered after the leader's identity is synced")
{
    // Visible failure: two control VMs serve requests at the same time.
    // A voter answers the new leader and loses power before its disk holds that leader's identity. After the restart it would take the former
    // leader for the last one and grant it its vote at once, while the new leader's lease relies on the answer.
    auto fixture = CoreFixture();
    CHECK(sentMessages<HeartbeatReply>(fixture.handle(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(3), Round(1), LogIndex()}})).empty());
    CHECK(sentMessages<HeartbeatReply>(fixture.sync(milliseconds(1005))).size() == 1);
    CHECK(sentMessages<HeartbeatReply>(fixture.handle(milliseconds(1050), Received{second, Heartbeat{ElectionTerm(3), Round(2), LogIndex()}})).size() == 1);
}

TEST_CASE("a restarted leader requests votes at once, again when a voter becomes reachable, and until voters may grant them")
{
    // Visible failure: no request is served for an election timeout, because the first vote requests went to VMs that were not connected yet.
    auto fixture = CoreFixture({}, 4, first);
    CHECK(fixture.core.deadline() <= fixture.at(milliseconds(0)));
    CHECK(sentMessages<VoteRequest>(fixture.handle(milliseconds(0), Timer())).size() == 2);
    CHECK(sentMessages<VoteRequest>(fixture.handle(milliseconds(30), Reached{second})).size() == 1);
    CHECK(fixture.core.deadline() == fixture.at(milliseconds(50)));
    CHECK(sentMessages<VoteRequest>(fixture.handle(milliseconds(50), Timer())).size() == 2);
    fixture.handle(milliseconds(60), Received{third, VoteReply{ElectionTerm(5), true, true}});
    CHECK(fixture.core.role() == CoreRole::Candidate);
    // It supported no lease but its own, so it may vote for another candidate.
    auto otherFixture = CoreFixture({}, 4, first);
    CHECK(grantsVote(otherFixture.handle(milliseconds(1), Received{third, preVoteRequest})));
}

TEST_CASE("voters do not wait for the lease of a leader whose VM restarts with an empty disk")
{
    // Visible failure: no request is served for one more election timeout, because the VM that lost its disk in the power failure was the leader.
    // It restarts under a new replica ID, which proves to the others that the process that held the lease has ended.
    auto fixture = CoreFixture({}, 4, second);
    fixture.handle(milliseconds(10), Ended{third});
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(11), Received{third, preVoteRequest})));
    fixture.handle(milliseconds(12), Ended{second});
    CHECK(fixture.core.deadline() <= fixture.at(milliseconds(62)));
    CHECK(grantsVote(fixture.handle(milliseconds(13), Received{third, preVoteRequest})));
}

TEST_CASE("a delayed message from an earlier replica ID of the leader's VM releases no vote")
{
    // Visible failure: two control VMs serve requests at the same time.
    // A VM lost its disk twice and leads under its third replica ID. A join request under its second ID stayed in the receive buffers of a
    // paused VM, which reads it after the leader's heartbeat.
    auto fixture = CoreFixture();
    fixture.handle(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(4), Round(1), LogIndex()}});
    fixture.sync(milliseconds(1000));
    fixture.handle(milliseconds(1001), Ended{second});
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(1002), Received{third, preVoteRequest})));
}

TEST_CASE("a vote is sent only after it is synced")
{
    // Visible failure: two leaders in one term, each of which acknowledges changes.
    // A voter grants its vote, loses power before the sync, and grants another vote in the same term.
    // A vote is therefore sent only after the disk holds it.
    auto fixture = CoreFixture();
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(300), Received{third, voteRequest})));
    CHECK(grantsVote(fixture.sync(milliseconds(300))));
}

TEST_CASE("the leader lease is shorter than the time for which voters withhold their votes")
{
    // Visible failure: a read from the former leader lacks an acknowledged change.
    // A leader is partitioned right after a heartbeat; its clock is slow by the drift bound.
    // The lease starts when the heartbeat is sent and is shortened by the drift bound.
    auto fixture = CoreFixture();
    fixture.winElection(milliseconds(700));
    fixture.sync(milliseconds(700));
    fixture.handle(milliseconds(710), Received{second, AppendReply{ElectionTerm(2), true, LogIndex(2), ElectionTerm()}});
    CHECK_FALSE(fixture.core.holdsLeaderLease(fixture.at(milliseconds(711))));
    fixture.handle(milliseconds(800), Received{second, HeartbeatReply{ElectionTerm(2), Round(1)}});
    CHECK(fixture.core.holdsLeaderLease(fixture.at(milliseconds(969))));
    CHECK_FALSE(fixture.core.holdsLeaderLease(fixture.at(milliseconds(970))));
}

TEST_CASE("a leader without a lease answers a read only after a heartbeat round that starts after the read")
{
    // Visible failure: a read lacks a change that was acknowledged before it.
    // The leader was partitioned for long enough that another one could be elected and commit.
    // A quorum that answers a heartbeat sent after the read proves that no other leader was elected.
    auto fixture = CoreFixture();
    fixture.winElection(milliseconds(700));
    fixture.sync(milliseconds(700));
    fixture.handle(milliseconds(710), Received{second, AppendReply{ElectionTerm(2), true, LogIndex(2), ElectionTerm()}});
    fixture.handle(milliseconds(720), Received{second, HeartbeatReply{ElectionTerm(2), Round(1)}});
    REQUIRE_FALSE(fixture.core.holdsLeaderLease(fixture.at(milliseconds(1100))));
    CHECK(countActions<ReadReady>(fixture.handle(milliseconds(1100), ReadRequested{RequestNumber(1)})) == 0);
    CHECK(countActions<ReadReady>(fixture.handle(milliseconds(1100), Timer())) == 0);
    CHECK(countActions<ReadReady>(fixture.handle(milliseconds(1110), Received{second, HeartbeatReply{ElectionTerm(2), Round(1)}})) == 0);
    CHECK(countActions<ReadReady>(fixture.handle(milliseconds(1120), Received{second, HeartbeatReply{ElectionTerm(2), Round(2)}})) == 1);
}

TEST_CASE("an entry of an earlier term is committed only through an entry of the leader's own term")
{
    // Visible failure: an acknowledged change is lost.
    // A new leader finds an entry of an earlier term on a quorum. A VM with an entry of a term in between could still be elected and
    // overwrite it. Only a later entry of the leader's own term on a quorum prevents that VM from being elected.
    auto fixture = CoreFixture({entry(2, 2)}, 2);
    fixture.winElection(milliseconds(700));
    fixture.sync(milliseconds(700));
    fixture.handle(milliseconds(710), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(2), ElectionTerm()}});
    CHECK(fixture.core.commitIndex() == LogIndex(0));
    fixture.handle(milliseconds(720), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(3), ElectionTerm()}});
    CHECK(fixture.core.commitIndex() == LogIndex(3));
}

TEST_CASE("an acknowledgement that waits for a disk sync is dropped when the term changes")
{
    // Visible failure: an acknowledged change is lost.
    // A follower writes an entry; before the sync it votes for another leader, which is elected and may truncate the entry.
    // The acknowledgement for the former leader could then count for an entry that the follower no longer holds.
    auto fixture = CoreFixture();
    const auto append = AppendRequest{ElectionTerm(2), LogIndex(1), ElectionTerm(1), {entry(2, 2)}, LogIndex()};
    fixture.handle(milliseconds(100), Received{second, append});
    fixture.handle(milliseconds(500), Received{third, Heartbeat{ElectionTerm(3), Round(1), LogIndex()}});
    CHECK(sentMessages<AppendReply>(fixture.sync(milliseconds(510))).empty());
}

TEST_CASE("a leader without answers from a quorum steps down and fails its pending requests")
{
    // Visible failure: a request hangs until its own timeout.
    // A partition separates the leader from the other voters, but not from a proxy.
    // The leader steps down within the maximum election timeout, and the proxy fails over to another VM.
    auto fixture = CoreFixture();
    fixture.winElection(milliseconds(700));
    fixture.sync(milliseconds(700));
    CHECK(countActions<Failed>(fixture.handle(milliseconds(710), Proposed{RequestNumber(1), Bytes{std::byte(1)}})) == 0);
    CHECK(countActions<Failed>(fixture.handle(milliseconds(1300), Timer())) == 0);
    CHECK(countActions<Failed>(fixture.handle(milliseconds(1301), Timer())) == 1);
    CHECK(fixture.core.role() == CoreRole::Follower);
}

TEST_CASE("a replica whose disk failed acknowledges nothing, grants no vote and does not stand for election")
{
    // Visible failure: an acknowledged change is lost after a restart.
    // A sync fails; the entries that it covered may be lost although a later sync succeeds.
    auto fixture = CoreFixture();
    fixture.handle(milliseconds(100), Received{second, AppendRequest{ElectionTerm(2), LogIndex(1), ElectionTerm(1), {entry(2, 2)}, LogIndex()}});
    fixture.handle(milliseconds(110), DiskFailed());
    CHECK(fixture.sync(milliseconds(120)).empty());
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(800), Received{third, preVoteRequest})));
    CHECK(fixture.handle(milliseconds(2000), Timer()).empty());
    const auto failed = fixture.handle(milliseconds(2100), Proposed{RequestNumber(1), Bytes{std::byte(1)}});
    REQUIRE(countActions<Failed>(failed) == 1);
    CHECK(std::get<Failed>(failed.front()).failure == ProposalFailure::StorageFailed);
}

// Guards against a VM that never votes again because the entry that added it was lost with the leader that sent it.
TEST_CASE("a learner that hears no leader requests to join again")
{
    auto fixture = CoreFixture();
    auto members = fixture.core.members();
    CHECK_FALSE(fixture.core.needsToJoin());
    members.members.front().voter = false;
    const auto change = Entry{LogIndex(2), ElectionTerm(2), members};
    fixture.handle(milliseconds(100), Received{second, AppendRequest{ElectionTerm(2), LogIndex(1), ElectionTerm(1), {change}, LogIndex()}});
    fixture.handle(milliseconds(700), Timer());
    CHECK_FALSE(fixture.core.needsToJoin());
    fixture.handle(milliseconds(701), Timer());
    CHECK(fixture.core.needsToJoin());
    fixture.handle(milliseconds(710), Received{second, Heartbeat{ElectionTerm(2), Round(1), LogIndex()}});
    CHECK_FALSE(fixture.core.needsToJoin());
}

// Guards against a change that waits until the next one is proposed, because its message was lost after an acknowledgement came twice.
TEST_CASE("entries whose message was lost are sent again although an acknowledgement was repeated")
{
    auto fixture = CoreFixture();
    fixture.winElection(milliseconds(700));
    fixture.sync(milliseconds(700));
    fixture.acknowledgeAll(milliseconds(710), LogIndex(2));
    CHECK(sentMessages<AppendRequest>(fixture.handle(milliseconds(720), Proposed{RequestNumber(1), Bytes{std::byte(1)}})).size() == 2);
    fixture.acknowledgeAll(milliseconds(730), LogIndex(2));
    fixture.answerHeartbeats(milliseconds(800));
    CHECK(sentMessages<AppendRequest>(fixture.handle(milliseconds(930), Timer())).size() == 2);
}

// Guards against changes that wait for a disk that is full, and are lost with one more VM, while the other VMs could go on.
TEST_CASE("a leader whose disk is stalled resigns when the other voters go on")
{
    auto fixture = CoreFixture();
    fixture.winElection(milliseconds(700));
    fixture.sync(milliseconds(700));
    fixture.acknowledgeAll(milliseconds(710), LogIndex(2));
    fixture.handle(milliseconds(720), Proposed{RequestNumber(1), Bytes{std::byte(1)}});
    fixture.acknowledgeAll(milliseconds(730), LogIndex(3));
    fixture.handle(milliseconds(1000), Proposed{RequestNumber(2), Bytes{std::byte(1)}});
    fixture.answerHeartbeats(milliseconds(1110));
    REQUIRE(fixture.core.holdsLeaderLease(fixture.at(milliseconds(1120))));
    CHECK(sentMessages<Resigned>(fixture.handle(milliseconds(1120), Timer())).empty());
    CHECK(fixture.core.role() == CoreRole::Leader);
    const auto actions = fixture.handle(milliseconds(1121), Timer());
    CHECK(sentMessages<Resigned>(actions).size() == 2);
    CHECK(countActions<Failed>(actions) == 1);
    CHECK(fixture.core.role() == CoreRole::Follower);
    CHECK_FALSE(fixture.core.holdsLeaderLease(fixture.at(milliseconds(1121))));
}

// Guards against a group that loses its leader although no other VM could do better.
TEST_CASE("a leader whose disk is stalled keeps its leadership when no quorum of the others goes on")
{
    auto fixture = CoreFixture();
    fixture.winElection(milliseconds(700));
    fixture.sync(milliseconds(700));
    fixture.acknowledgeAll(milliseconds(710), LogIndex(2));
    fixture.handle(milliseconds(720), Proposed{RequestNumber(1), Bytes{std::byte(1)}});
    // One of the two others goes on, which is no quorum.
    fixture.handle(milliseconds(730), Received{second, AppendReply{ElectionTerm(2), true, LogIndex(3), ElectionTerm()}});
    fixture.answerHeartbeats(milliseconds(1190));
    CHECK(sentMessages<Resigned>(fixture.handle(milliseconds(1200), Timer())).empty());
    CHECK(fixture.core.role() == CoreRole::Leader);
    CHECK(fixture.core.isDiskStalled());
}

// Guards against an election that waits for a lease that its holder gave up.
TEST_CASE("a voter whose leader resigned grants its vote at once and campaigns within a heartbeat interval")
{
    auto fixture = CoreFixture();
    fixture.handle(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(4), Round(1), LogIndex()}});
    fixture.sync(milliseconds(1000));
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(1001), Received{third, preVoteRequest})));
    fixture.handle(milliseconds(1002), Received{second, Resigned{ElectionTerm(4)}});
    CHECK(fixture.core.deadline() <= fixture.at(milliseconds(1052)));
    CHECK_FALSE(fixture.core.leader().has_value());
    CHECK(grantsVote(fixture.handle(milliseconds(1003), Received{third, preVoteRequest})));
    fixture.handle(milliseconds(1004), Received{third, voteRequest});
    CHECK(grantsVote(fixture.sync(milliseconds(1004))));
}

// Guards against two control VMs that serve requests at the same time, because a delayed message frees the vote for which a lease stands.
TEST_CASE("a resignation from an earlier term or from another VM than the leader releases no vote")
{
    auto fixture = CoreFixture();
    fixture.handle(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(4), Round(1), LogIndex()}});
    fixture.sync(milliseconds(1000));
    fixture.handle(milliseconds(1001), Received{second, Resigned{ElectionTerm(3)}});
    fixture.handle(milliseconds(1001), Received{third, Resigned{ElectionTerm(4)}});
    fixture.handle(milliseconds(1001), Received{third, Resigned{ElectionTerm(9)}});
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(1002), Received{third, preVoteRequest})));
    CHECK(fixture.core.leader() == second);
}

// Guards against a leader that cannot write, and against elections that raise the term but elect nobody.
TEST_CASE("a replica whose disk is stalled requests no votes and grants none until its disk writes again")
{
    auto fixture = CoreFixture();
    fixture.handle(milliseconds(100), Received{second, AppendRequest{ElectionTerm(2), LogIndex(1), ElectionTerm(1), {entry(2, 2)}, LogIndex()}});
    CHECK(fixture.handle(milliseconds(800), Timer()).empty());
    CHECK(fixture.handle(milliseconds(1500), Timer()).empty());
    CHECK(fixture.core.role() == CoreRole::Follower);
    CHECK_FALSE(grantsVote(fixture.handle(milliseconds(1500), Received{third, preVoteRequest})));
    fixture.handle(milliseconds(1500), Received{third, voteRequest});
    CHECK_FALSE(grantsVote(fixture.sync(milliseconds(1600))));
    CHECK(grantsVote(fixture.handle(milliseconds(1700), Received{third, VoteRequest{ElectionTerm(6), true, LogIndex(9), ElectionTerm(4)}})));
    CHECK(sentMessages<VoteRequest>(fixture.handle(milliseconds(3000), Timer())).size() == 2);
}

// Guards against a voter that is replaced as lost because its disk was full for some seconds, and against a lease that relies on it meanwhile.
TEST_CASE("a voter whose disk is stalled answers a new leader without extending its lease")
{
    auto voter = CoreFixture();
    voter.handle(milliseconds(1000), Received{second, Heartbeat{ElectionTerm(2), Round(1), LogIndex()}});
    const auto stalled = sentMessages<HeartbeatReply>(voter.handle(milliseconds(1500), Received{second, Heartbeat{ElectionTerm(2), Round(9), LogIndex()}}));
    REQUIRE(stalled.size() == 1);
    CHECK(stalled.front().round == Round());
    voter.sync(milliseconds(1600));
    const auto recovered = sentMessages<HeartbeatReply>(voter.handle(milliseconds(1650), Received{second, Heartbeat{ElectionTerm(2), Round(12), LogIndex()}}));
    REQUIRE(recovered.size() == 1);
    CHECK(recovered.front().round == Round(12));

    auto leader = CoreFixture();
    leader.winElection(milliseconds(700));
    leader.sync(milliseconds(700));
    leader.acknowledgeAll(milliseconds(710), LogIndex(2));
    for (auto time = milliseconds(800); time <= milliseconds(1300); time += milliseconds(100)) {
        leader.handle(time, Timer());
        leader.handle(time, Received{second, HeartbeatReply{ElectionTerm(2), Round()}});
        CHECK_FALSE(leader.core.holdsLeaderLease(leader.at(time)));
    }
    CHECK(leader.core.timeSinceContact(second) == milliseconds(0));
    CHECK(leader.core.timeSinceContact(third) == milliseconds(590));
    leader.handle(milliseconds(1311), Timer());
    CHECK(leader.core.role() == CoreRole::Follower);
}

// Guards against a process that runs out of memory while its disk is full.
TEST_CASE("a replica keeps a bounded amount of entries and answers for a disk that is stalled")
{
    auto fixture = CoreFixture();
    const auto large = CoreSettings().backlogBytes;
    const auto append = [&fixture](milliseconds time, std::uint64_t index, std::size_t size) {
        const auto added = Entry{LogIndex(index), ElectionTerm(2), Command{Bytes(size)}};
        const auto previousTerm = ElectionTerm(index == 2 ? 1 : 2);
        return fixture.handle(time, Received{second, AppendRequest{ElectionTerm(2), LogIndex(index - 1), previousTerm, {added}, LogIndex()}});
    };
    CHECK(countActions<Persist>(append(milliseconds(100), 2, large / 2)) > 0);
    CHECK(countActions<Persist>(append(milliseconds(110), 3, large / 2)) == 1);
    CHECK(append(milliseconds(120), 4, 1).empty());
    CHECK(fixture.core.log().lastIndex() == LogIndex(3));
    for (auto time = milliseconds(200); time < milliseconds(1000); time += milliseconds(200)) {
        CHECK(append(time, 3, large / 2).empty());
    }
    CHECK(sentMessages<AppendReply>(fixture.sync(milliseconds(1000))).size() == 2);
    CHECK(countActions<Persist>(append(milliseconds(1010), 4, 1)) == 1);

    auto leader = CoreFixture();
    leader.winElection(milliseconds(700));
    leader.sync(milliseconds(700));
    CHECK(countActions<Failed>(leader.handle(milliseconds(710), Proposed{RequestNumber(1), Bytes(large)})) == 0);
    const auto failed = leader.handle(milliseconds(720), Proposed{RequestNumber(2), Bytes(1)});
    REQUIRE(countActions<Failed>(failed) == 1);
    CHECK(std::get<Failed>(failed.front()).failure == ProposalFailure::StorageFailed);
    leader.sync(milliseconds(730));
    CHECK(countActions<Failed>(leader.handle(milliseconds(740), Proposed{RequestNumber(3), Bytes(1)})) == 0);
}

// Guards against a request that hangs until its own timeout because the answer that a voter held back was dropped with an earlier one.
TEST_CASE("a repeated request of a leader is answered once when the disk writes again")
{
    auto fixture = CoreFixture();
    const auto append = AppendRequest{ElectionTerm(2), LogIndex(1), ElectionTerm(1), {entry(2, 2)}, LogIndex()};
    for (auto time = milliseconds(100); time < milliseconds(1000); time += milliseconds(200)) {
        fixture.handle(time, Received{second, append});
    }
    const auto replies = sentMessages<AppendReply>(fixture.sync(milliseconds(1000)));
    REQUIRE(replies.size() == 1);
    CHECK(replies.front().index == LogIndex(2));
}

TEST_CASE("chunks of snapshots from two leaders are not combined")
{
    // Visible failure: a configuration that nobody wrote.
    // The leader fails while it sends a snapshot; its successor has one of the same index with another encoding, and starts at a later offset.
    // The follower requests the whole snapshot from the successor.
    auto fixture = CoreFixture();
    const auto part = Bytes(40, std::byte(1));
    const auto chunk = [&fixture, &part](std::uint64_t term, std::uint64_t offset, bool last) {
        const auto message = SnapshotChunk{ElectionTerm(term), LogIndex(9), ElectionTerm(2), fixture.core.members(), offset, part, last};
        return fixture.handle(milliseconds(100), Received{second, message});
    };
    CHECK(sentMessages<SnapshotReply>(chunk(2, 0, false)).at(0).offset == 40);
    const auto actions = chunk(3, 40, true);
    CHECK(countActions<Restore>(actions) == 0);
    CHECK(sentMessages<SnapshotReply>(actions).at(0).offset == 0);
}

TEST_CASE("a learner is promoted only after it has caught up, and only one membership change is in progress at a time")
{
    // Visible failure: the control group loses its quorum when one more VM is lost right after a repair.
    // An empty learner that is promoted raises the quorum size without holding any entry.
    auto fixture = CoreFixture();
    // The initial configuration entry is known to be committed, so the first change is only rejected for want of a committed entry of the own term.
    fixture.handle(milliseconds(50), Received{second, Heartbeat{ElectionTerm(2), Round(1), LogIndex(1)}});
    fixture.sync(milliseconds(50));
    fixture.winElection(milliseconds(700));
    auto members = fixture.core.members().members;
    members.push_back(ControlMember{VmId("4"), Endpoint(), false, ReplicaId(4)});
    const auto early = fixture.handle(milliseconds(705), MembersProposed{RequestNumber(1), members});
    CHECK(countActions<Failed>(early) == 1);
    fixture.sync(milliseconds(706));
    fixture.handle(milliseconds(710), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(2), ElectionTerm()}});
    CHECK(countActions<Failed>(fixture.handle(milliseconds(720), MembersProposed{RequestNumber(2), members})) == 0);
    members.back().voter = true;
    CHECK(countActions<Failed>(fixture.handle(milliseconds(725), MembersProposed{RequestNumber(3), members})) == 1);
    fixture.sync(milliseconds(726));
    fixture.handle(milliseconds(730), Received{second, AppendReply{ElectionTerm(3), true, LogIndex(3), ElectionTerm()}});
    CHECK(countActions<Failed>(fixture.handle(milliseconds(740), MembersProposed{RequestNumber(4), members})) == 1);
    fixture.handle(milliseconds(750), Received{ReplicaId(4), AppendReply{ElectionTerm(3), true, LogIndex(3), ElectionTerm()}});
    CHECK(countActions<Failed>(fixture.handle(milliseconds(760), MembersProposed{RequestNumber(5), members})) == 0);
}

} // namespace sapphirespool::consensus
