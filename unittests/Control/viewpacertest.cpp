#include "../../lib/Control/viewpacer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace sapphirespool::control
{

namespace
{

using std::chrono::milliseconds;

const auto start = TimePoint(std::chrono::hours(1));

/// A leader's link with its queue, and the thin link of each VM behind it.
class Links
{
public:
    /// \return when the last byte of \p bytes that are sent at \p now has left the leader
    auto leave(std::size_t bytes, TimePoint now) -> TimePoint
    {
        this->leaderFreeAt = std::max(this->leaderFreeAt, now) + this->timeFor(bytes, leaderBitsPerSecond);
        return this->leaderFreeAt;
    }

    /// \return when the VM has all of it
    [[nodiscard]] auto arrive(std::size_t bytes, TimePoint left) const -> TimePoint
    {
        return left + this->timeFor(bytes, vmBitsPerSecond) + roundTrip;
    }

    /// \return how long a heartbeat that is sent at \p now waits behind what is in the queue
    [[nodiscard]] auto waitFor(TimePoint now) const -> Duration
    {
        return std::max(Duration(0), Duration(this->leaderFreeAt - now));
    }

private:
    static constexpr auto leaderBitsPerSecond = 100e6;
    static constexpr auto vmBitsPerSecond = 2e6;
    static constexpr auto roundTrip = milliseconds(6);

    [[nodiscard]] static auto timeFor(std::size_t bytes, double bitsPerSecond) -> Duration
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) * 8 / bitsPerSecond));
    }

    TimePoint leaderFreeAt = start;
};

struct Outcome
{
    Duration longestWait{};
    Duration allServed{};
    std::size_t served = 0;
};

/// Sends a view of \p bytes to 100 VMs; \p lost of them never take it in.
auto sendToAll(std::size_t bytes, int lost, int vms = 100) -> Outcome
{
    auto pacer = ViewPacer();
    auto links = Links();
    auto waiting = std::map<ViewPacer::Ticket, int>();
    for (auto vm = 0; vm < vms; ++vm) {
        waiting.emplace(pacer.enter(VmId("vm" + std::to_string(vm)), bytes), vm);
    }
    auto arrivals = std::multimap<TimePoint, int>();
    auto outcome = Outcome();
    for (auto now = start; now < start + std::chrono::seconds(20); now += milliseconds(1)) {
        while (!arrivals.empty() && arrivals.begin()->first <= now) {
            pacer.taken(VmId("vm" + std::to_string(arrivals.begin()->second)));
            arrivals.erase(arrivals.begin());
            ++outcome.served;
            outcome.allServed = now - start;
        }
        for (const auto ticket : pacer.due(now)) {
            const auto vm = waiting.at(ticket);
            const auto left = links.leave(bytes, now);
            if (vm >= lost) {
                arrivals.emplace(links.arrive(bytes, left), vm);
            }
        }
        outcome.longestWait = std::max(outcome.longestWait, links.waitFor(now));
    }
    return outcome;
}

} // namespace

TEST_CASE("heartbeats do not wait behind a large view for a hundred VMs")
{
    // The caller sees: no accepted change comes into force, and healthy primaries are replaced again and again.
    // A text grows by thousands of services. The leader's link is full of views for a second, no other control VM hears a heartbeat for
    // longer than its election timeout of 300 ms, and the next leader begins anew. A heartbeat may wait for half of the time to the next one.
    const auto outcome = sendToAll(40'000, 0);
    CHECK(outcome.longestWait < milliseconds(25));
    CHECK(outcome.served == 100);
    CHECK(outcome.allServed < std::chrono::seconds(5));
}

TEST_CASE("a plain view of half a megabyte goes out one by one, and still holds up no heartbeat for an election timeout")
{
    const auto outcome = sendToAll(500'000, 0);
    CHECK(outcome.longestWait < milliseconds(150));
}

TEST_CASE("three hundred VMs that restart together do not wait for each other's thin links")
{
    // Failure: after a kill of all processes the last VMs get their view, and serve again, after twelve seconds.
    const auto outcome = sendToAll(48'000, 0, 300);
    CHECK(outcome.longestWait < milliseconds(25));
    CHECK(outcome.served == 300);
    CHECK(outcome.allServed < std::chrono::seconds(3));
}

TEST_CASE("VMs that never take their view in hold up the others for a moment only")
{
    const auto outcome = sendToAll(40'000, 30);
    CHECK(outcome.longestWait < milliseconds(25));
    CHECK(outcome.served == 70);
    CHECK(outcome.allServed < std::chrono::seconds(8));
}

TEST_CASE("views that nobody waits for any more take no time on the link")
{
    // Failure: VMs that connect again and again leave calls behind, and the views of those hold up all others.
    auto pacer = ViewPacer();
    for (auto call = 0; call < 1'000; ++call) {
        pacer.leave(pacer.enter(VmId("restarting"), 48'000));
    }
    const auto live = pacer.enter(VmId("live"), 48'000);
    CHECK(pacer.due(start) == std::vector{live});
    CHECK_FALSE(pacer.isWaiting());
    pacer.leave(live);
    REQUIRE(pacer.nextAt());
    CHECK(*pacer.nextAt() < start + milliseconds(10));
}

TEST_CASE("a further part of a view goes before views that have not begun")
{
    auto pacer = ViewPacer();
    const auto first = pacer.enter(VmId("a"), ViewPacer::bytesUnderWay);
    CHECK(pacer.due(start) == std::vector{first});
    static_cast<void>(pacer.enter(VmId("b"), ViewPacer::bytesUnderWay));
    pacer.taken(VmId("a"));
    const auto part = pacer.enterPart(VmId("a"), ViewPacer::bytesUnderWay);
    CHECK(pacer.due(start) == std::vector{part});
}

TEST_CASE("a VM that asks again has taken in what it was sent")
{
    auto pacer = ViewPacer();
    const auto half = ViewPacer::bytesUnderWay / 2 + 1;
    const auto first = pacer.enter(VmId("a"), half);
    const auto second = pacer.enter(VmId("b"), half);
    CHECK(pacer.due(start) == std::vector{first});
    CHECK(pacer.due(start).empty());
    CHECK(pacer.isWaiting());
    pacer.taken(VmId("a"));
    CHECK(pacer.due(start) == std::vector{second});
    CHECK_FALSE(pacer.isWaiting());
}

} // namespace sapphirespool::control
