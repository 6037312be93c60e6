#include "sapphirespool/Forwarding/ownership.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace sapphirespool::forwarding
{

namespace
{

auto viewOf(std::size_t proxies, std::uint32_t connections) -> membership::ClusterView
{
    auto view = membership::ClusterView();
    for (std::size_t number = 0; number < proxies; ++number) {
        auto proxy = membership::ProxyView();
        proxy.id = VmId("vm-" + std::to_string(number));
        proxy.zone = ZoneId("zone-" + std::to_string(number % 3));
        proxy.callers = {"127.0.0.1", 1};
        view.proxies.push_back(proxy);
    }
    auto group = membership::GroupView();
    group.id = GroupId("g");
    group.connectionLimit = connections;
    for (const auto *const zone : {"zone-0", "zone-1", "zone-2"}) {
        auto upstream = membership::UpstreamView();
        upstream.id = UpstreamId(std::string("db-") + zone);
        upstream.zone = ZoneId(zone);
        group.members.push_back(upstream);
    }
    view.groups.push_back(group);
    return view;
}

/// \return the sum of the connections that all proxies of \p view may open to \p upstream
auto sumOfShares(const membership::ClusterView &view, const membership::UpstreamView &upstream) -> std::size_t
{
    auto sum = std::size_t{0};
    for (const auto &proxy : view.proxies) {
        auto ownership = Ownership(proxy.id, proxy.zone);
        ownership.viewChanged(view);
        sum += ownership.share(view.groups.front(), upstream).connections;
    }
    return sum;
}

} // namespace

TEST_CASE("the shares of all proxies stay within the connection limit of an upstream, at any fleet size")
{
    // With 89 proxies and an upstream that accepts 58 connections, one connection per proxy would be 31 too many, and a third of the proxies
    // would be refused.
    for (const auto proxies : {1U, 2U, 3U, 4U, 10U, 12U, 30U, 79U, 89U, 300U}) {
        for (const auto connections : {34U, 40U, 58U, 114U}) {
            const auto view = viewOf(proxies, connections);
            for (const auto &upstream : view.groups.front().members) {
                INFO(proxies << " proxies, " << connections << " connections");
                const auto sum = sumOfShares(view, upstream);
                CHECK(sum <= connections);
                CHECK(sum >= 1);
            }
        }
    }
}

TEST_CASE("all proxies choose the same owners, in the upstream's zone, with different orders of preference")
{
    const auto view = viewOf(60, 58);
    const auto &group = view.groups.front();
    const auto &upstream = group.members.front();
    auto sets = std::set<std::set<VmId>>();
    auto first = std::set<VmId>();
    for (const auto &proxy : view.proxies) {
        auto ownership = Ownership(proxy.id, proxy.zone);
        ownership.viewChanged(view);
        const auto owners = ownership.ownersOf(group, upstream);
        REQUIRE(owners.size() == Ownership::ownersPerUpstream);
        sets.insert({owners.begin(), owners.end()});
        first.insert(owners.front());
        for (const auto &owner : owners) {
            CHECK(view.findProxy(owner)->zone == upstream.zone);
        }
    }
    CHECK(sets.size() == 1);
    CHECK(first.size() == Ownership::ownersPerUpstream);
}

TEST_CASE("a leaving proxy is no longer an owner, and the other owners stay the same")
{
    auto view = viewOf(60, 58);
    const auto &upstream = view.groups.front().members.front();
    auto ownership = Ownership(VmId("vm-0"), ZoneId("zone-0"));
    ownership.viewChanged(view);
    const auto before = ownership.ownersOf(view.groups.front(), upstream);
    for (auto &proxy : view.proxies) {
        proxy.leaving = proxy.id == before.front();
    }
    ownership.viewChanged(view);
    const auto after = ownership.ownersOf(view.groups.front(), upstream);
    const auto kept = std::count_if(before.begin(), before.end(), [&after](const VmId &owner) {
        return std::find(after.begin(), after.end(), owner) != after.end();
    });
    CHECK(kept == static_cast<std::ptrdiff_t>(before.size()) - 1);
}

TEST_CASE("unresponsive owners are replaced as long as enough proxies are responsive")
{
    // Failure: a group has a new primary, but no proxy serves it, because all owners of its connections are among the proxies that lost
    // contact to the control group.
    auto view = viewOf(60, 58);
    const auto &upstream = view.groups.front().members.front();
    auto ownership = Ownership(VmId("vm-0"), ZoneId("zone-0"));
    ownership.viewChanged(view);
    const auto before = ownership.ownersOf(view.groups.front(), upstream);
    for (auto &proxy : view.proxies) {
        proxy.silent = std::find(before.begin(), before.end(), proxy.id) != before.end();
    }
    ownership.viewChanged(view);
    const auto after = ownership.ownersOf(view.groups.front(), upstream);
    REQUIRE(after.size() == Ownership::ownersPerUpstream);
    for (const auto &owner : before) {
        CHECK(std::find(after.begin(), after.end(), owner) == after.end());
    }
    for (auto &proxy : view.proxies) {
        proxy.silent = proxy.id != VmId("vm-0");
    }
    ownership.viewChanged(view);
    CHECK(ownership.ownersOf(view.groups.front(), upstream).size() == Ownership::ownersPerUpstream);
}

TEST_CASE("each proxy opens its own connections where there are enough for all")
{
    const auto view = viewOf(10, 34);
    auto ownership = Ownership(VmId("vm-0"), ZoneId("zone-0"));
    ownership.viewChanged(view);
    CHECK(ownership.ownersOf(view.groups.front(), view.groups.front().members.front()).empty());
    CHECK(ownership.share(view.groups.front(), view.groups.front().members.front()).connections == 3);
}

} // namespace sapphirespool::forwarding
