#include "sapphirespool/Forwarding/quotaplacement.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <map>
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
using decisions::QuotaAllocator;
using decisions::QuotaGranted;
using decisions::TokenBucket;
using membership::Quota;

const auto start = TimePoint(std::chrono::hours(1));

constexpr auto proxyCount = std::size_t{83};
constexpr auto customerCount = std::size_t{81};
constexpr auto largeCustomers = std::size_t{3};
/// Operations a second.
constexpr auto largeRate = 120.0;
constexpr auto smallRate = 9.0;
/// What a customer may run in relation to what it usually runs.
constexpr auto headroom = 1.6;
/// Proxies at which the callers of one customer arrive.
constexpr auto proxiesOfCustomer = std::size_t{5};
constexpr auto slack = 15.0;

auto usualRate(std::size_t customer) -> double
{
    return customer < largeCustomers ? largeRate : smallRate;
}

auto customerName(std::size_t customer) -> CustomerId
{
    return CustomerId("customer-" + std::to_string(customer));
}

auto fleetView() -> membership::ClusterView
{
    auto view = membership::ClusterView{Revision(1), Revision(1)};
    for (std::size_t number = 0; number < proxyCount; ++number) {
        auto proxy = membership::ProxyView();
        proxy.id = VmId("vm-" + std::to_string(number));
        proxy.zone = ZoneId("zone-" + std::to_string(number % 3));
        proxy.callers = {"127.0.0.1", 1};
        proxy.settled = true;
        view.proxies.push_back(std::move(proxy));
    }
    for (std::size_t number = 0; number < customerCount; ++number) {
        auto customer = membership::CustomerView();
        customer.id = customerName(number);
        customer.quota = Quota{usualRate(number) * headroom, usualRate(number) * headroom};
        view.customers.append(std::move(customer));
    }
    return view;
}

/// A way to share a quota out over the proxies.
class Sharing
{
public:
    Sharing() = default;
    Sharing(const Sharing &) = delete;
    auto operator=(const Sharing &) -> Sharing & = delete;
    virtual ~Sharing() = default;

    /// \return whether an operation of \p customer that arrives at \p proxy may run
    virtual auto take(std::size_t proxy, std::size_t customer, TimePoint now) -> bool = 0;

    /// Requests to other proxies.
    std::size_t messages = 0;
    /// Proxies that do not answer.
    std::set<VmId> dead;
};

/// Each proxy has an equal share of each quota.
class EqualShares : public Sharing
{
public:
    auto take(std::size_t proxy, std::size_t customer, TimePoint now) -> bool override
    {
        const auto limit = usualRate(customer) * headroom;
        const auto share = Quota{limit / proxyCount, std::max(1.0, limit / proxyCount)};
        auto &bucket = this->buckets.try_emplace({proxy, customer}, share, start - 10s).first->second;
        return bucket.take(now, 0ms).has_value();
    }

private:
    std::map<std::pair<std::size_t, std::size_t>, TokenBucket> buckets;
};

/// A few proxies allocate a part of a quota each.
class Parts : public Sharing
{
public:
    explicit Parts(double slack)
    {
        const auto view = fleetView();
        for (const auto &proxy : view.proxies) {
            auto placement = std::make_unique<QuotaPlacement>(proxy.id, slack);
            placement->viewChanged(view);
            this->allocators[proxy.id].setParts(placement->ownParts(), start - 10s, start);
            this->placements.push_back(std::move(placement));
        }
    }

    auto take(std::size_t proxy, std::size_t customer, TimePoint now) -> bool override
    {
        const auto name = customerName(customer);
        const auto &holders = this->placements.at(proxy)->allocatorsOf(name);
        const auto first = this->turn++;
        for (std::size_t place = 0; place < holders.size(); ++place) {
            const auto &holder = holders[(first + place) % holders.size()].vm;
            ++this->messages;
            if (!this->dead.contains(holder) && std::holds_alternative<QuotaGranted>(this->allocators.at(holder).take(name, now))) {
                return true;
            }
        }
        return false;
    }

private:
    std::map<VmId, QuotaAllocator> allocators;
    std::vector<std::unique_ptr<QuotaPlacement>> placements;
    std::size_t turn = 0;
};

struct Outcome
{
    std::size_t asked = 0;
    std::size_t refused = 0;

    [[nodiscard]] auto refusedShare() const -> double
    {
        return static_cast<double>(this->refused) / static_cast<double>(this->asked);
    }
};

/// Plays half a minute in which each customer calls at its usual rate, at a few proxies of its own.
auto playUsualLoad(Sharing &sharing) -> Outcome
{
    auto random = std::mt19937(7);
    auto outcome = Outcome();
    constexpr auto step = 10ms;
    for (auto now = start; now < start + 30s; now += step) {
        for (std::size_t customer = 0; customer < customerCount; ++customer) {
            const auto expected = usualRate(customer) * std::chrono::duration<double>(step).count();
            const auto arrivals = std::poisson_distribution<std::size_t>(expected)(random);
            for (std::size_t arrival = 0; arrival < arrivals; ++arrival) {
                const auto proxy = (customer * 31 + std::uniform_int_distribution<std::size_t>(0, proxiesOfCustomer - 1)(random)) % proxyCount;
                ++outcome.asked;
                outcome.refused += sharing.take(proxy, customer, now) ? 0 : 1;
            }
        }
    }
    return outcome;
}

} // namespace

// Callers of a customer arrive at few proxies: equal shares refuse most of what it may run.
TEST_CASE("customers below their quotas are refused by equal shares, and not by parts that few proxies allocate")
{
    auto shares = EqualShares();
    auto parts = Parts(slack);
    auto exactParts = Parts(0);
    const auto byShares = playUsualLoad(shares);
    const auto byParts = playUsualLoad(parts);
    const auto byExactParts = playUsualLoad(exactParts);
    INFO("refused below the quota: equal shares " << byShares.refusedShare() << ", parts " << byExactParts.refusedShare() << ", parts with slack "
                                                  << byParts.refusedShare() << "; requests for each operation " << 0 << ", "
                                                  << static_cast<double>(exactParts.messages) / static_cast<double>(byExactParts.asked) << ", "
                                                  << static_cast<double>(parts.messages) / static_cast<double>(byParts.asked));
    CHECK(byParts.refusedShare() < 0.001);
    CHECK(byShares.refusedShare() > 0.2);
}

// A proxy that dies takes its parts with it; the customers that it served must run at the others.
TEST_CASE("the loss of two allocators leaves customers below their quotas served")
{
    auto parts = Parts(slack);
    const auto view = fleetView();
    auto placement = QuotaPlacement(VmId("vm-0"), slack);
    placement.viewChanged(view);
    const auto &holders = placement.allocatorsOf(customerName(0));
    REQUIRE(holders.size() == QuotaPlacement::maxParts);
    parts.dead = {holders[0].vm, holders[1].vm};
    const auto outcome = playUsualLoad(parts);
    INFO("refused below the quota with two allocators lost: " << outcome.refusedShare());
    CHECK(outcome.refusedShare() < 0.001);
}

} // namespace sapphirespool::forwarding
