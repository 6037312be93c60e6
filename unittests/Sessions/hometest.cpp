#include "sapphirespool/Sessions/home.h"
#include "sapphirespool/Sessions/holderhistory.h"

#include "Sessions/properties.h"

#include <catch2/catch.hpp>

#include <set>

namespace sapphirespool::sessions
{

namespace
{

using std::chrono::seconds;

constexpr auto start = TimePoint{};

auto holder(const std::string &vm, const std::string &zone) -> Holder
{
    return {VmId(vm), ZoneId(zone), Incarnation(1)};
}

auto sixProxies() -> std::vector<Holder>
{
    return {holder("a1", "a"), holder("a2", "a"), holder("b1", "b"), holder("b2", "b"), holder("c1", "c"), holder("c2", "c")};
}

auto zonesOf(std::span<const Holder> holders) -> std::set<ZoneId>
{
    auto zones = std::set<ZoneId>();
    for (const auto &entry : holders) {
        zones.insert(entry.zone);
    }
    return zones;
}

auto contains(std::span<const Holder> holders, const Holder &wanted) -> bool
{
    return std::find(holders.begin(), holders.end(), wanted) != holders.end();
}

} // namespace

TEST_CASE("copies are in different zones, and every proxy is first holder of some names")
{
    const auto proxies = sixProxies();
    auto firsts = std::set<VmId>();
    for (auto name = 0; name < 200; ++name) {
        const auto chosen = chooseHolders(std::to_string(name), proxies, 3);
        CHECK(zonesOf(chosen).size() == 3);
        firsts.insert(chosen.front().vm);
    }
    CHECK(firsts.size() == proxies.size());
}

TEST_CASE("a holder remains a holder when other proxies leave")
{
    testing::checkProperty([](const std::string &name, std::uint8_t kept, std::uint8_t zones) {
        auto all = sixProxies();
        for (auto index = std::size_t{0}; index < all.size(); ++index) {
            all[index].zone = ZoneId(std::to_string(index % (zones % 4U + 1U)));
        }
        auto subset = std::vector<Holder>();
        for (auto index = std::size_t{0}; index < all.size(); ++index) {
            if ((kept >> index & 1U) != 0) {
                subset.push_back(all[index]);
            }
        }
        const auto chosenOfSubset = chooseHolders(name, subset, 3);
        for (const auto &chosen : chooseHolders(name, all, 3)) {
            const auto stays = !contains(subset, chosen) || contains(chosenOfSubset, chosen);
            RC_ASSERT(stays);
        }
    });
}

TEST_CASE("a proxy that became a holder because another one left is not authoritative until older records expire")
{
    // A request's start was recorded by a holder that then left. The proxy that replaces it never received the record. If it
    // replied "never seen", the caller's resend would run a second time; it must wait until the record would have expired.
    const auto proxies = sixProxies();
    const auto name = std::string("booking-7");
    const auto before = chooseHolders(name, proxies, 3);
    auto left = proxies;
    std::erase(left, before.front());
    const auto after = chooseHolders(name, left, 3);
    const auto newcomer = *std::find_if(after.begin(), after.end(), [&before](const Holder &entry) {
        return !contains(before, entry);
    });
    auto history = HolderHistory(newcomer.vm, seconds(600), seconds(0), start);
    history.viewChanged(proxies, start);
    history.viewChanged(left, start + seconds(5));
    CHECK_FALSE(history.isAuthoritative(name, 3, start + seconds(6)));
    CHECK(history.isAuthoritative(name, 3, start + seconds(606)));
    auto stayed = HolderHistory(before.back().vm, seconds(600), seconds(0), start);
    stayed.viewChanged(proxies, start);
    stayed.viewChanged(left, start + seconds(5));
    CHECK(stayed.isAuthoritative(name, 3, start + seconds(6)));
}

TEST_CASE("a proxy that restarted or may have been out of the view is not authoritative until the retention time has passed")
{
    const auto proxies = std::vector<Holder>{holder("a1", "a")};
    auto history = HolderHistory(VmId("a1"), seconds(600), seconds(600), start);
    history.viewChanged(proxies, start);
    CHECK_FALSE(history.isAuthoritative("k", 3, start + seconds(599)));
    CHECK(history.isAuthoritative("k", 3, start + seconds(600)));
    history.missedViews(start + seconds(700));
    CHECK_FALSE(history.isAuthoritative("k", 3, start + seconds(701)));
}

TEST_CASE("a home keeps the latest position of a session and evicts the oldest entries first")
{
    auto home = SessionHome(3, seconds(600));
    const auto group = GroupId("orders-1");
    home.update(SessionId("s1"), group, {Term(2), LogPosition(9)}, start);
    home.update(SessionId("s1"), group, {Term(1), LogPosition(90)}, start);
    CHECK(home.find(SessionId("s1"), group, start) == TermPosition{Term(2), LogPosition(9)});
    CHECK(home.find(SessionId("s1"), GroupId("intake-1"), start) == std::nullopt);
    home.update(SessionId("s2"), group, {Term(2), LogPosition(10)}, start + seconds(1));
    home.update(SessionId("s3"), group, {Term(2), LogPosition(11)}, start + seconds(2));
    home.update(SessionId("s4"), group, {Term(2), LogPosition(12)}, start + seconds(3));
    CHECK(home.find(SessionId("s1"), group, start + seconds(3)) == std::nullopt);
    CHECK(home.find(SessionId("s4"), group, start + seconds(3)).has_value());
    CHECK(home.find(SessionId("s4"), group, start + seconds(603)) == std::nullopt);
    CHECK(home.size() <= 3);
}

} // namespace sapphirespool::sessions
