#include "../../lib/Control/controltargets.h"

#include <catch2/catch.hpp>

namespace sapphirespool::control
{

namespace
{

using namespace std::chrono_literals;

auto at(std::uint16_t port) -> Endpoint
{
    return {"127.0.0.1", port};
}

auto targetsOf(std::vector<Endpoint> seeds) -> ControlTargets
{
    return {std::move(seeds), true, 1};
}

} // namespace

// Failure: all seeds are directories, which name control VMs but no leader, and the link asks only the seeds.
TEST_CASE("the leader of a redirect comes first, then its other control VMs, then the seeds")
{
    auto targets = targetsOf({at(1), at(2)});
    CHECK(targets.next() == at(1));
    targets.redirected(at(11), {at(10), at(11), at(12)});
    CHECK(targets.pause() == 0ms);
    CHECK(targets.next() == at(11));
    // The entry was stale: its connection fails. The others are tried at once.
    CHECK(targets.pause() == 0ms);
    CHECK(targets.next() == at(10));
    CHECK(targets.pause() == 0ms);
    CHECK(targets.next() == at(12));
    CHECK(targets.pause() > 0ms);
    CHECK(targets.next() == at(2));
}

// Failure: two VMs that name each other as the leader are called without end, by each proxy thousands of times a second.
TEST_CASE("redirects that follow each other are slowed down to one in a second")
{
    auto targets = targetsOf({at(1)});
    targets.next();
    targets.redirected(at(2), {});
    CHECK(targets.pause() == 0ms);
    targets.next();
    auto longest = 50ms;
    for (auto round = 0; round < 10; ++round) {
        targets.redirected(at(round % 2 == 0 ? 1 : 2), {});
        const auto pause = targets.pause();
        CHECK(pause >= longest * 3 / 4);
        CHECK(pause <= longest);
        longest = std::min<std::chrono::milliseconds>(longest * 2, 1000ms);
        targets.next();
    }
    targets.answered();
    targets.redirected(at(2), {});
    CHECK(targets.pause() == 0ms);
}

// Failure: while control elects a leader, links wait up to a second and find it late.
TEST_CASE("redirects without a leader are followed after a short pause")
{
    auto targets = targetsOf({at(1)});
    targets.next();
    for (auto round = 0; round < 10; ++round) {
        targets.redirected(std::nullopt, {at(2), at(3)});
        CHECK(targets.pause() <= 50ms);
        CHECK(targets.next() == at(2));
    }
}

// Failure: a directory that has just started knows nothing, and the link stays with it or forgets what another one named.
TEST_CASE("after a redirect without addresses the next seed is tried")
{
    auto targets = targetsOf({at(1), at(2)});
    targets.next();
    targets.redirected(std::nullopt, {});
    CHECK(targets.pause() > 0ms);
    CHECK(targets.next() == at(2));
    targets.redirected(std::nullopt, {at(3), at(4)});
    targets.pause();
    CHECK(targets.next() == at(3));
    targets.redirected(std::nullopt, {});
    targets.pause();
    CHECK(targets.next() == at(4));
}

// Failure: VMs that start or lose their leader together call the control VMs together, each time.
TEST_CASE("links of different VMs wait differently long")
{
    const auto pauses = [](std::uint64_t seed) {
        auto targets = ControlTargets({at(1)}, true, seed);
        auto drawn = std::vector<std::chrono::milliseconds>();
        for (auto round = 0; round < 8; ++round) {
            drawn.push_back(targets.pause());
        }
        return drawn;
    };
    CHECK(pauses(1) != pauses(2));
}

TEST_CASE("with a fixed list a redirect leads to the leader only, and every second one after a pause")
{
    auto targets = ControlTargets({at(1), at(2)}, false, 1);
    CHECK(targets.next() == at(1));
    targets.redirected(at(9), {at(7), at(8)});
    CHECK(targets.pause() == 0ms);
    CHECK(targets.next() == at(9));
    targets.redirected(at(9), {at(7), at(8)});
    CHECK(targets.pause() == 50ms);
    CHECK(targets.next() == at(9));
    CHECK(targets.pause() == 50ms);
    CHECK(targets.next() == at(2));
    targets.noteLease({at(5)});
    CHECK(targets.next() == at(5));
}

} // namespace sapphirespool::control
