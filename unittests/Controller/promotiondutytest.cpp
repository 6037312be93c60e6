#include "fakelog.h"

#include "sapphirespool/Controller/controller.h"
#include "sapphirespool/Controller/promotionduty.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

namespace sapphirespool::controller
{

namespace
{

using namespace std::chrono_literals;

/// Orders of two control VMs within this time count at the platform as two holders of the promotion duty.
constexpr auto exclusiveTime = std::chrono::milliseconds(3'000);

/// An order to promote, as the platform receives it.
struct RecordedOrder
{
    VmId by;
    std::uint64_t token = 0;
    TimePoint given;
    /// Last time at which it could have been sent.
    TimePoint lastSendable;
    platform::Authority authority;
};

/// An unanswered order to fence.
struct UnansweredFence
{
    platform::MemberAddress member;
    std::uint64_t term = 0;
    platform::Authority authority;
    platform::ReportCallback done;
};

struct RecordedOrders
{
    std::vector<RecordedOrder> promotions;
    std::vector<UnansweredFence> fences;
};

/// Records the orders and answers none.
class RecordingOperator : public platform::GroupOperator
{
public:
    RecordingOperator(const TimePoint &now, RecordedOrders &orders)
        : now(now)
        , orders(orders)
    {
    }

    auto fence(const platform::MemberAddress &member, platform::FenceRequest request, platform::Authority authority, platform::ReportCallback done)
        -> void override
    {
        this->orders.fences.push_back({member, request.term, std::move(authority), std::move(done)});
    }

    auto promote(const platform::MemberAddress &, platform::PromoteRequest request, platform::Authority authority, platform::ReportCallback) -> void override
    {
        this->orders.promotions.push_back({request.orderedBy, request.fencingToken, this->now, this->now, std::move(authority)});
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

    auto look(const platform::MemberAddress &, std::function<void(bool)>) -> void override
    {
    }

private:
    const TimePoint &now;
    RecordedOrders &orders;
};

struct ControlVm
{
    ControlVm(std::string_view name, const TimePoint &now, RecordedOrders &orders)
        : id(std::string(name))
        , controller(makeController({this->id,
                                     this->log,
                                     this->state,
                                     std::make_shared<RecordingOperator>(now, orders),
                                     [&now] {
                                         return now;
                                     },
                                     [this](std::function<void()> work) {
                                         this->posted.push_back(std::move(work));
                                     }}))
    {
    }

    auto runPosted() -> void
    {
        while (!this->posted.empty()) {
            const auto work = std::move(this->posted.front());
            this->posted.pop_front();
            work();
        }
    }

    VmId id;
    state::ClusterState state;
    FakeLog log{this->state};
    std::deque<std::function<void()>> posted;
    std::shared_ptr<Controller> controller;
};

/// Two control VMs, both alive, and a self-replicating group whose primary is chosen.
struct TwoControlVms
{
    TwoControlVms()
    {
        this->a.log.followers = {&this->b.state};
        this->b.log.followers = {&this->a.state};
        this->b.log.leads = false;
        auto change = state::ChangeConfiguration();
        change.change = ChangeId("c");
        change.content.groups = {{GroupId("orders-1"), 3, 0, true}};
        this->commit(change);
        for (const auto *const id : {"x", "y"}) {
            auto member = membership::UpstreamView();
            member.id = UpstreamId(id);
            member.incarnation = Incarnation(1);
            member.endpoint.address = id;
            this->commit(state::RegisterUpstream{GroupId("orders-1"), member});
        }
        this->commit(state::BeginTerm{GroupId("orders-1"), Term(0), Term(1)});
        this->commit(state::ChoosePrimary{GroupId("orders-1"), Term(1), UpstreamId("x"), Incarnation(1), LogPosition(0)});
    }

    auto commit(const state::Command &command) -> void
    {
        this->a.log.propose(encode(command), [](const auto &) {});
    }

    auto setLeader(ControlVm &vm, std::uint64_t number) -> void
    {
        for (auto *const each : {&this->a, &this->b}) {
            each->log.leads = each == &vm;
            each->log.number = number;
        }
    }

    auto pass(Duration time) -> void
    {
        for (const auto end = this->now + time; this->now < end; this->now += tickInterval) {
            for (auto *const vm : {&this->a, &this->b}) {
                vm->controller->tick();
                vm->runPosted();
            }
            this->recordAuthorities();
        }
    }

    auto leader() -> ControlVm &
    {
        return this->a.log.leads ? this->a : this->b;
    }

    /// Delivers health reports of the members to the leader and runs the work that this posts.
    auto announce(platform::Role roleOfPrimary) -> void
    {
        this->deliverHealthReports(roleOfPrimary, 1);
        this->leader().runPosted();
    }

    /// Delivers health reports of the members to the leader; posted work remains queued.
    auto deliverHealthReports(platform::Role roleOfPrimary, std::uint32_t slots) -> void
    {
        auto heartbeat = control::VmHeartbeat();
        heartbeat.vm = VmId("hobart-9");
        heartbeat.zone = ZoneId("hobart");
        heartbeat.incarnation = Incarnation(1);
        for (const auto *const id : {"x", "y"}) {
            auto announcement = platform::Announcement();
            announcement.group = "orders-1";
            announcement.id = id;
            announcement.incarnation = 1;
            announcement.address = id;
            announcement.slots = slots;
            announcement.sequence = ++this->announcements;
            announcement.role = announcement.id == "x" ? roleOfPrimary : platform::Role::Replica;
            heartbeat.announcements.push_back(announcement);
        }
        this->leader().controller->heartbeat(heartbeat, [](const auto &) {});
    }

    [[nodiscard]] auto ordersOf(const ControlVm &vm) const -> std::ptrdiff_t
    {
        return std::count_if(this->orders.promotions.begin(), this->orders.promotions.end(), [&vm](const RecordedOrder &order) {
            return order.by == vm.id;
        });
    }

    /// Updates the last time at which each order could have been sent.
    auto recordAuthorities() -> void
    {
        for (auto &order : this->orders.promotions) {
            if (order.authority->holds()) {
                order.lastSendable = this->now;
            }
        }
    }

    /// \return the shortest time between an order and the next one of another VM
    [[nodiscard]] auto shortestHandover() const -> Duration
    {
        auto shortest = Duration::max();
        for (auto place = std::size_t{1}; place < this->orders.promotions.size(); ++place) {
            const auto &order = this->orders.promotions[place];
            const auto &former = this->orders.promotions[place - 1];
            if (order.by != former.by) {
                shortest = std::min(shortest, order.given - former.lastSendable);
            }
        }
        return shortest;
    }

    TimePoint now = TimePoint(1h);
    RecordedOrders orders;
    std::uint64_t announcements = 0;
    ControlVm a{"hobart-1", this->now, this->orders};
    ControlVm b{"launceston-1", this->now, this->orders};
};

} // namespace

// Failure: each change of the control leader repeats promotions that were carried out long ago.
TEST_CASE("a new control leader orders no promotion of a primary that serves")
{
    auto vms = TwoControlVms();
    vms.setLeader(vms.b, 5);
    vms.pass(400ms);
    vms.announce(platform::Role::Primary);
    vms.pass(2s);
    CHECK(vms.orders.promotions.empty());
}

// Failure: two live control VMs alternate in ordering promotions and move a primary back and forth.
TEST_CASE("a control VM orders promotions only after the orders of another one can no longer take effect")
{
    auto vms = TwoControlVms();
    vms.setLeader(vms.a, 3);
    vms.announce(platform::Role::Replica);
    vms.pass(500ms);
    REQUIRE(vms.ordersOf(vms.a) > 0);
    vms.setLeader(vms.b, 5);
    vms.announce(platform::Role::Replica);
    vms.pass(2s);
    CHECK(vms.ordersOf(vms.b) == 0);
    vms.setLeader(vms.a, 6);
    vms.announce(platform::Role::Replica);
    vms.pass(10s);
    vms.setLeader(vms.b, 7);
    vms.announce(platform::Role::Replica);
    vms.pass(10s);
    CHECK(vms.ordersOf(vms.b) > 0);
    CHECK(vms.shortestHandover() >= exclusiveTime);
}

// Failure: the loss of the duty holder delays the promotions that the same fault requires.
TEST_CASE("the duty of a lost control VM is taken over at once")
{
    auto vms = TwoControlVms();
    vms.setLeader(vms.a, 3);
    vms.announce(platform::Role::Replica);
    vms.pass(500ms);
    vms.setLeader(vms.b, 5);
    vms.b.log.silent = holderLostAfter;
    vms.announce(platform::Role::Replica);
    vms.pass(100ms);
    CHECK(vms.ordersOf(vms.b) > 0);
}

// Failure: VMs with a bad network path between them take the duty from each other in turn.
TEST_CASE("the duty is taken early from a holder that appears lost only once within the handover time")
{
    auto duty = PromotionDuty(VmId("a"));
    const auto start = TimePoint(1h);
    duty.proposed(start);
    duty.note({VmId("a"), 3, 1}, start + 10ms);
    CHECK(duty.isHeld(3, start + 20ms));
    CHECK_FALSE(duty.isHeld(4, start + 20ms));
    duty.note({VmId("b"), 5, 2}, start + 100ms);
    CHECK_FALSE(duty.isHeld(3, start + 100ms));
    CHECK_FALSE(duty.mayTake(10s, start + 100ms + dutyHandover - 1ms));
    CHECK(duty.mayTake(0s, start + 100ms + dutyHandover));
    auto third = PromotionDuty(VmId("c"));
    third.note({VmId("a"), 3, 1}, start);
    CHECK(third.mayTake(holderLostAfter, start + 100ms));
    third.note({VmId("b"), 5, 2}, start + 100ms);
    CHECK_FALSE(third.mayTake(10s, start + 100ms + dutyHandover - 1ms));
}

// Failure: a VM that missed grants takes the duty early although it was transferred a moment ago.
TEST_CASE("a gap in the applied grants counts as a transfer of the duty")
{
    const auto start = TimePoint(1h);
    auto restarted = PromotionDuty(VmId("a"));
    restarted.note({VmId("b"), 5, 2}, start);
    CHECK_FALSE(restarted.mayTake(10s, start + dutyHandover - 1ms));
    CHECK(restarted.mayTake(0s, start + dutyHandover));
    auto late = PromotionDuty(VmId("a"));
    late.note({VmId("b"), 5, 1}, start);
    late.note({VmId("b"), 7, 3}, start + 1s);
    CHECK_FALSE(late.mayTake(10s, start + 1s + dutyHandover - 1ms));
}

// Failure: the holder counts its grant for longer than the VMs that wait for its end.
TEST_CASE("a grant begins with its first proposal and is renewed while orders are sent")
{
    auto duty = PromotionDuty(VmId("a"));
    const auto start = TimePoint(1h);
    CHECK(duty.isWanted(3, start));
    duty.proposed(start);
    CHECK_FALSE(duty.isWanted(3, start + dutyProposalRetry - 1ms));
    CHECK(duty.isWanted(3, start + dutyProposalRetry));
    duty.proposed(start + dutyProposalRetry);
    duty.note({VmId("a"), 3, 1}, start + 600ms);
    CHECK(duty.isHeld(3, start + dutyLength - 1ms));
    CHECK_FALSE(duty.isHeld(3, start + dutyLength));
    CHECK_FALSE(duty.isWanted(3, start + dutyRenewal - 1ms));
    CHECK(duty.isWanted(3, start + dutyRenewal));
    duty.proposed(start + dutyRenewal);
    CHECK(duty.isHeld(3, start + dutyLength - 1ms));
    duty.note({VmId("a"), 3, 2}, start + dutyRenewal + 100ms);
    CHECK(duty.isHeld(3, start + dutyRenewal + dutyLength - 1ms));
}

// Failure: a restarted process sends orders under a grant whose start it does not know.
TEST_CASE("a restarted control VM does not use the grant of its former process")
{
    auto duty = PromotionDuty(VmId("a"));
    duty.note({VmId("a"), 3, 7}, TimePoint(1h));
    CHECK_FALSE(duty.isHeld(3, TimePoint(1h)));
    CHECK(duty.mayTake(0s, TimePoint(1h)));
}

// Failure: an order queued on the control thread is sent after the loss of leadership, with the token of the next leader.
TEST_CASE("work that was posted under a leadership is dropped after its end")
{
    auto vms = TwoControlVms();
    vms.setLeader(vms.a, 3);
    vms.announce(platform::Role::Primary);
    vms.pass(500ms);
    const auto before = vms.orders.promotions.size();
    vms.deliverHealthReports(platform::Role::Primary, 2);
    vms.commit(state::BeginTerm{GroupId("orders-1"), Term(1), Term(2)});
    vms.commit(state::ChoosePrimary{GroupId("orders-1"), Term(2), UpstreamId("y"), Incarnation(1), LogPosition(0)});
    vms.setLeader(vms.b, 5);
    REQUIRE_FALSE(vms.a.posted.empty());
    vms.a.runPosted();
    CHECK(vms.orders.promotions.size() == before);
}

// Failure: an order that waits for its connection is sent after the loss of leadership.
TEST_CASE("the authority of an order ends with the leader lease")
{
    auto vms = TwoControlVms();
    vms.setLeader(vms.a, 3);
    vms.a.log.leaseEnd = vms.now + 270ms;
    vms.announce(platform::Role::Replica);
    vms.pass(100ms);
    REQUIRE_FALSE(vms.orders.promotions.empty());
    const auto authority = vms.orders.promotions.front().authority;
    CHECK(authority->holds());
    vms.now += 270ms;
    CHECK_FALSE(authority->holds());
}

// A leader that resigns ends its lease early; an order that leaves later may contradict one of its successor.
TEST_CASE("the authority of an order ends when the control leader resigns")
{
    auto vms = TwoControlVms();
    vms.setLeader(vms.a, 3);
    vms.a.log.leaseEnd = vms.now + 270ms;
    vms.announce(platform::Role::Replica);
    vms.pass(100ms);
    REQUIRE_FALSE(vms.orders.promotions.empty());
    const auto authority = vms.orders.promotions.front().authority;
    REQUIRE(authority->holds());
    vms.a.log.leads = false;
    vms.a.log.leadershipLost();
    CHECK_FALSE(authority->holds());
}

// Failure: a member is ordered to step down after its promotion, and its group has no primary.
TEST_CASE("orders that have not been sent are revoked by a later decision of the control leader")
{
    auto vms = TwoControlVms();
    vms.setLeader(vms.a, 3);
    vms.announce(platform::Role::Primary);
    vms.commit(state::BeginTerm{GroupId("orders-1"), Term(1), Term(2)});
    vms.announce(platform::Role::Primary);
    vms.pass(40ms);
    const auto fences = vms.orders.fences;
    REQUIRE(fences.size() == 2);
    CHECK(fences.front().authority->holds());
    for (const auto &fence : fences) {
        auto report = platform::PositionReport();
        report.id = fence.member.id.value();
        report.incarnation = 1;
        report.term = fence.term;
        report.role = platform::Role::Fenced;
        fence.done(report);
    }
    vms.pass(400ms);
    REQUIRE(vms.a.state.findGroup(GroupId("orders-1"))->view.primary);
    CHECK_FALSE(fences.front().authority->holds());
    CHECK_FALSE(fences.back().authority->holds());
}

} // namespace sapphirespool::controller
