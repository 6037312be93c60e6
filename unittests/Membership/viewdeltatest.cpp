#include "sapphirespool/Membership/viewdelta.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>
#include <set>
#include <string>

namespace sapphirespool::membership
{

namespace
{

auto someNumbers() -> std::set<int>
{
    const auto drawn = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    return {drawn.begin(), drawn.end()};
}

template <typename Element, typename Make>
auto someOf(const Make &make) -> std::vector<Element>
{
    auto elements = std::vector<Element>();
    for (const auto number : someNumbers()) {
        elements.push_back(make(std::to_string(number), *rc::gen::inRange(0, 3)));
    }
    return elements;
}

auto someView(std::uint64_t revision) -> ClusterView
{
    auto view = ClusterView{Revision(revision), Revision(revision / 2)};
    view.services = someOf<ServiceView>([](const std::string &name, int value) {
        auto service = ServiceView{ServiceId(name), GroupId(std::to_string(value))};
        service.queueLimit = static_cast<std::uint32_t>(value);
        return service;
    });
    view.groups = someOf<GroupView>([](const std::string &name, int value) {
        return GroupView{GroupId(name), Term(static_cast<std::uint64_t>(value)), UpstreamId(name), {TermStart{Term(1), LogPosition(2)}}, {}};
    });
    view.proxies = someOf<ProxyView>([](const std::string &name, int value) {
        return ProxyView{VmId(name), ZoneId("z"), Incarnation(static_cast<std::uint64_t>(value))};
    });
    view.customers = someOf<CustomerView>([](const std::string &name, int value) {
        return CustomerView{CustomerId(name), {digestOf(name)}, Quota{static_cast<double>(value), 1}};
    });
    return view;
}

} // namespace

// Failure: a proxy that applies deltas has another view than one that receives a snapshot.
TEST_CASE("a snapshot with all later deltas equals the newest view, for any subscribed services")
{
    auto parameters = rc::detail::TestParams();
    parameters.seed = 1;
    parameters.maxSuccess = 1000;
    // In small views equal ids are more frequent.
    parameters.maxSize = 8;
    const auto property = [] {
        auto services = std::vector<ServiceId>();
        for (const auto number : someNumbers()) {
            services.emplace_back(std::to_string(number));
        }
        auto former = viewFor(someView(1), services);
        auto held = former;
        for (auto revision = std::uint64_t(2); revision < 6; ++revision) {
            const auto next = viewFor(someView(revision), services);
            const auto applied = applyDelta(held, computeDelta(former, next));
            RC_ASSERT(applied.has_value());
            RC_ASSERT(*applied == next);
            held = *applied;
            former = next;
        }
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
    rc::detail::printResultMessage(result, std::cerr);
    CHECK(result.is<rc::detail::SuccessResult>());
}

// Failure: each change of a customer sends all customers to each proxy.
TEST_CASE("the delta of a change of one customer contains only that customer")
{
    auto first = ClusterView{Revision(1)};
    for (const auto *const name : {"a", "b", "c"}) {
        first.customers.append(CustomerView{CustomerId(name), {digestOf(name)}});
    }
    auto second = first;
    second.revision = Revision(2);
    second.customers.edit()[1].keys.clear();
    const auto delta = computeDelta(first, second);
    REQUIRE(delta.customers.size() == 1);
    CHECK(delta.customers.front().id == CustomerId("b"));
    CHECK(applyDelta(first, delta) == second);
}

// Failure: two builds compute different digests, and a valid API key is refused.
TEST_CASE("the digest of a key is the first half of its SHA-256")
{
    // SHA-256 of the empty string according to FIPS 180-4.
    const auto expected = std::string("\xe3\xb0\xc4\x42\x98\xfc\x1c\x14\x9a\xfb\xf4\xc8\x99\x6f\xb9\x24");
    CHECK(digestOf("").value() == expected);
    CHECK(digestOf("a") != digestOf("b"));
}

// Failure: a proxy that missed a delta applies the next one and sends requests to an upstream that has left.
TEST_CASE("a delta is refused if its base is not the revision of the view")
{
    auto first = ClusterView{Revision(1)};
    auto second = ClusterView{Revision(2)};
    auto third = ClusterView{Revision(3)};
    CHECK_FALSE(applyDelta(first, computeDelta(second, third)).has_value());
    CHECK(applyDelta(second, computeDelta(second, third)) == third);
}

} // namespace sapphirespool::membership
