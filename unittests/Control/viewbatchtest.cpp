#include "../../lib/Control/viewbatch.h"

#include <catch2/catch.hpp>

#include <string>

namespace sapphirespool::control
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

/// A view with one group and some VMs.
auto viewAt(std::uint64_t revision, std::size_t vms, std::string primary = "a") -> ViewBatch::ViewPointer
{
    auto view = membership::ClusterView();
    view.revision = Revision(revision);
    auto group = membership::GroupView();
    group.id = GroupId("g");
    group.primary = UpstreamId(std::move(primary));
    view.groups.push_back(group);
    for (std::size_t number = 0; number < vms; ++number) {
        auto proxy = membership::ProxyView();
        proxy.id = VmId("vm-" + std::to_string(number));
        view.proxies.push_back(proxy);
    }
    return std::make_shared<const membership::ClusterView>(std::move(view));
}

} // namespace

TEST_CASE("a hundred VMs that come back within half a second cost each other ten views and not a hundred")
{
    // Load pattern: after a loss of power each VM registers by itself, and each registration is a view for each other VM.
    auto batch = ViewBatch();
    batch.note(viewAt(1, 0), start);
    auto held = Revision(1);
    auto views = 0;
    for (std::uint64_t vm = 1; vm <= 100; ++vm) {
        const auto now = start + vm * 5ms;
        batch.note(viewAt(1 + vm, vm), now);
        if (batch.isDue(held, now)) {
            held = Revision(1 + vm);
            ++views;
        }
    }
    CHECK(views >= 5);
    CHECK(views <= 10);
    CHECK(batch.isDue(held, start + 1s));
}

TEST_CASE("a change of a group is sent at once, with what was gathered")
{
    auto batch = ViewBatch();
    batch.note(viewAt(1, 1), start);
    batch.note(viewAt(2, 2), start + 1ms);
    CHECK_FALSE(batch.isDue(Revision(1), start + 1ms));
    batch.note(viewAt(3, 2, "b"), start + 2ms);
    CHECK(batch.isDue(Revision(1), start + 2ms));
    CHECK_FALSE(batch.sendsAt());
    CHECK_FALSE(batch.isDue(Revision(3), start + 2ms));
}

TEST_CASE("a change of the configuration is sent at once")
{
    auto batch = ViewBatch();
    batch.note(viewAt(1, 1), start);
    auto changed = *viewAt(2, 1);
    changed.configuration = Revision(2);
    batch.note(std::make_shared<const membership::ClusterView>(changed), start + 1ms);
    CHECK(batch.isDue(Revision(1), start + 1ms));
}

TEST_CASE("a VM without a view, and one that is behind what was sent, are not made to wait for others")
{
    auto batch = ViewBatch();
    batch.note(viewAt(5, 1), start);
    batch.note(viewAt(6, 2), start + 1ms);
    CHECK(batch.isDue(Revision(0), start + 1ms));
    CHECK(batch.isDue(Revision(4), start + 1ms));
    CHECK_FALSE(batch.isDue(Revision(5), start + 1ms));
    CHECK_FALSE(batch.isDue(Revision(6), start + 1ms));
    CHECK(batch.isDue(Revision(7), start + 1ms));
}

TEST_CASE("no change waits longer than the gathering time, however many follow")
{
    auto batch = ViewBatch();
    batch.note(viewAt(1, 0), start);
    for (std::uint64_t vm = 1; vm <= 1'000; ++vm) {
        const auto now = start + vm * 1ms;
        batch.note(viewAt(1 + vm, vm), now);
        const auto at = batch.sendsAt();
        CHECK((!at || *at <= now + ViewBatch::gatheringTime));
        static_cast<void>(batch.isDue(Revision(1), now));
    }
}

} // namespace sapphirespool::control
