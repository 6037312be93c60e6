#include "Promotion/selfreplicatingworld.h"

#include "sapphirespool/Promotion/timing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

namespace sapphirespool::promotion
{

namespace
{

using namespace std::chrono_literals;

constexpr auto faultCount = std::size_t{14};

/// A failover may take electionLimit; a handover that a random schedule has repeated is delayed by the backoff as well.
constexpr auto serviceLimit = maximumBackoff + electionLimit;

auto isLeaving(const FakeReplica *member) -> bool
{
    return member->leaving;
}

/// Injects the fault that \p draw selects.
auto injectFault(SelfReplicatingWorld &world, std::uint32_t draw) -> void
{
    const auto members = world.members();
    if (members.empty()) {
        return;
    }
    auto &member = *members[(draw >> 8U) % members.size()];
    switch (draw % 11) {
    case 0:
    case 1:
        world.crash(member);
        break;
    case 2:
        world.restart(member);
        break;
    case 3:
        member.deaf = !member.deaf;
        break;
    case 4:
        // A member is replaced: it leaves some time after its successor has joined.
        if (members.size() < 5) {
            world.join();
            member.leaving = true;
        }
        break;
    case 5:
    case 6:
        if (const auto leaving = std::find_if(members.begin(), members.end(), isLeaving); leaving != members.end()) {
            world.leave(**leaving);
        }
        break;
    case 7:
        world.changeLeader();
        break;
    case 8:
        member.cut = true;
        break;
    case 9:
        world.setLateOrders(true);
        break;
    default:
        world.heal();
        break;
    }
}

/// \return whether a group serves after random faults
auto survives(std::uint32_t confirmations) -> bool
{
    return rc::check([confirmations](std::uint32_t seed) {
        const auto faults = *rc::gen::container<std::vector<std::uint32_t>>(faultCount, rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
        auto world = SelfReplicatingWorld(seed, confirmations);
        world.run(2s);
        for (const auto fault : faults) {
            injectFault(world, fault);
            world.run(std::chrono::milliseconds(fault >> 12U & 0x7ffU));
        }
        world.heal();
        RC_ASSERT(world.runUntilServed(serviceLimit));
    });
}

} // namespace

// Failure: an order of events that no single test covers leaves a group without a primary although its members are well.
TEST_CASE("a self-replicating group serves again after random faults")
{
    CHECK(survives(0));
}

// Failure: an order of events that no single test covers promotes a member that lacks an acknowledged write.
TEST_CASE("a self-replicating group whose writes a replica confirms loses none of them to random faults")
{
    CHECK(survives(1));
}

// Failure: an order of an earlier election, carried out late, lets a paused replica confirm writes of the primary that is being replaced.
TEST_CASE("orders that are carried out late lose no acknowledged write in the elections after them")
{
    auto promotions = std::size_t{0};
    for (auto seed = std::uint32_t{1}; seed <= 300; ++seed) {
        INFO("seed " << seed);
        auto random = std::mt19937(seed);
        const auto draw = [&random](int longest) {
            return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, longest)(random));
        };
        auto world = SelfReplicatingWorld(seed, 1);
        world.setLateOrders(true);
        world.run(2s + draw(1'000));
        for (auto election = 0; election < 3; ++election) {
            if (const auto &primary = world.record().view.primary) {
                world.find(*primary).cut = true;
            }
            world.run(draw(4'000));
            world.setLateOrders(random() % 2 == 0);
            if (random() % 4 == 0) {
                world.changeLeader();
            }
            world.run(1s + draw(4'000));
            for (auto *const member : world.members()) {
                member->cut = false;
            }
            world.run(draw(6'000));
        }
        world.heal();
        CHECK(world.runUntilServed(serviceLimit));
        promotions += world.promotions();
    }
    CHECK(promotions > 300);
}

} // namespace sapphirespool::promotion
