#include "sapphirespool/Consensus/repair.h"

#include "../../lib/Consensus/codec.h"
#include "../../lib/Consensus/formation.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::consensus
{

namespace
{

using namespace std::chrono_literals;

auto makeMember(std::uint64_t replica, bool voter) -> ControlMember
{
    return {VmId("vm-" + std::to_string(replica)), {}, voter, ReplicaId(replica)};
}

auto alwaysCaughtUp(ReplicaId) -> bool
{
    return true;
}

const auto emptyControlVm = JoinAnswer{true, {}, false};

const auto emptyDirectory = JoinAnswer{true, {}, true};

auto seeds() -> std::vector<ControlMember>
{
    return {{VmId("s1"), {}, true, {}}, {VmId("s2"), {}, true, {}}, {VmId("s3"), {}, true, {}}};
}

/// Has all seeds answer at each tenth of a second from \p begin to \p end, as a VM without a group asks them.
auto answerAll(GroupFormation &formation, const JoinAnswer &answer, std::chrono::milliseconds begin, std::chrono::milliseconds end) -> void
{
    for (auto at = begin; at <= end; at += std::chrono::milliseconds(100)) {
        for (const auto &seed : seeds()) {
            formation.recordAnswer(seed.vm, answer, TimePoint(at));
        }
    }
}

} // namespace

TEST_CASE("a learner replaces a lost voter only")
{
    // A control VM is replaced by one at another address. If the lost VM remained a voter, it would still count towards the quorum size, and
    // the group would lose its quorum with the next lost VM.
    auto group = Members{{makeMember(1, true), makeMember(2, true), makeMember(3, true), makeMember(4, false)}, true};
    auto rules = RepairRules();
    rules.voters = 3;
    rules.lost = [](ReplicaId) {
        return false;
    };
    CHECK_FALSE(nextMemberChange(group, {}, alwaysCaughtUp, rules));
    rules.lost = [](ReplicaId replica) {
        return replica == ReplicaId(2);
    };
    const auto withoutLostVoter = nextMemberChange(group, {}, alwaysCaughtUp, rules);
    REQUIRE(withoutLostVoter);
    CHECK(withoutLostVoter->size() == 3);
    group.members = *withoutLostVoter;
    const auto promoted = nextMemberChange(group, {}, alwaysCaughtUp, rules);
    REQUIRE(promoted);
    CHECK(promoted->back().voter);
}

TEST_CASE("a lost learner is removed, and join requests beyond the group size wait")
{
    const auto group = Members{{makeMember(1, true), makeMember(2, false)}, true};
    auto rules = RepairRules();
    rules.lost = [](ReplicaId replica) {
        return replica == ReplicaId(2);
    };
    const auto caughtUp = [](ReplicaId) {
        return false;
    };
    const auto change = nextMemberChange(group, {}, caughtUp, rules);
    REQUIRE(change);
    CHECK(change->size() == 1);
    rules.lost = nullptr;
    rules.members = 2;
    const auto request = JoinRequest{VmId("vm-3"), {}, ReplicaId(3)};
    CHECK_FALSE(nextMemberChange(group, std::span(&request, 1), caughtUp, rules));
}

TEST_CASE("a VM that may not found a group founds none, and unlisted VMs join only if that is allowed")
{
    // All control VMs but one lost their disks, and that one is down. The others have no log; founding a new group would lose all
    // acknowledged changes.
    const auto members = std::vector{ControlMember{VmId("a"), {}, true, {}}, ControlMember{VmId("b"), {}, true, {}}};
    auto withoutFounding = GroupFormation(VmId("a"), members, false, true);
    withoutFounding.recordAnswer(VmId("b"), emptyControlVm, TimePoint());
    CHECK_FALSE(withoutFounding.shouldFound(TimePoint()));
    auto first = GroupFormation(VmId("a"), members, true, true);
    first.recordAnswer(VmId("b"), emptyControlVm, TimePoint());
    CHECK(first.shouldFound(TimePoint()));
    const auto request = JoinRequest{VmId("new"), {}, ReplicaId(9)};
    first.recordRequest(request, Members(), TimePoint());
    CHECK(first.requests(TimePoint()).size() == 1);
    auto closed = GroupFormation(VmId("a"), members);
    closed.recordRequest(request, Members(), TimePoint());
    CHECK(closed.requests(TimePoint()).empty());
}

TEST_CASE("a group with too few voters is complete once no other VM has asked to join for two seconds")
{
    // Failure: two losses are promised, four control VMs exist, and the operator's first configuration is never acknowledged.
    // Failure: commands are accepted before the other VMs have joined, and one lost disk loses the first configuration.
    const auto at = [](int milliseconds) {
        return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(milliseconds);
    };
    const auto responds = [](ReplicaId replica) {
        return replica != ReplicaId(3);
    };
    auto formation = GroupFormation(VmId("vm-1"), {}, true, true);
    auto group = Members{{makeMember(1, true)}, false};
    CHECK_FALSE(formation.isComplete(group, responds, at(0), at(1'999)));
    CHECK(formation.isComplete(group, responds, at(0), at(2'000)));
    formation.recordRequest({VmId("vm-2"), {}, ReplicaId(2)}, group, at(1'000));
    CHECK_FALSE(formation.isComplete(group, responds, at(0), at(2'999)));
    CHECK(formation.isComplete(group, responds, at(0), at(3'000)));
    // A learner that could still become a voter, and one that no longer responds.
    group.members.push_back(makeMember(2, false));
    CHECK_FALSE(formation.isComplete(group, responds, at(0), at(9'000)));
    group.members.back() = makeMember(3, false);
    CHECK(formation.isComplete(group, responds, at(0), at(9'000)));
    // A voter that has had no contact with its leader asks as well.
    group.members.back() = makeMember(2, true);
    formation.recordRequest({VmId("vm-2"), {}, ReplicaId(2)}, group, at(8'500));
    CHECK(formation.isComplete(group, responds, at(0), at(9'000)));
    // So does a learner that the leader does not reach; it would block the first configuration for as long as its link is broken.
    group.members.back() = makeMember(3, false);
    formation.recordRequest({VmId("vm-3"), {}, ReplicaId(3)}, group, at(8'500));
    CHECK(formation.isComplete(group, responds, at(0), at(9'000)));
    // The leader before this one may have received requests.
    CHECK_FALSE(formation.isComplete(group, responds, at(8'500), at(9'000)));
}

TEST_CASE("a log entry that was written before members had zones is read")
{
    // Failure: after an update no control VM can read its log, and the accepted configuration is lost.
    const auto written
        = std::string("00000000110000000000000003000100030000000000000002000000000000000200000000000000000000000100010001000000000000000100000027000000"
                      "040000000200020001000000000000000900000000000000050000002a0000000400000001000100766d2d3100000000a10f0000000000000100000052000000"
                      "3132372e302e302e3100000000000000");
    auto bytes = Bytes();
    for (auto position = std::size_t(0); position < written.size(); position += 2) {
        bytes.push_back(static_cast<std::byte>(std::stoi(written.substr(position, 2), nullptr, 16)));
    }
    const auto words = AlignedWords(bytes);
    auto reader = capnp::FlatArrayMessageReader(words.words());
    const auto entry = read(reader.getRoot<schema::Entry>());
    const auto member = ControlMember{VmId("vm-1"), Endpoint{"127.0.0.1", 4001}, true, ReplicaId(9), ZoneId()};
    CHECK(entry == Entry{LogIndex(3), ElectionTerm(2), Members{{member}, true}});
}

TEST_CASE("the zone of a member is kept in the log")
{
    // Failure: after a restart all voters seem to be in one zone, and replacements gather in another one.
    const auto member = ControlMember{VmId("vm-1"), Endpoint{"127.0.0.1", 4001}, true, ReplicaId(9), ZoneId("zone-2")};
    auto message = capnp::MallocMessageBuilder();
    write(Entry{LogIndex(3), ElectionTerm(2), Members{{member}, true}}, message.initRoot<schema::Entry>());
    const auto entry = read(message.getRoot<schema::Entry>().asReader());
    CHECK(std::get<Members>(entry.content).members == std::vector{member});
}

// Failure: two control VMs that the directories list one after the other both find that they are the first, and found a group each.
TEST_CASE("if all seeds are directories, nobody founds and the lack of a control VM among them is seen")
{
    auto formation = GroupFormation(VmId("a"), seeds(), true, true);
    CHECK_FALSE(formation.lacksControlSeed(TimePoint()));
    answerAll(formation, emptyDirectory, 0ms, 5000ms);
    CHECK_FALSE(formation.shouldFound(TimePoint(5000ms)));
    CHECK(formation.lacksControlSeed(TimePoint(5000ms)));
    formation.recordAnswer(VmId("s2"), emptyControlVm, TimePoint(5000ms));
    CHECK_FALSE(formation.lacksControlSeed(TimePoint(5000ms)));
}

// Failure: a group exists that only one directory knows of, and the first seed founds another one.
TEST_CASE("a directory that knows of a group blocks founding")
{
    auto formation = GroupFormation(VmId("s1"), seeds(), true, true);
    formation.recordAnswer(VmId("s2"), emptyControlVm, TimePoint());
    formation.recordAnswer(VmId("s3"), emptyDirectory, TimePoint());
    REQUIRE(formation.shouldFound(TimePoint()));
    formation.recordAnswer(VmId("s3"), {false, {makeMember(1, true)}, true}, TimePoint());
    CHECK_FALSE(formation.shouldFound(TimePoint()));
}

// Failure: a directory was cut off after it answered that it knew of no group, and has learned of one since.
TEST_CASE("an old answer of a directory does not count")
{
    auto formation = GroupFormation(VmId("s1"), seeds(), true, true);
    formation.recordAnswer(VmId("s2"), emptyControlVm, TimePoint());
    formation.recordAnswer(VmId("s3"), emptyDirectory, TimePoint());
    CHECK(formation.shouldFound(TimePoint(900ms)));
    CHECK_FALSE(formation.shouldFound(TimePoint(1000ms)));
}

// Failure: the first seed is a directory, which never founds, so that nobody does; or two seeds with a disk both do.
TEST_CASE("the first seed that is a control VM founds, and only once the directories know of no group")
{
    for (const auto *const self : {"s2", "s3", "a"}) {
        auto formation = GroupFormation(VmId(self), seeds(), true, true);
        formation.recordAnswer(VmId("s2"), emptyControlVm, TimePoint());
        formation.recordAnswer(VmId("s3"), emptyControlVm, TimePoint());
        CHECK_FALSE(formation.shouldFound(TimePoint()));
        formation.recordAnswer(VmId("s1"), emptyDirectory, TimePoint());
        CHECK(formation.shouldFound(TimePoint()) == (std::string_view(self) == "s2"));
    }
}

} // namespace sapphirespool::consensus
