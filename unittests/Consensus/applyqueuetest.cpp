#include "../../lib/Consensus/applyqueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

namespace sapphirespool::consensus
{

namespace
{

using namespace std::chrono_literals;

/// Counts the commands and takes a millisecond of the test's clock for each.
class SlowMachine : public StateMachine
{
public:
    auto apply(LogIndex, std::span<const std::byte>) -> Bytes override
    {
        ++this->applied;
        this->now += 1ms;
        return {};
    }

    [[nodiscard]] auto snapshot() const -> Bytes override
    {
        return {};
    }

    auto restore(std::span<const std::byte>) -> void override
    {
        this->applied = 0;
    }

    int applied = 0;
    TimePoint now{1h};
};

auto entryOf(std::uint64_t index, std::uint64_t term) -> Apply
{
    return {Entry{LogIndex(index), ElectionTerm(term), Command{}}, std::nullopt};
}

} // namespace

TEST_CASE("entries are applied in order and in slices shorter than a heartbeat interval")
{
    // Failure: a leader that applies a long log in one piece misses its heartbeats.
    auto machine = SlowMachine();
    auto order = std::vector<LogIndex>();
    auto queue = ApplyQueue(machine, [&order](const ApplyQueue::Work &work, Bytes) {
        order.push_back(std::get<Apply>(work).entry.index);
    });
    for (std::uint64_t index = 1; index <= 1'000; ++index) {
        queue.push(entryOf(index, 1));
    }
    const auto clock = [&machine] {
        return machine.now;
    };
    while (!queue.empty()) {
        const auto began = machine.now;
        queue.run(clock);
        CHECK(machine.now - began < CoreSettings().heartbeatInterval);
    }
    REQUIRE(order.size() == 1'000);
    CHECK(std::is_sorted(order.begin(), order.end()));
}

TEST_CASE("the state lacks entries of earlier terms until they are applied, also those of a snapshot")
{
    // Failure: a new leader grants leases and orders promotions by an old state.
    auto machine = SlowMachine();
    auto queue = ApplyQueue(machine, [](const ApplyQueue::Work &, Bytes) {});
    const auto clock = [&machine] {
        return machine.now;
    };
    CHECK_FALSE(queue.lacksEntriesBefore(ElectionTerm(3)));
    queue.push(ReadReady{RequestNumber(1)});
    queue.push(entryOf(1, 2));
    queue.push(entryOf(2, 3));
    CHECK(queue.lacksEntriesBefore(ElectionTerm(3)));
    CHECK_FALSE(queue.lacksEntriesBefore(ElectionTerm(2)));
    queue.run(clock);
    CHECK_FALSE(queue.lacksEntriesBefore(ElectionTerm(3)));
    queue.push(Restore{std::make_shared<const Snapshot>()});
    CHECK(queue.lacksEntriesBefore(ElectionTerm(1)));
    queue.run(clock);
    CHECK_FALSE(queue.lacksEntriesBefore(ElectionTerm(3)));
}

TEST_CASE("a callback that has more applied does not change the order")
{
    auto machine = SlowMachine();
    const auto clock = [&machine] {
        return machine.now;
    };
    auto order = std::vector<LogIndex>();
    ApplyQueue *self = nullptr;
    auto queue = ApplyQueue(machine, [&](const ApplyQueue::Work &work, Bytes) {
        order.push_back(std::get<Apply>(work).entry.index);
        if (order.size() == 1) {
            self->push(entryOf(3, 1));
            self->run(clock);
        }
    });
    self = &queue;
    queue.push(entryOf(1, 1));
    queue.push(entryOf(2, 1));
    queue.run(clock);
    CHECK(order == std::vector<LogIndex>{LogIndex(1), LogIndex(2), LogIndex(3)});
}

} // namespace sapphirespool::consensus
