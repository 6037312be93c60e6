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

/// Members that never answer; counts what they are told.
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

    auto look(const platform::MemberAddress &, std::function<void(bool)> done) -> void override
    {
        ++this->looks;
        done(this->reached);
    }

    std::size_t fences = 0;
    std::size_t looks = 0;
    bool reached = true;
};

/// A leading control VM under virtual time.
struct Leading
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

    auto beat(const control::VmHeartbeat &heartbeat) -> control::HeartbeatOutcome
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

auto beatOf(std::string_view vm, std::uint64_t incarnation, std::uint64_t configuration) -> control::VmHeartbeat
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

TEST_CASE("a text is checked, accepted once, and refused with its reason")
{
    auto leading = Leading();
    CHECK(std::get<NotRun>(leading.apply("c", 0, "services: {orders: {}}")).reason == RefusalReason::ConfigurationInvalid);
    CHECK(std::get<membership::ConfigurationAccepted>(leading.apply("a", 0, text)).revision == Revision(1));
    CHECK(std::get<membership::ConfigurationAccepted>(leading.apply("a", 0, text)).revision == Revision(1));
    CHECK(std::get<NotRun>(leading.apply("b", 0, text)).reason == RefusalReason::RevisionConflict);
    CHECK(std::get<NotRun>(leading.apply("a", 1, text)).reason == RefusalReason::KeyReused);
    CHECK(std::get<NotRun>(leading.apply("", 1, text)).reason == RefusalReason::MalformedRequest);
}

TEST_CASE("a change whose proposal was lost is unknown, and one that another VM must take was not run")
{
    auto leading = Leading();
    leading.log.failure = consensus::ProposalFailure::OutcomeUnknown;
    CHECK(std::holds_alternative<OutcomeUnknown>(leading.apply("a", 0, text)));
    leading.log.failure = consensus::ProposalFailure::NotLeader;
    CHECK(std::get<NotRun>(leading.apply("a", 0, text)).reason == RefusalReason::ControlUnreachable);
}

TEST_CASE("changes are let through at the rate on which the memory of change ids rests")
{
    auto leading = Leading();
    for (std::uint32_t change = 0; change < changesPerSecond; ++change) {
        leading.apply("same", 0, text);
    }
    CHECK(std::get<NotRun>(leading.apply("same", 0, text)).reason == RefusalReason::QueueFull);
    leading.pass(1s);
    CHECK(std::holds_alternative<membership::ConfigurationAccepted>(leading.apply("same", 0, text)));
}

TEST_CASE("a configuration is in force once each live VM confirmed it or its lease ran out")
{
    // Two VMs serve; one confirms the new text, the other is cut off. Until its lease has run out it may still serve under the old
    // text, so the operator must not read that the new one is in force.
    auto leading = Leading();
    leading.apply("a", 0, text);
    leading.beat(beatOf("hobart-1", 1, 1));
    leading.beat(beatOf("hobart-2", 1, 1));
    CHECK(leading.status().inForce);
    leading.apply("b", 1, text);
    leading.beat(beatOf("hobart-1", 1, 2));
    CHECK(!leading.status().inForce);
    leading.now += leaseLength - 1ms;
    leading.beat(beatOf("hobart-1", 1, 2));
    CHECK(!leading.status().inForce);
    leading.now += 1ms;
    CHECK(leading.status().inForce);
    CHECK(leading.status().vms.size() == 2);
}

TEST_CASE("a new leader takes each known VM to hold a lease")
{
    // The former leader granted a lease a moment ago and is gone. The VM still serves under the old text for the rest of it.
    auto leading = Leading();
    leading.apply("a", 0, text);
    leading.beat(beatOf("hobart-2", 1, 1));
    leading.log.leads = false;
    leading.pass(10s);
    leading.log.leads = true;
    leading.pass(1ms);
    CHECK(!leading.status().inForce);
    leading.pass(leaseLength);
    CHECK(leading.status().inForce);
}

// A VM whose lease came from another leader must not be forgotten by one that lost the lead and won it back between two ticks.
TEST_CASE("a lead that was lost and won again between two ticks is a new one")
{
    auto leading = Leading();
    leading.apply("a", 0, text);
    leading.beat(beatOf("hobart-2", 1, 1));
    leading.pass(leaseLength);
    CHECK(leading.status().inForce);
    leading.log.number = 3;
    leading.pass(1ms);
    CHECK_FALSE(leading.status().inForce);
}

