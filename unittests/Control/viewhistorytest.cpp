#include "../../lib/Control/viewhistory.h"

#include "sapphirespool/Membership/viewdelta.h"

#include <catch2/catch.hpp>

#include <string>

namespace sapphirespool::control
{

namespace
{

/// A name as operators draw them, without a pattern.
auto drawnName(int number) -> std::string
{
    constexpr auto letters = std::string_view("bcdfghjklmnpqrstvwxz0123456789");
    auto state = static_cast<std::uint64_t>(number) * 6364136223846793005U + 1442695040888963407U;
    auto name = std::string();
    for (auto place = 0; place < 12; ++place) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        name.push_back(letters[(state >> 33U) % letters.size()]);
    }
    return name;
}

auto viewOf(std::uint64_t revision, int services) -> std::shared_ptr<membership::ClusterView>
{
    auto view = std::make_shared<membership::ClusterView>();
    view->revision = Revision(revision);
    for (auto number = 0; number < services; ++number) {
        auto service = membership::ServiceView();
        service.id = ServiceId(drawnName(number));
        service.group = GroupId("g" + std::to_string(number % 20));
        view->services.append(std::move(service));
    }
    *view = membership::viewFor(*view, {});
    return view;
}

} // namespace

TEST_CASE("a VM that holds a view that is kept gets the difference, any other one the whole")
{
    auto history = ViewHistory();
    const auto first = viewOf(1, 3);
    const auto second = viewOf(2, 4);
    history.note(first);
    history.note(second);
    const auto delta = history.updateFrom(Revision(1), {});
    REQUIRE(delta.isDelta);
    CHECK(membership::applyDelta(*first, unpackDelta(toData(*delta.content))) == *second);
    const auto whole = history.updateFrom(Revision(7), {});
    REQUIRE_FALSE(whole.isDelta);
    CHECK(unpackView(toData(*whole.content)) == *second);
    CHECK(history.updateFrom(Revision(8), {}).content == whole.content);
}

TEST_CASE("2,000 services more are sent in a tenth of their plain size")
{
    // The caller sees: statements and connections that wait for seconds on VMs with a thin link.
    // A text grows by 2,000 services, and all that is new in it goes to each VM. A service takes more than 120 bytes in plain form.
    auto history = ViewHistory();
    history.note(viewOf(1, 60));
    history.note(viewOf(2, 2'060));
    CHECK(history.updateFrom(Revision(1), {}).content->size() < 2'000 * 120 / 5);
}

TEST_CASE("a change beside the services sends none of them, and kept views share them")
{
    auto history = ViewHistory();
    const auto first = viewOf(1, 2'000);
    auto second = std::make_shared<membership::ClusterView>(*first);
    second->revision = Revision(2);
    second->proxies.push_back({VmId("p"), ZoneId("z"), Incarnation(1)});
    history.note(first);
    history.note(second);
    CHECK(history.updateFrom(Revision(1), {}).content->size() < 500);
    CHECK(second->services.sharesWith(first->services));
}

} // namespace sapphirespool::control
