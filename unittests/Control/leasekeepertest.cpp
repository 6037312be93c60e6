#include "../../lib/Control/leasekeeper.h"

#include <catch2/catch.hpp>

namespace sapphirespool::control
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);
constexpr auto leaseLength = 3s;

auto viewAt(std::uint64_t revision) -> std::shared_ptr<const membership::ClusterView>
{
    auto view = membership::ClusterView();
    view.revision = Revision(revision);
    return std::make_shared<const membership::ClusterView>(std::move(view));
}

} // namespace

TEST_CASE("a proxy keeps its lease while the state changes faster than views arrive")
{
    // Failure: a proxy that receives each view in time holds no lease, as each grant is replaced by one for a newer view.
    auto holder = membership::ViewHolder();
    auto keeper = LeaseKeeper(holder);
    auto withoutLease = 0;
    // A change and a heartbeat each 5 ms; a view each 150 ms, 10 ms on its way.
    for (auto passed = 0ms; passed < 10s; passed += 5ms) {
        const auto now = start + passed;
        keeper.granted(now + leaseLength, Revision(100 + static_cast<std::uint64_t>(passed / 5ms)));
        if (passed % 150ms == 10ms) {
            keeper.viewArrived(viewAt(100 + static_cast<std::uint64_t>((passed - 10ms) / 5ms)));
        }
        if (passed > 300ms && !holder.leaseLive(now)) {
            ++withoutLease;
        }
    }
    CHECK(withoutLease == 0);
}

TEST_CASE("a grant extends no lease before its view has arrived, however many grants wait")
{
    // Failure: a proxy acknowledges under a view that control no longer stands by.
    auto holder = membership::ViewHolder();
    auto keeper = LeaseKeeper(holder);
    keeper.viewArrived(viewAt(1));
    keeper.granted(start + leaseLength, Revision(1));
    for (std::uint64_t revision = 2; revision < 2 + 10 * LeaseKeeper::maxPending; ++revision) {
        keeper.granted(start + 1s + leaseLength, Revision(revision));
    }
    CHECK(holder.leaseLive(start + leaseLength - 1ms));
    CHECK_FALSE(holder.leaseLive(start + leaseLength));
    keeper.viewArrived(viewAt(2));
    CHECK(holder.leaseLive(start + leaseLength));
}

TEST_CASE("a grant for the same view replaces the one before it")
{
    auto holder = membership::ViewHolder();
    auto keeper = LeaseKeeper(holder);
    for (auto second = 0s; second < 100s; ++second) {
        keeper.granted(start + second + leaseLength, Revision(1));
    }
    keeper.viewArrived(viewAt(1));
    CHECK(holder.leaseLive(start + 99s + leaseLength - 1ms));
}

} // namespace sapphirespool::control
