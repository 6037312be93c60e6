#include "sapphirespool/Decisions/shareallocator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sapphirespool::decisions
{

namespace
{

using std::chrono::milliseconds;

constexpr auto limitSlots = 5U;
constexpr auto limitConnections = 35U;
constexpr auto proxyCount = 6;

/// One proxy: its holder, and the statements that it runs under the share. Statements outlive the process, as the upstream continues
/// to run them.
struct Proxy
{
    std::unique_ptr<ShareHolder> holder;
    std::uint32_t wanted = 0;
    std::vector<TimePoint> running;
    std::uint64_t incarnation = 0;
};

/// Simulates a grantor, holders and a network that loses, delays and duplicates messages.
class Simulation
{
public:
    explicit Simulation(unsigned seed)
        : random(seed)
        , proxies(proxyCount)
    {
        this->restartGrantor(false);
        for (auto index = 0; index < proxyCount; ++index) {
            this->restartProxy(index);
        }
    }

    auto step() -> void
    {
        this->now += milliseconds(this->draw(5) + 1);
        this->deliver();
        this->fault();
        for (auto index = 0; index < proxyCount; ++index) {
            this->work(index);
        }
        this->send(this->grantor->tick(this->now));
        this->check();
    }

    auto isolate(int proxy) -> void
    {
        this->isolatedProxy = proxy;
    }

    auto restartGrantor(bool withHandover) -> void
    {
        ++this->grantorProcesses;
        const auto limit = Share{limitSlots, limitConnections};
        auto names = std::vector<VmId>();
        for (auto index = 0; index < proxyCount; ++index) {
            names.emplace_back("p" + std::to_string(index));
        }
        const auto start = withHandover ? this->now : this->now - this->settings.handover;
        this->grantor = std::make_unique<ShareGrantor>(this->grantorId(), UpstreamId("u"), this->settings, start);
        this->send(this->grantor->limitChanged(limit, limit, std::move(names), this->now));
    }

    auto usedSlots() const -> std::size_t
    {
        auto used = std::size_t{0};
        for (const auto &proxy : this->proxies) {
            used += proxy.running.size();
        }
        return used;
    }

    bool lossy = false;
    std::uint64_t finished = 0;
    std::vector<std::uint64_t> finishedBy = std::vector<std::uint64_t>(proxyCount, 0);

private:
    auto grantorId() const -> GrantorId
    {
        return {VmId("g"), Incarnation(this->grantorProcesses)};
    }

    auto draw(unsigned below) -> unsigned
    {
        return static_cast<unsigned>(this->random() % below);
    }

    auto restartProxy(int index) -> void
    {
        ++this->incarnations;
        const auto name = VmId("p" + std::to_string(index));
        this->proxies[index].holder = std::make_unique<ShareHolder>(name, Incarnation(this->incarnations), UpstreamId("u"), this->grantorId(), this->settings);
        this->proxies[index].incarnation = this->incarnations;
    }

    auto lost(const VmId &proxy) -> bool
    {
        const auto isIsolated = this->isolatedProxy && proxy == VmId("p" + std::to_string(*this->isolatedProxy));
        return isIsolated || (this->lossy && this->draw(10) == 0);
    }

    auto delay() -> TimePoint
    {
        const auto late = this->lossy && this->draw(20) == 0;
        return this->now + milliseconds(1 + (late ? this->draw(6000) : this->draw(3)));
    }

    auto send(const ShareGrantor::Grants &grants) -> void
    {
        for (const auto &grant : grants) {
            if (!this->lost(grant.proxy)) {
                this->grants.emplace(this->delay(), grant);
            }
            if (this->lossy && this->draw(20) == 0) {
                this->grants.emplace(this->delay(), grant);
            }
        }
    }

    auto send(const std::optional<ShareDemand> &demand) -> void
    {
        if (!demand || this->lost(demand->proxy)) {
            return;
        }
        this->demands.emplace(this->delay(), *demand);
        if (this->lossy && this->draw(20) == 0) {
            this->demands.emplace(this->delay(), *demand);
        }
    }

    auto deliver() -> void
    {
        while (!this->demands.empty() && this->demands.begin()->first <= this->now) {
            const auto demand = this->demands.begin()->second;
            this->demands.erase(this->demands.begin());
            this->send(this->grantor->handleDemand(demand, this->now));
        }
        while (!this->grants.empty() && this->grants.begin()->first <= this->now) {
            const auto grant = this->grants.begin()->second;
            this->grants.erase(this->grants.begin());
            const auto index = std::stoi(grant.proxy.value().substr(1));
            this->send(this->proxies[index].holder->handleGrant(grant, this->now));
        }
    }

    auto fault() -> void
    {
        if (!this->lossy) {
            return;
        }
        if (this->draw(300) == 0) {
            this->restartProxy(static_cast<int>(this->draw(proxyCount)));
        }
        if (this->draw(500) == 0) {
            this->isolatedProxy = this->isolatedProxy ? std::nullopt : std::optional<int>(this->draw(proxyCount));
        }
        if (this->draw(2000) == 0) {
            this->restartGrantor(true);
        }
    }

    /// The view with the grantor's new process reaches each proxy at a different time, and not an isolated one.
    auto discoverGrantor(int index) -> void
    {
        auto &proxy = this->proxies[index];
        if (proxy.holder->grantorId() == this->grantorId() || this->isolatedProxy == index || this->draw(100) != 0) {
            return;
        }
        const auto name = VmId("p" + std::to_string(index));
        auto next = std::make_unique<ShareHolder>(name, Incarnation(proxy.incarnation), UpstreamId("u"), this->grantorId(), this->settings);
        next->inherit(*proxy.holder);
        proxy.holder = std::move(next);
    }

    auto work(int index) -> void
    {
        this->discoverGrantor(index);
        auto &proxy = this->proxies[index];
        const auto ended = std::erase_if(proxy.running, [this](TimePoint end) {
            return end <= this->now;
        });
        this->finished += ended;
        this->finishedBy[index] += ended;
        if (this->draw(20) == 0) {
            proxy.wanted = this->draw(4);
        }
        while (proxy.running.size() < std::min(proxy.wanted, proxy.holder->share(this->now).slots)) {
            const auto isLong = this->lossy && this->draw(10) == 0;
            proxy.running.push_back(this->now + milliseconds(isLong ? this->settings.startGuard.count() : 5 + this->draw(10)));
        }
        const auto running = static_cast<std::uint32_t>(proxy.running.size());
        this->send(proxy.holder->workChanged(running, std::max(proxy.wanted, running), this->now));
        this->send(proxy.holder->tick(this->now));
    }

    auto check() -> void
    {
        auto usable = std::size_t{0};
        auto connections = std::size_t{0};
        for (const auto &proxy : this->proxies) {
            usable += std::max<std::size_t>(proxy.running.size(), proxy.holder->share(this->now).slots);
            connections += proxy.holder->share(this->now).connections;
        }
        RC_ASSERT(usable <= limitSlots);
        RC_ASSERT(connections <= limitConnections);
    }

    std::mt19937 random;
    ShareSettings settings;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::vector<Proxy> proxies;
    std::unique_ptr<ShareGrantor> grantor;
    std::multimap<TimePoint, ShareDemand> demands;
    std::multimap<TimePoint, ShareGrant> grants;
    std::uint64_t incarnations = 0;
    std::uint64_t grantorProcesses = 0;
    std::optional<int> isolatedProxy;
};

auto holdsFor(const std::string &name, const std::function<void(unsigned)> &property, int runs) -> bool
{
    auto parameters = rc::detail::TestParams();
    parameters.seed = 20261202;
    parameters.maxSuccess = runs;
    auto metadata = rc::detail::TestMetadata();
    metadata.id = name;
    metadata.description = name;
    const auto result = rc::detail::checkTestable(property, metadata, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("the sum of shares never exceeds the upstream's limit, whatever is lost, delayed, duplicated or restarted")
{
    // An upstream over its limit refuses callers' statements or serves them slowly. Messages between proxies are lost, delayed by
    // seconds or duplicated; proxies restart while their statements still run at the upstream, and the grantor restarts with an empty
    // table while its grants are still valid. An isolated proxy continues under its last grant. Each step checks the sum of all that
    // proxies run or may start.
    CHECK(holdsFor(
        "sum of shares",
        [](unsigned seed) {
            auto simulation = Simulation(seed);
            simulation.lossy = true;
            for (auto step = 0; step < 4000; ++step) {
                simulation.step();
            }
        },
        100));
}

TEST_CASE("shares follow demand without starving any proxy")
{
    auto simulation = Simulation(7);
    for (auto step = 0; step < 4000; ++step) {
        simulation.step();
    }
    const auto [least, most] = std::minmax_element(simulation.finishedBy.begin(), simulation.finishedBy.end());
    CHECK(*least * 2 > *most);
}

TEST_CASE("the share of an unresponsive proxy becomes available again")
{
    // One proxy of six becomes unresponsive while it holds slots. Its slots are unused until its grants expire by the grantor's clock;
    // after that the other proxies have all slots.
    auto simulation = Simulation(7);
    for (auto step = 0; step < 500; ++step) {
        simulation.step();
    }
    simulation.isolate(0);
    for (auto step = 0; step < 3000; ++step) {
        simulation.step();
    }
    const auto before = simulation.finished;
    for (auto step = 0; step < 1000; ++step) {
        simulation.step();
    }
    const auto whole = simulation.finished - before;
    auto reference = Simulation(7);
    for (auto step = 0; step < 1000; ++step) {
        reference.step();
    }
    CHECK(whole > reference.finished * 7 / 10);
}

TEST_CASE("the lifetime of a delayed grant counts from its demand, and no work starts that would outlive it")
{
    // A proxy sends a demand, then its messages are delayed for two seconds. The grantor counts the lifetime from the arrival of the
    // demand. A statement that starts at the last moment may run for startGuard; after that the slot belongs to another proxy.
    const auto settings = ShareSettings();
    const auto grantorId = GrantorId{VmId("g"), Incarnation(1)};
    const auto sent = TimePoint(std::chrono::hours(1));
    auto holder = ShareHolder(VmId("p0"), Incarnation(1), UpstreamId("u"), grantorId, settings);
    const auto demand = holder.workChanged(0, 1, sent);
    REQUIRE(demand);
    auto grantor = ShareGrantor(grantorId, UpstreamId("u"), settings, sent - settings.handover);
    grantor.limitChanged({1, 10}, {1, 10}, {VmId("p0"), VmId("p1")}, sent);
    const auto grants = grantor.handleDemand(*demand, sent);
    REQUIRE(grants.size() == 1);
    holder.handleGrant(grants.front(), sent + milliseconds(2000));
    CHECK(holder.share(sent + milliseconds(2000)).slots == 1);

    auto other = ShareHolder(VmId("p1"), Incarnation(2), UpstreamId("u"), grantorId, settings);
    grantor.handleDemand(*other.workChanged(0, 1, sent), sent + milliseconds(100));
    auto lastStart = sent;
    while (holder.share(lastStart).slots > 0) {
        lastStart += milliseconds(1);
    }
    auto freed = sent;
    while (grantor.outstanding(freed).slots > 0) {
        freed += milliseconds(1);
    }
    CHECK(lastStart + settings.startGuard <= freed);
}

TEST_CASE("a new grantor grants nothing while work of terminated processes may still run")
{
    // A proxy and the grantor restart together. A statement of the proxy's earlier process still runs at the upstream, and no process
    // can report it. An early grant would put the upstream over its limit; after startGuard no such statement is left.
    const auto settings = ShareSettings();
    const auto start = TimePoint(std::chrono::hours(1));
    const auto second = GrantorId{VmId("g"), Incarnation(2)};
    auto grantor = ShareGrantor(second, UpstreamId("u"), settings, start);
    grantor.limitChanged({2, 10}, {1, 5}, {VmId("p0")}, start);

    // A demand to the grantor's earlier process may have an answer in flight, so it does not count as a report of what is kept.
    auto unaware = ShareHolder(VmId("p0"), Incarnation(1), UpstreamId("u"), {VmId("g"), Incarnation(1)}, settings);
    CHECK(grantor.handleDemand(*unaware.workChanged(0, 2, start), start).empty());
    CHECK(grantor.tick(start + settings.startGuard).empty());

    const auto reportedAt = start + settings.startGuard;
    auto aware = ShareHolder(VmId("p0"), Incarnation(1), UpstreamId("u"), second, settings);
    CHECK(grantor.handleDemand(*aware.workChanged(0, 2, reportedAt), reportedAt).empty());
    CHECK(grantor.tick(reportedAt + settings.startGuard - milliseconds(1)).empty());
    const auto early = grantor.tick(reportedAt + settings.startGuard);
    REQUIRE(early.size() == 1);
    CHECK(early.front().share.slots == 1);
}

TEST_CASE("the grantors' parts add up to the limit")
{
    for (auto slots = 0U; slots < 9; ++slots) {
        const auto first = partOfLimit({slots, 35}, 0, 2);
        const auto second = partOfLimit({slots, 35}, 1, 2);
        CHECK(first.slots + second.slots == slots);
        CHECK(first.connections + second.connections == 35);
    }
}

TEST_CASE("a leaving proxy is not chosen as grantor and the others keep their positions")
{
    auto proxies = std::vector<membership::ProxyView>();
    for (auto index = 0; index < 12; ++index) {
        proxies.push_back({.id = VmId("v" + std::to_string(index))});
    }
    const auto chosen = grantorsOf(UpstreamId("u"), proxies);
    REQUIRE(chosen.size() == grantorsPerUpstream);
    for (auto &proxy : proxies) {
        proxy.leaving = proxy.id == chosen.front().vm;
    }
    const auto next = grantorsOf(UpstreamId("u"), proxies);
    CHECK(next.front() == chosen.back());
    CHECK(std::count(next.begin(), next.end(), chosen.front()) == 0);
}

} // namespace sapphirespool::decisions
