#include "fakelog.h"

#include "sapphirespool/Controller/controller.h"
#include "sapphirespool/Controller/vmsettling.h"
#include "sapphirespool/Controller/vmtable.h"

#include <catch2/catch.hpp>

#include <deque>

namespace sapphirespool::controller
{

namespace
{

using namespace std::chrono_literals;

/// Members that never answer an order; counts the orders and probes.
class SilentMembers : public platform::GroupOperator
{
public:
    auto fence(const platform::MemberAddress &, platform::FenceRequest, platform::Authority, platform::ReportCallback) -> void override
    {
        ++this->fences;
    }

    auto promote(const platform::MemberAddress &, platform::PromoteRequest, platform::Authority, platform::ReportCallback) -> void override
    {
    }

    auto follow(const platform::MemberAddress &, platform::FollowRequest, platform::Authority, platform::ReportCallback) -> void override
    {
    }

    auto pause(const platform::MemberAddress &, platform::FenceRequest, platform::Authority, platform::ReportCallback) -> void override
    {
    }

    auto position(const platform::MemberAddress &, platform::ReportCallback) -> void override
    {
    }

    auto look(const platform::MemberAddress &, std::function<void(bool)> done) -> void override
    {
        ++this->probes;
        done(this->reached);
    }

    std::size_t fences = 0;
    std::size_t probes = 0;
    bool reached = true;
};

/// The control leader with virtual time.
struct ControlLeader
{
    state::ClusterState state;
    FakeLog log{this->state};
    std::shared_ptr<SilentMembers> members = std::make_shared<SilentMembers>();
    TimePoint now = TimePoint(1h);
    std::deque<std::function<void()>> posted;
    std::shared_ptr<Controller> controller = makeController({VmId("hobart-1"),
                                                             this->log,
                                                             this->state,
                                                             this->members,
                                                             [this] {
                                                                 return this->now;
                                                             },
                                                             [this](std::function<void()> work) {
                                                                 this->posted.push_back(std::move(work));
                                                             }});

    auto pass(Duration time) -> void
    {
        this->now += time;
        this->controller->tick();
        while (!this->posted.empty()) {
            const auto work = std::move(this->posted.front());
            this->posted.pop_front();
            work();
        }
    }

    auto apply(std::string_view id, std::uint64_t base, std::string_view text) -> membership::ConfigurationOutcome
    {
        auto outcome = membership::ConfigurationOutcome();
        this->controller->changeConfiguration({ChangeId(std::string(id)), Revision(base), std::string(text)}, [&outcome](auto result) {
            outcome = std::move(result);
        });
        return outcome;
    }

    auto heartbeat(const control::VmHeartbeat &heartbeat) -> control::HeartbeatOutcome
    {
        auto outcome = control::HeartbeatOutcome();
        this->controller->heartbeat(heartbeat, [&outcome](auto result) {
            outcome = std::move(result);
        });
        return outcome;
    }

