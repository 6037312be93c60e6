#include "sapphirespool/State/clusterstate.h"

#include "samplecommands.h"

#include <catch2/catch.hpp>

namespace sapphirespool::state
{

namespace
{

const auto orders = GroupId("orders-1");

auto isApplied(const Result &result) -> bool
{
    return std::holds_alternative<Applied>(result);
}

auto isIgnored(const Result &result) -> bool
{
    return std::holds_alternative<Ignored>(result);
}

/// A state with one group of three members in term 1.
auto runningGroup() -> std::unique_ptr<ClusterState>
{
    auto state = std::make_unique<ClusterState>();
    state->execute(changeOf("first", 0, "text"));
    for (const auto *id : {"a", "b", "c"}) {
        state->execute(RegisterUpstream{orders, upstreamOf(id, 1)});
    }
    state->execute(BeginTerm{orders, Term(0), Term(1)});
    state->execute(ChoosePrimary{orders, Term(1), UpstreamId("a"), Incarnation(1), LogPosition(0)});
    return state;
}

} // namespace

TEST_CASE("the log is replayed without a view for each of its entries")
{
    // Failure: a new control leader is silent for longer than an election timeout while it replays the log, and loses the lead.
    auto state = ClusterState();
    state.execute(changeOf("first", 0, "text"));
    for (std::uint64_t incarnation = 1; incarnation <= 1'000; ++incarnation) {
        state.execute(RegisterUpstream{orders, upstreamOf("a", incarnation)});
    }
    CHECK(state.viewsBuilt() == 0);
    CHECK(state.view()->revision == state.revision());
    CHECK(state.view()->findGroup(orders)->members.front().incarnation == Incarnation(1'000));
    CHECK(state.viewsBuilt() == 1);
}

TEST_CASE("a view that was handed out stays as it is, and the next one shows each change")
{
    auto state = runningGroup();
    const auto before = state->view();
    state->execute(BeginTerm{orders, Term(1), Term(2)});
    CHECK(before->findGroup(orders)->term == Term(1));
    CHECK(state->view()->findGroup(orders)->term == Term(2));
    auto restored = ClusterState();
    static_cast<void>(restored.view());
    restored.restore(state->snapshot());
    CHECK(*restored.view() == *state->view());
}

TEST_CASE("a resent change gets its first result, also after a snapshot and later changes")
{
    // An operator loses the response to a change and resends it, after another operator's change and to a control VM that was restored
    // from a snapshot. The operator must get the first result, accepted, not a conflict.
    auto first = ClusterState();
    CHECK(std::get<Accepted>(first.execute(changeOf("change-1", 0, "one"))).revision == Revision(1));
    CHECK(std::get<Accepted>(first.execute(changeOf("change-2", 1, "two"))).revision == Revision(2));
    auto second = ClusterState();
    second.restore(first.snapshot());
    CHECK(std::get<Accepted>(second.execute(changeOf("change-1", 0, "one"))).revision == Revision(1));
    CHECK(second.text() == "two");
    CHECK(second.view()->configuration == Revision(2));
}

TEST_CASE("of two texts on the same base exactly one is accepted, and resends change nothing")
{
    // Two operators read revision 1 and send different texts; both lose the response and resend in turns. One text stays in force, and
    // the other operator gets a conflict each time.
    auto state = ClusterState();
    state.execute(changeOf("first", 0, "start"));
    for (auto round = 0; round < 3; ++round) {
        CHECK(std::get<Accepted>(state.execute(changeOf("left", 1, "left"))).revision == Revision(2));
        CHECK(std::get<Conflict>(state.execute(changeOf("right", 1, "right"))).current == Revision(2));
    }
    CHECK(state.text() == "left");
}

TEST_CASE("a change rejected because its base was not reached stays rejected once the base is reached")
{
    auto state = ClusterState();
    CHECK(std::get<Conflict>(state.execute(changeOf("early", 1, "early"))).current == Revision(0));
    state.execute(changeOf("first", 0, "start"));
    CHECK(std::holds_alternative<Conflict>(state.execute(changeOf("early", 1, "early"))));
    CHECK(state.text() == "start");
}

TEST_CASE("a change id reused with another text or base is rejected")
{
    auto state = ClusterState();
    state.execute(changeOf("change-1", 0, "one"));
    CHECK(std::holds_alternative<ChangeIdReused>(state.execute(changeOf("change-1", 0, "other"))));
    CHECK(std::holds_alternative<ChangeIdReused>(state.execute(changeOf("change-1", 1, "one"))));
}

TEST_CASE("a change whose id was evicted is never accepted again")
{
    auto log = ChangeLog(2);
    for (const auto *id : {"a", "b", "c"}) {
        log.add({ChangeId(id), Revision(0), 0, Applied()});
    }
    CHECK(log.find(ChangeId("a")) == nullptr);
    CHECK(log.find(ChangeId("b")) != nullptr);
    CHECK(log.find(ChangeId("c"))->id == ChangeId("c"));

    auto state = ClusterState();
    for (std::uint64_t change = 0; change <= ClusterState::changeLogLimit; ++change) {
        state.execute(changeOf("change-" + std::to_string(change), change, "text", {}));
    }
    CHECK(std::holds_alternative<Conflict>(state.execute(changeOf("change-0", 0, "text", {}))));
    CHECK(std::holds_alternative<Accepted>(state.execute(changeOf("change-1", 1, "text", {}))));
}

TEST_CASE("a term has at most one primary, whatever a former control leader proposes")
{
    // A control leader chooses a and is partitioned before it learns that the choice was committed; its successor fences another majority
    // and chooses b for the same term. If both were promoted, the logs of two members would hold different writes of one term.
    const auto state = runningGroup();
    CHECK(isIgnored(state->execute(ChoosePrimary{orders, Term(1), UpstreamId("b"), Incarnation(1), LogPosition(9)})));
    CHECK(state->findGroup(orders)->view.primary == UpstreamId("a"));
    CHECK(isApplied(state->execute(BeginTerm{orders, Term(1), Term(2)})));
    CHECK(isIgnored(state->execute(BeginTerm{orders, Term(1), Term(2)})));
    CHECK(!state->findGroup(orders)->view.primary);
    CHECK(isIgnored(state->execute(ChoosePrimary{orders, Term(1), UpstreamId("a"), Incarnation(1), LogPosition(9)})));
    CHECK(isApplied(state->execute(ChoosePrimary{orders, Term(2), UpstreamId("b"), Incarnation(1), LogPosition(9)})));
    CHECK(state->findGroup(orders)->view.history.size() == 2);
}

// A grant proposed by a former leader must not replace a grant to its successor.
TEST_CASE("a promotion grant follows the latest one and never belongs to an earlier leadership")
{
    const auto state = runningGroup();
    const auto revision = state->view()->revision;
    CHECK(isApplied(state->execute(GrantDuty{VmId("a"), 3, 0})));
    CHECK(isIgnored(state->execute(GrantDuty{VmId("b"), 5, 0})));
    CHECK(isApplied(state->execute(GrantDuty{VmId("b"), 5, 1})));
    CHECK(isIgnored(state->execute(GrantDuty{VmId("a"), 3, 2})));
    CHECK(state->view()->revision == revision);
    auto restored = ClusterState();
    restored.restore(state->snapshot());
    CHECK(restored.promotionDuty().holder == VmId("b"));
    CHECK(restored.promotionDuty().leadership == 5);
    CHECK(restored.promotionDuty().number == 2);
}

TEST_CASE("a group accepts as many members as the configuration says")
{
    const auto state = runningGroup();
    CHECK(isIgnored(state->execute(RegisterUpstream{orders, upstreamOf("d", 1)})));
    CHECK(isIgnored(state->execute(RegisterUpstream{orders, upstreamOf("a", 1)})));
    CHECK(isApplied(state->execute(RegisterUpstream{orders, upstreamOf("a", 2)})));
    CHECK(isIgnored(state->execute(RegisterUpstream{GroupId("unnamed"), upstreamOf("a", 1)})));
}

TEST_CASE("a group that was removed from the configuration keeps its term")
{
    const auto state = runningGroup();
    state->execute(changeOf("second", 1, "other", {"orders-2"}));
    CHECK(state->view()->findGroup(orders) == nullptr);
    state->execute(changeOf("third", 2, "both", {"orders-1", "orders-2"}));
    CHECK(state->view()->findGroup(orders)->term == Term(1));
}

TEST_CASE("a former incarnation of a VM cannot remove the VM from the view")
{
    auto state = ClusterState();
    state.execute(RegisterVm{vmOf("hobart-1", 1)});
    state.execute(RegisterVm{vmOf("hobart-1", 2)});
    CHECK(isIgnored(state.execute(ForgetVm{VmId("hobart-1"), Incarnation(1)})));
    CHECK(state.view()->findProxy(VmId("hobart-1"))->incarnation == Incarnation(2));
    CHECK(isApplied(state.execute(ForgetVm{VmId("hobart-1"), Incarnation(2)})));
}

TEST_CASE("a snapshot that cannot be read names the remedy")
{
    const auto broken = consensus::Bytes(24, std::byte{0xff});
    CHECK_THROWS_WITH(ClusterState().restore(broken), Catch::Contains("restore this VM's data folder"));
}

TEST_CASE("customers are in force with their configuration and survive a snapshot and the log")
{
    auto change = changeOf("first", 0, "text");
    change.content.customers = {{CustomerId("b"), {membership::digestOf("k")}, membership::Quota{10, 5}, 2}, {CustomerId("a"), {}, std::nullopt, 0}};
    change.content.services.front().requiresKey = true;
    const auto decoded = decodeCommand(encode(Command(change)));
    REQUIRE(decoded);
    auto state = ClusterState();
    state.execute(*decoded);
    auto restored = ClusterState();
    restored.restore(state.snapshot());
    CHECK(*restored.view() == *state.view());
    REQUIRE(restored.view()->customers.size() == 2);
    CHECK(restored.view()->customers.front().id == CustomerId("a"));
    CHECK(restored.view()->customers[1] == change.content.customers.front());
    CHECK(restored.view()->services.front().requiresKey);
    state.execute(changeOf("second", 1, "without customers"));
    CHECK(state.view()->customers.empty());
}

// A proxy that joins later must not allocate quota at once: another one may still allocate the same part.
TEST_CASE("a VM is settled if it registers before the first configuration, and a restart does not change that")
{
    auto state = ClusterState();
    state.execute(RegisterVm{vmOf("early", 1)});
    state.execute(changeOf("first", 0, "text"));
    state.execute(RegisterVm{vmOf("late", 1)});
    CHECK(state.view()->findProxy(VmId("early"))->settled);
    CHECK_FALSE(state.view()->findProxy(VmId("late"))->settled);
    state.execute(RegisterVm{vmOf("early", 2)});
    CHECK(state.view()->findProxy(VmId("early"))->settled);
    auto settled = vmOf("late", 1);
    settled.settled = true;
    CHECK(isApplied(state.execute(RegisterVm{settled})));
    CHECK(isIgnored(state.execute(RegisterVm{vmOf("late", 1)})));
    auto restored = ClusterState();
    restored.restore(state.snapshot());
    CHECK(restored.view()->findProxy(VmId("late"))->settled);
    state.execute(ForgetVm{VmId("late"), Incarnation(1)});
    state.execute(RegisterVm{vmOf("late", 1)});
    CHECK_FALSE(state.view()->findProxy(VmId("late"))->settled);
}

// Failure: proxies count directories as proxies, and keep a part of the connections, quota and keys for them.
TEST_CASE("directories are registered but not in the view")
{
    auto state = ClusterState();
    auto proxy = membership::ProxyView{VmId("proxy"), ZoneId("z"), Incarnation(1), {"127.0.0.1", 1}, {"127.0.0.1", 2}};
    auto directory = membership::ProxyView{VmId("directory"), ZoneId("z"), Incarnation(1), {}, {"127.0.0.1", 3}};
    state.execute(RegisterVm{proxy});
    state.execute(RegisterVm{directory});
    REQUIRE(state.vms().size() == 2);
    CHECK(state.findVm(VmId("directory"))->isDirectory());
    REQUIRE(state.view()->proxies.size() == 1);
    CHECK(state.view()->proxies.front().id == VmId("proxy"));
}

// Failure: a proposal of the control leader has no effect, and no log line can tell why.
TEST_CASE("a command without effect names its reason, also in its encoded result")
{
    auto state = runningGroup();
    const auto reasonOf = [&state](const Command &command) {
        const auto result = decodeResult(encode(state->execute(command)));
        REQUIRE(result);
        REQUIRE(isIgnored(*result));
        return std::get<Ignored>(*result).reason;
    };
    CHECK(reasonOf(BeginTerm{GroupId("other"), Term(1), Term(2)}) == IgnoredReason::UnknownGroup);
    CHECK(reasonOf(BeginTerm{orders, Term(0), Term(2)}) == IgnoredReason::OtherTerm);
    CHECK(reasonOf(ChoosePrimary{orders, Term(1), UpstreamId("b"), Incarnation(1), LogPosition(0)}) == IgnoredReason::PrimaryChosen);
    CHECK(reasonOf(ChoosePrimary{orders, Term(2), UpstreamId("b"), Incarnation(1), LogPosition(0)}) == IgnoredReason::OtherTerm);
    state->execute(BeginTerm{orders, Term(1), Term(2)});
    CHECK(reasonOf(ChoosePrimary{orders, Term(2), UpstreamId("gone"), Incarnation(1), LogPosition(0)}) == IgnoredReason::UnknownMember);
    CHECK(reasonOf(RegisterUpstream{orders, upstreamOf("a", 1)}) == IgnoredReason::Unchanged);
    CHECK(reasonOf(RegisterUpstream{orders, upstreamOf("d", 1)}) == IgnoredReason::GroupFull);
    CHECK(reasonOf(ForgetUpstream{orders, UpstreamId("a"), Incarnation(9)}) == IgnoredReason::FormerProcess);
    CHECK(reasonOf(GrantDuty{VmId("hobart-1"), 1, 7}) == IgnoredReason::OtherGrant);
    CHECK(reasonOf(ForgetVm{VmId("nowhere"), Incarnation(1)}) == IgnoredReason::UnknownVm);
}

// Failure: a control leader counts only the present members of a group, though another one may have confirmed a write before it left.
TEST_CASE("members that leave a group whose writes are confirmed are kept until they come back")
{
    auto change = changeOf("first", 0, "text");
    change.content.groups = {{orders, 3, 0, true, 1}};
    auto state = ClusterState();
    state.execute(change);
    for (const auto *id : {"a", "b", "c", "d"}) {
        state.execute(RegisterUpstream{orders, upstreamOf(id, 1)});
    }
    const auto record = [&state]() -> const GroupRecord & {
        return *state.findGroup(orders);
    };
    state.execute(BeginTerm{orders, Term(0), Term(1)});
    CHECK(record().lastPrimary == UpstreamId());
    state.execute(ChoosePrimary{orders, Term(1), UpstreamId("a"), Incarnation(1), LogPosition(0)});
    state.execute(ForgetUpstream{orders, UpstreamId("b"), Incarnation(1)});
    CHECK(record().lastPrimary == UpstreamId("a"));
    CHECK(record().departed == std::vector{UpstreamId("b")});
    state.execute(BeginTerm{orders, Term(1), Term(2)});
    CHECK(record().lastPrimary == UpstreamId("a"));
    // The former primary counts as such until another one is chosen, then as a member that has left.
    state.execute(ForgetUpstream{orders, UpstreamId("a"), Incarnation(1)});
    CHECK(record().departed == std::vector{UpstreamId("b")});
    state.execute(ChoosePrimary{orders, Term(2), UpstreamId("c"), Incarnation(1), LogPosition(0)});
    CHECK(record().lastPrimary == UpstreamId("c"));
    CHECK(record().departed == std::vector{UpstreamId("b"), UpstreamId("a")});
    auto restored = ClusterState();
    restored.restore(state.snapshot());
    CHECK(restored.findGroup(orders)->lastPrimary == UpstreamId("c"));
    CHECK(restored.findGroup(orders)->departed == record().departed);
    state.execute(RegisterUpstream{orders, upstreamOf("b", 2)});
    CHECK(record().departed == std::vector{UpstreamId("a")});
    // The record stays bounded.
    for (auto round = 1; round <= 40; ++round) {
        const auto id = "e" + std::to_string(round);
        state.execute(RegisterUpstream{orders, upstreamOf(id, 1)});
        state.execute(ForgetUpstream{orders, UpstreamId(id), Incarnation(1)});
    }
    CHECK(record().departed.size() < 40);
    CHECK(record().departed.back() == UpstreamId("e40"));
}

// Failure: a control leader relies on the pause of a member at which an order of the leader before it may undo that.
TEST_CASE("the members that an election may have paused are kept until they are known to receive writes")
{
    auto state = runningGroup();
    const auto paused = [&state] {
        return state->findGroup(orders)->paused;
    };
    const auto execute = [&state](const Command &command) {
        const auto decoded = decodeCommand(encode(command));
        REQUIRE(decoded);
        return state->execute(*decoded);
    };
    const auto b = UpstreamId("b");
    const auto c = UpstreamId("c");
    CHECK(paused().empty());
    execute(BeginTerm{orders, Term(1), Term(2)});
    execute(ChoosePrimary{orders, Term(2), UpstreamId("a"), Incarnation(1), LogPosition(0), {c, b, UpstreamId("nobody")}});
    CHECK(paused() == std::vector<PausedMember>{{b, false}, {c, false}});
    CHECK(isApplied(execute(NoteResume{orders, c, ResumePhase::Begun})));
    CHECK(paused() == std::vector<PausedMember>{{b, false}, {c, true}});
    auto restored = ClusterState();
    restored.restore(state->snapshot());
    CHECK(restored.findGroup(orders)->paused == paused());
    // The next election doesn't end what an order of this term may still do, and a new process may have been paused before it was known.
    execute(BeginTerm{orders, Term(2), Term(3)});
    execute(RegisterUpstream{orders, upstreamOf("c", 2)});
    execute(ChoosePrimary{orders, Term(3), UpstreamId("a"), Incarnation(1), LogPosition(0), {c}});
    CHECK(paused() == std::vector<PausedMember>{{b, false}, {c, true}});
    const auto revision = state->revision();
    CHECK(isApplied(execute(NoteResume{orders, c, ResumePhase::Done})));
    CHECK(isIgnored(execute(NoteResume{orders, c, ResumePhase::Done})));
    CHECK(state->revision() == revision);
    execute(ForgetUpstream{orders, b, Incarnation(1)});
    CHECK(paused().empty());
}

// Failure: writes that were acknowledged before the configuration asked for confirmations are taken for confirmed ones.
TEST_CASE("more confirmations from now on count as departures of those that earlier writes lack")
{
    const auto configure = [version = std::uint64_t{0}](std::uint32_t confirmations) mutable {
        auto change = changeOf("c", 0, "text");
        change.content.version = ConfigurationVersion(++version);
        change.content.groups = {{orders, 3, 0, true, confirmations}};
        return change;
    };
    auto change = configure;
    auto state = ClusterState();
    state.execute(change(0));
    state.execute(RegisterUpstream{orders, upstreamOf("a", 1)});
    state.execute(RegisterUpstream{orders, upstreamOf("b", 1)});
    state.execute(change(1));
    CHECK(state.findGroup(orders)->departed.empty());
    state.execute(change(0));
    state.execute(BeginTerm{orders, Term(0), Term(1)});
    state.execute(ChoosePrimary{orders, Term(1), UpstreamId("a"), Incarnation(1), LogPosition(0)});
    state.execute(change(2));
    CHECK(state.findGroup(orders)->departed.size() == 2);
    state.execute(change(1));
    CHECK(state.findGroup(orders)->departed.size() == 2);
    // Without confirmations nothing is kept, as only the primary is certain to have a write.
    state.execute(change(0));
    state.execute(ForgetUpstream{orders, UpstreamId("b"), Incarnation(1)});
    CHECK(state.findGroup(orders)->departed.size() == 2);
}

} // namespace sapphirespool::state
