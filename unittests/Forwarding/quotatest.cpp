#include "../../lib/Forwarding/fleetquota.h"

#include "sapphirespool/Controller/vmsettling.h"
#include "sapphirespool/Membership/quotatiming.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sapphirespool::forwarding
{

namespace
{

using namespace std::chrono_literals;
using membership::Quota;

const auto start = TimePoint(std::chrono::hours(1));
const auto chefs = CustomerId("chefs");

auto customerOf(const CustomerId &id, const Quota &quota) -> membership::CustomerView
{
    auto customer = membership::CustomerView();
    customer.id = id;
    customer.quota = quota;
    return customer;
}

auto proxyOf(std::size_t number, bool settled) -> membership::ProxyView
{
    auto proxy = membership::ProxyView();
    proxy.id = VmId("vm-" + std::to_string(number));
    proxy.zone = ZoneId("zone-" + std::to_string(number % 3));
    proxy.callers = {"127.0.0.1", 1};
    proxy.settled = settled;
    return proxy;
}

auto viewOf(std::size_t proxies, const Quota &quota) -> membership::ClusterView
{
    auto view = membership::ClusterView{Revision(1), Revision(1)};
    for (std::size_t number = 0; number < proxies; ++number) {
        view.proxies.push_back(proxyOf(number, true));
    }
    view.customers.append(customerOf(chefs, quota));
    return view;
}

auto placementAt(const VmId &self, const membership::ClusterView &view) -> QuotaPlacement
{
    auto placement = QuotaPlacement(self);
    placement.viewChanged(view);
    return placement;
}

} // namespace

TEST_CASE("the parts of a quota add up to it, on proxies that all proxies agree on")
{
    for (const auto &quota : {Quota{164, 164}, Quota{5, 5}, Quota{0.5, 1}, Quota{1000, 3}}) {
        for (const auto proxies : {std::size_t{1}, std::size_t{3}, std::size_t{12}, std::size_t{83}}) {
            const auto view = viewOf(proxies, quota);
            auto sum = Quota();
            auto holders = std::set<std::vector<std::string>>();
            for (const auto &proxy : view.proxies) {
                const auto placement = placementAt(proxy.id, view);
                for (const auto &part : placement.ownParts()) {
                    sum.ratePerSecond += part.quota.ratePerSecond;
                    sum.burst += part.quota.burst;
                    CHECK(part.quota.burst >= 1);
                }
                auto names = std::vector<std::string>();
                for (const auto &allocator : placement.allocatorsOf(chefs)) {
                    names.push_back(allocator.vm.value());
                }
                holders.insert(names);
            }
            CHECK(sum.ratePerSecond == Approx(quota.ratePerSecond));
            CHECK(sum.burst == Approx(quota.burst));
            CHECK(holders.size() == 1);
        }
    }
}

// Parts that moved whenever a proxy restarts would be without an allocator for longer than the restart takes.
TEST_CASE("a silent or stopping proxy keeps its parts, and one that is not settled allocates none")
{
    auto view = viewOf(12, {100, 100});
    const auto former = placementAt(VmId("vm-0"), view).allocatorsOf(chefs);
    view.proxies[3].silent = true;
    view.proxies[5].leaving = true;
    view.proxies[7].incarnation = Incarnation(7);
    CHECK(placementAt(VmId("vm-0"), view).allocatorsOf(chefs) == former);
    const auto holder = former.front().vm;
    for (auto &proxy : view.proxies) {
        proxy.settled = proxy.id != holder;
    }
    CHECK(placementAt(holder, view).ownParts().empty());
    CHECK(placementAt(former.back().vm, view).ownParts().size() == 1);
}

TEST_CASE("a customer without a quota has no allocators")
{
    auto view = viewOf(5, {100, 100});
    view.customers.edit().front().quota.reset();
    CHECK(placementAt(VmId("vm-0"), view).allocatorsOf(chefs).empty());
    CHECK(placementAt(VmId("vm-0"), view).allocatorsOf(CustomerId("nobody")).empty());
}

namespace
{

/// A fleet whose proxies are cut off from control, frozen, restarted, added and forgotten at random, while a customer calls at each of them
/// without a pause. Each step takes 10 ms.
class QuotaSimulation
{
public:
    explicit QuotaSimulation(std::uint32_t seed)
        : random(seed)
    {
        this->state = viewOf(initialProxies, {60, 60});
        this->history.push_back(std::make_shared<const membership::ClusterView>(this->state));
        for (const auto &proxy : this->state.proxies) {
            this->add(proxy.id);
        }
    }

    auto run(std::size_t steps) -> void
    {
        for (std::size_t step = 0; step < steps; ++step) {
            this->now += 10ms;
            this->disturb();
            this->control();
            for (auto &member : this->members) {
                this->heartbeat(member);
                this->call(member);
            }
            this->checkWindow();
        }
    }

    std::size_t worst = 0;
    std::size_t granted = 0;

private:
    static constexpr auto initialProxies = std::size_t{6};
    static constexpr auto window = 5s;

    struct Member
    {
        VmId id;
        std::shared_ptr<membership::ViewHolder> views;
        std::shared_ptr<FleetQuota> quota;
        TimePoint cutOffUntil{};
        TimePoint frozenUntil{};
        TimePoint lastContact{};
        /// Own entry of the simulation, kept when the VM is forgotten: a VM that is cut off does not know it.
        bool forgotten = false;
    };

    auto chance(std::uint32_t oneIn) -> bool
    {
        return std::uniform_int_distribution<std::uint32_t>(1, oneIn)(this->random) == 1;
    }

    auto seconds(int most) -> Duration
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(100, most * 1000)(this->random));
    }

    auto start(Member &member) -> void
    {
        member.views = std::make_shared<membership::ViewHolder>();
        member.quota = std::make_shared<FleetQuota>(member.id, ZoneId("zone-0"), member.views, 0, this->now);
        member.lastContact = this->now;
    }

    auto add(const VmId &id) -> void
    {
        auto member = Member();
        member.id = id;
        this->start(member);
        this->members.push_back(std::move(member));
    }

    auto publish() -> void
    {
        this->state.revision = this->state.revision.next();
        this->history.push_back(std::make_shared<const membership::ClusterView>(this->state));
    }

    auto disturb() -> void
    {
        for (auto &member : this->members) {
            if (this->chance(2'000)) {
                member.cutOffUntil = this->now + this->seconds(90);
            }
            if (this->chance(2'000)) {
                member.frozenUntil = this->now + this->seconds(30);
            }
            if (this->chance(2'000)) {
                this->start(member);
            }
        }
        if (this->chance(1'500) && this->members.size() < 14) {
            const auto number = initialProxies + this->added++;
            this->state.proxies.push_back(proxyOf(number, false));
            this->add(VmId("vm-" + std::to_string(number)));
            this->publish();
        }
        if (this->chance(3'000)) {
            const auto rate = static_cast<double>(std::uniform_int_distribution<int>(1, 60)(this->random));
            this->state.customers = std::vector{customerOf(chefs, {rate, rate})};
            this->publish();
        }
    }

    auto control() -> void
    {
        auto changed = false;
        for (const auto &vm : this->settling.due(this->state.proxies, this->now)) {
            for (auto &proxy : this->state.proxies) {
                proxy.settled = proxy.settled || proxy.id == vm.id;
            }
            changed = true;
        }
        for (auto &member : this->members) {
            if (!member.forgotten && this->now - member.lastContact > 60s) {
                member.forgotten = true;
                changed = std::erase_if(this->state.proxies,
                                        [&member](const membership::ProxyView &proxy) {
                                            return proxy.id == member.id;
                                        })
                        > 0
                    || changed;
            }
        }
        if (changed) {
            this->publish();
        }
    }

    [[nodiscard]] auto reaches(const Member &member) const -> bool
    {
        return this->now >= member.cutOffUntil && this->now >= member.frozenUntil;
    }

    auto heartbeat(Member &member) -> void
    {
        if (!this->reaches(member) || !this->chance(5)) {
            return;
        }
        if (member.forgotten) {
            this->state.proxies.push_back(proxyOf(static_cast<std::size_t>(std::stoi(member.id.value().substr(3))), false));
            member.forgotten = false;
            this->publish();
        }
        member.lastContact = this->now;
        // The view may be one behind; the lease is extended only for the newest.
        const auto lag = this->history.size() > 1 && this->chance(3) ? 2U : 1U;
        const auto view = this->history[this->history.size() - lag];
        member.views->publish(view);
        member.quota->viewChanged(*member.views->current(), this->now);
        if (member.views->current()->revision == this->state.revision) {
            member.views->extendLease(this->now + promotion::leaseLength);
        }
    }

    auto call(Member &member) -> void
    {
        while (this->now >= member.frozenUntil && std::holds_alternative<decisions::QuotaGranted>(member.quota->takeOwn(chefs, this->now))) {
            this->grants.push_back(this->now);
            ++this->granted;
        }
    }

    auto checkWindow() -> void
    {
        while (!this->grants.empty() && this->grants.front() + window <= this->now) {
            this->grants.pop_front();
        }
        this->worst = std::max(this->worst, this->grants.size());
    }

    std::mt19937 random;
    TimePoint now = sapphirespool::forwarding::start;
    membership::ClusterView state;
    std::vector<std::shared_ptr<const membership::ClusterView>> history;
    std::vector<Member> members;
    controller::VmSettling settling;
    std::size_t added = 0;
    std::deque<TimePoint> grants;
};

} // namespace

// A proxy that is cut off must not allocate a part that another one has taken up, whatever the order of cuts, freezes and restarts.
TEST_CASE("no schedule of cuts, freezes, restarts and joins lets a customer run more than its quota")
{
    for (auto seed = 1U; seed <= 20U; ++seed) {
        INFO("seed " << seed);
        auto simulation = QuotaSimulation(seed);
        simulation.run(30'000);
        // Rate x window + burst, with one operation a part for rounding.
        CHECK(simulation.worst <= 60 * 5 + 60 + QuotaPlacement::maxParts);
        CHECK(simulation.granted > 1'000);
    }
}

} // namespace sapphirespool::forwarding