    auto status() -> membership::ClusterStatus
    {
        auto status = membership::ClusterStatusOutcome();
        this->controller->readStatus([&status](auto result) {
            status = std::move(result);
        });
        return std::get<membership::ClusterStatus>(status);
    }
};

constexpr auto text = std::string_view("services: {orders: {group: orders-1}}");

auto heartbeatOf(std::string_view vm, std::uint64_t incarnation, std::uint64_t configuration) -> control::VmHeartbeat
{
    auto heartbeat = control::VmHeartbeat();
    heartbeat.vm = VmId(std::string(vm));
    heartbeat.zone = ZoneId("hobart");
    heartbeat.incarnation = Incarnation(incarnation);
    heartbeat.confirmed = Revision(configuration);
    heartbeat.configuration = Revision(configuration);
    return heartbeat;
}

auto announcementOf(std::string_view id) -> platform::Announcement
{
    auto announcement = platform::Announcement();
    announcement.group = "orders-1";
    announcement.id = id;
    announcement.incarnation = 1;
    return announcement;
}

} // namespace

// Failure: an invalid or conflicting configuration is applied, or a repeated change is applied twice.
TEST_CASE("a configuration is validated, accepted once, and refused with its reason")
{
    auto leader = ControlLeader();
    CHECK(std::get<NotRun>(leader.apply("c", 0, "services: {orders: {}}")).reason == RefusalReason::ConfigurationInvalid);
    CHECK(std::get<membership::ConfigurationAccepted>(leader.apply("a", 0, text)).revision == Revision(1));
    CHECK(std::get<membership::ConfigurationAccepted>(leader.apply("a", 0, text)).revision == Revision(1));
    CHECK(std::get<NotRun>(leader.apply("b", 0, text)).reason == RefusalReason::RevisionConflict);
    CHECK(std::get<NotRun>(leader.apply("a", 1, text)).reason == RefusalReason::KeyReused);
    CHECK(std::get<NotRun>(leader.apply("", 1, text)).reason == RefusalReason::MalformedRequest);
}

// Failure: a change that may be committed is reported to the operator as not run.
TEST_CASE("a change with a lost proposal has an unknown outcome, and one that reaches a VM without leadership is not run")
{
    auto leader = ControlLeader();
    leader.log.failure = consensus::ProposalFailure::OutcomeUnknown;
    CHECK(std::holds_alternative<OutcomeUnknown>(leader.apply("a", 0, text)));
    leader.log.failure = consensus::ProposalFailure::NotLeader;
    CHECK(std::get<NotRun>(leader.apply("a", 0, text)).reason == RefusalReason::ControlUnreachable);
}

// Failure: changes arrive so fast that the change log drops an id before its change is resent.
TEST_CASE("configuration changes are limited to the rate for which the change log is sized")
{
    auto leader = ControlLeader();
    for (std::uint32_t change = 0; change < changesPerSecond; ++change) {
        leader.apply("same", 0, text);
    }
    CHECK(std::get<NotRun>(leader.apply("same", 0, text)).reason == RefusalReason::QueueFull);
    leader.pass(1s);
    CHECK(std::holds_alternative<membership::ConfigurationAccepted>(leader.apply("same", 0, text)));
}

// Failure: a configuration is reported in force while a partitioned VM still serves under the previous one.
TEST_CASE("a configuration is in force after each VM has confirmed it or its lease has expired")
{
    auto leader = ControlLeader();
    leader.apply("a", 0, text);
    leader.heartbeat(heartbeatOf("hobart-1", 1, 1));
    leader.heartbeat(heartbeatOf("hobart-2", 1, 1));
    CHECK(leader.status().inForce);
    leader.apply("b", 1, text);
    leader.heartbeat(heartbeatOf("hobart-1", 1, 2));
    CHECK(!leader.status().inForce);
    leader.now += leaseLength - 1ms;
    leader.heartbeat(heartbeatOf("hobart-1", 1, 2));
    CHECK(!leader.status().inForce);
    leader.now += 1ms;
    CHECK(leader.status().inForce);
    CHECK(leader.status().vms.size() == 2);
}

// Failure: a new leader reports a configuration in force while a VM serves under the previous one with a lease of the former leader.
TEST_CASE("a new leader assumes that each known VM holds a lease")
{
    auto leader = ControlLeader();
    leader.apply("a", 0, text);
    leader.heartbeat(heartbeatOf("hobart-2", 1, 1));
    leader.log.leads = false;
    leader.pass(10s);
    leader.log.leads = true;
    leader.pass(1ms);
    CHECK(!leader.status().inForce);
    leader.pass(leaseLength);
    CHECK(leader.status().inForce);
}

// Failure: a leader that lost and regained leadership between two ticks ignores leases that another leader granted meanwhile.
TEST_CASE("leadership that was lost and regained between two ticks is a new leadership")
{
    auto leader = ControlLeader();
    leader.apply("a", 0, text);
    leader.heartbeat(heartbeatOf("hobart-2", 1, 1));
    leader.pass(leaseLength);
    CHECK(leader.status().inForce);
    leader.log.number = 3;
    leader.pass(1ms);
    CHECK_FALSE(leader.status().inForce);
}

// Failure: a VM serves with a lease that the next leader does not take into account.
TEST_CASE("no lease is granted without leadership, before registration, or to an earlier process")
{
    auto leader = ControlLeader();
    CHECK(std::holds_alternative<control::LeaseGrant>(leader.heartbeat(heartbeatOf("hobart-2", 1, 0))));
    CHECK(std::holds_alternative<control::LeaseGrant>(leader.heartbeat(heartbeatOf("hobart-2", 2, 0))));
    CHECK(std::holds_alternative<NotRun>(leader.heartbeat(heartbeatOf("hobart-2", 1, 0))));
    leader.log.failure = consensus::ProposalFailure::StorageFailed;
    CHECK(std::holds_alternative<NotRun>(leader.heartbeat(heartbeatOf("hobart-3", 1, 0))));
    leader.log.leads = false;
    CHECK(std::holds_alternative<NotRun>(leader.heartbeat(heartbeatOf("hobart-2", 2, 0))));
}

// Failure: the members of a new group are not admitted or get no primary.
TEST_CASE("members that send health reports are registered and fenced for the first term")
{
    auto leader = ControlLeader();
    leader.apply("a", 0, text);
    auto heartbeat = heartbeatOf("hobart-1", 1, 1);
    heartbeat.announcements = {announcementOf("a"), announcementOf("b")};
    leader.heartbeat(heartbeat);
    leader.pass(50ms);
    leader.pass(50ms);
    const auto *const group = leader.state.findGroup(GroupId("orders-1"));
    CHECK(group->view.members.size() == 2);
    CHECK(group->view.term == Term(1));
    CHECK(leader.members->fences == 2);
}

// Failure: after a power loss of the primary's VM, writes are refused for half a second longer until proxies of a second zone detect it.
TEST_CASE("control probes a primary that one zone suspects, and the suspicions of two zones end its term")
{
    auto leader = ControlLeader();
    leader.apply("a", 0, text);
    auto near = heartbeatOf("launceston-1", 1, 1);
    near.zone = ZoneId("launceston");
    leader.heartbeat(heartbeatOf("hobart-1", 1, 1));
    near.announcements = {announcementOf("a"), announcementOf("b")};
    leader.heartbeat(near);
    leader.pass(50ms);
    leader.pass(50ms);
    leader.state.execute(state::ChoosePrimary{GroupId("orders-1"), Term(1), UpstreamId("a"), Incarnation(1), LogPosition(0)});
    leader.pass(20ms);
    near.suspicions = {{GroupId("orders-1"), Term(1), UpstreamId("a")}};
    SECTION("the probe succeeds")
    {
        leader.heartbeat(near);
        leader.pass(20ms);
        CHECK(leader.members->probes == 1);
        CHECK(leader.state.findGroup(GroupId("orders-1"))->view.term == Term(1));
    }
    SECTION("the probe fails")
    {
        leader.members->reached = false;
        leader.heartbeat(near);
        leader.pass(20ms);
        CHECK(leader.state.findGroup(GroupId("orders-1"))->view.term == Term(2));
    }
}

// Failure: the connections that a lost VM owns are unavailable until the VM is ejected.
TEST_CASE("a VM is marked as silent in the view after the contact timeout and until its next heartbeat")
{
    auto leader = ControlLeader();
    leader.heartbeat(heartbeatOf("hobart-2", 1, 0));
    leader.pass(silentAfter - 1ms);
    CHECK_FALSE(leader.state.view()->proxies.front().silent);
    leader.pass(100ms);
    CHECK(leader.state.view()->proxies.front().silent);
    leader.heartbeat(heartbeatOf("hobart-2", 1, 0));
    CHECK_FALSE(leader.state.view()->proxies.front().silent);
}

// Failure: each heartbeat writes to the log, or a lost VM keeps its shares forever.
TEST_CASE("an unchanged heartbeat causes no proposal, and a lost VM is ejected from the view")
{
    auto leader = ControlLeader();
    leader.heartbeat(heartbeatOf("hobart-2", 1, 0));
    const auto proposals = leader.log.proposals;
    leader.heartbeat(heartbeatOf("hobart-2", 1, 0));
    CHECK(leader.log.proposals == proposals);
    leader.pass(ejectAfter - 1ms);
    CHECK(leader.state.view()->proxies.size() == 1);
    leader.pass(1ms);
    CHECK(leader.state.view()->proxies.empty());
}

// Failure: a new proxy allocates the same share of a quota as a partitioned proxy whose view does not list it.
TEST_CASE("a proxy that joins a configured system may allocate quota after a delay, and one that takes part in the first start at once")
{
    auto leader = ControlLeader();
    leader.apply("first", 0, text);
    auto later = heartbeatOf("hobart-2", 1, 1);
    later.callers = {"127.0.0.1", 8480};
    auto first = heartbeatOf("hobart-3", 1, 1);
    first.callers = {"127.0.0.1", 8480};
    first.firstStart = true;
    leader.heartbeat(later);
    leader.heartbeat(first);
    CHECK(leader.state.view()->findProxy(VmId("hobart-3"))->settled);
    leader.pass(10ms);
    leader.pass(VmSettling::settleAfter - 20ms);
    CHECK_FALSE(leader.state.view()->findProxy(VmId("hobart-2"))->settled);
    leader.pass(20ms);
    CHECK(leader.state.view()->findProxy(VmId("hobart-2"))->settled);
    leader.heartbeat(later);
    CHECK(leader.state.view()->findProxy(VmId("hobart-2"))->settled);
}

} // namespace sapphirespool::controller