TEST_CASE("no lease without the lead, before the registration, or for an earlier process")
{
    auto leading = Leading();
    CHECK(std::holds_alternative<control::LeaseGrant>(leading.beat(beatOf("hobart-2", 1, 0))));
    CHECK(std::holds_alternative<control::LeaseGrant>(leading.beat(beatOf("hobart-2", 2, 0))));
    CHECK(std::holds_alternative<NotRun>(leading.beat(beatOf("hobart-2", 1, 0))));
    leading.log.failure = consensus::ProposalFailure::StorageFailed;
    CHECK(std::holds_alternative<NotRun>(leading.beat(beatOf("hobart-3", 1, 0))));
    leading.log.leads = false;
    CHECK(std::holds_alternative<NotRun>(leading.beat(beatOf("hobart-2", 2, 0))));
}

TEST_CASE("members that announce themselves are registered and fenced for the first term")
{
    auto leading = Leading();
    leading.apply("a", 0, text);
    auto heartbeat = beatOf("hobart-1", 1, 1);
    heartbeat.announcements = {announcementOf("a"), announcementOf("b")};
    leading.beat(heartbeat);
    leading.pass(50ms);
    leading.pass(50ms);
    const auto *const group = leading.state.findGroup(GroupId("orders-1"));
    CHECK(group->view.members.size() == 2);
    CHECK(group->view.term == Term(1));
    CHECK(leading.members->fences == 2);
}

TEST_CASE("control looks at a primary that one zone suspects, and two zones that cannot reach it end its term")
{
    // The caller sees: writes of a group refused for half a second longer than need be. The primary's VM has lost its power; proxies of one zone
    // notice first, those of others only once work of their own has met the silence. The control VM, in a third zone, looks at once.
    auto leading = Leading();
    leading.apply("a", 0, text);
    auto near = beatOf("launceston-1", 1, 1);
    near.zone = ZoneId("launceston");
    leading.beat(beatOf("hobart-1", 1, 1));
    near.announcements = {announcementOf("a"), announcementOf("b")};
    leading.beat(near);
    leading.pass(50ms);
    leading.pass(50ms);
    leading.state.execute(state::ChoosePrimary{GroupId("orders-1"), Term(1), UpstreamId("a"), Incarnation(1), LogPosition(0)});
    leading.pass(20ms);
    near.suspicions = {{GroupId("orders-1"), Term(1), UpstreamId("a")}};
    SECTION("it reaches the primary")
    {
        leading.beat(near);
        leading.pass(20ms);
        CHECK(leading.members->looks == 1);
        CHECK(leading.state.findGroup(GroupId("orders-1"))->view.term == Term(1));
    }
    SECTION("it does not")
    {
        leading.members->reached = false;
        leading.beat(near);
        leading.pass(20ms);
        CHECK(leading.state.findGroup(GroupId("orders-1"))->view.term == Term(2));
    }
}

TEST_CASE("a VM that control does not hear is marked in the view until it is heard again")
{
    // Others hold the connections that it owned meanwhile.
    auto leading = Leading();
    leading.beat(beatOf("hobart-2", 1, 0));
    leading.pass(silentAfter - 1ms);
    CHECK_FALSE(leading.state.view()->proxies.front().silent);
    leading.pass(100ms);
    CHECK(leading.state.view()->proxies.front().silent);
    leading.beat(beatOf("hobart-2", 1, 0));
    CHECK_FALSE(leading.state.view()->proxies.front().silent);
}

TEST_CASE("equal heartbeats propose nothing, and a VM that stays away leaves the view")
{
    auto leading = Leading();
    leading.beat(beatOf("hobart-2", 1, 0));
    const auto proposals = leading.log.proposals;
    leading.beat(beatOf("hobart-2", 1, 0));
    CHECK(leading.log.proposals == proposals);
    leading.pass(forgetAfter - 1ms);
    CHECK(leading.state.view()->proxies.size() == 1);
    leading.pass(1ms);
    CHECK(leading.state.view()->proxies.empty());
}

// A proxy that allocated quota as soon as it joined could do so beside one that is cut off and has not heard of it.
TEST_CASE("a proxy that joins a configured system may allocate quota after a while, one of the first start at once")
{
    auto leading = Leading();
    leading.apply("first", 0, text);
    auto later = beatOf("hobart-2", 1, 1);
    later.callers = {"127.0.0.1", 8480};
    auto first = beatOf("hobart-3", 1, 1);
    first.callers = {"127.0.0.1", 8480};
    first.firstStart = true;
    leading.beat(later);
    leading.beat(first);
    CHECK(leading.state.view()->findProxy(VmId("hobart-3"))->settled);
    leading.pass(10ms);
    leading.pass(VmSettling::settleAfter - 20ms);
    CHECK_FALSE(leading.state.view()->findProxy(VmId("hobart-2"))->settled);
    leading.pass(20ms);
    CHECK(leading.state.view()->findProxy(VmId("hobart-2"))->settled);
    leading.beat(later);
    CHECK(leading.state.view()->findProxy(VmId("hobart-2"))->settled);
}

} // namespace sapphirespool::controller
