#include "sapphirespool/Decisions/statementqueue.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace sapphirespool::decisions
{

namespace
{

using namespace std::chrono_literals;

/// A class of callers: rate and service time of their statements, response time objective, and maximum wait.
struct CallerKind
{
    double perSecond = 0;
    Duration work{};
    Duration objective{};
    Duration waitLimit{};
    std::uint32_t priority = 0;
};

struct Outcome
{
    std::size_t arrived = 0;
    std::size_t inTime = 0;
    std::size_t served = 0;
    std::size_t refusedOnArrival = 0;

    [[nodiscard]] auto fractionInTime() const -> double
    {
        return static_cast<double>(this->inTime) / static_cast<double>(this->arrived);
    }
};

enum class Order {
    Arrival,
    Queue,
};

constexpr auto slots = std::size_t{6};

/// Simulates an upstream with six slots and the statements that arrive at it.
class Upstream
{
public:
    explicit Upstream(Order order)
        : order(order)
    {
    }

    /// \param load factor on the arrival rate during the overload, which lasts from 2 s to 8 s of 12 s
    auto run(const std::vector<CallerKind> &kinds, double load) -> std::vector<Outcome>
    {
        this->outcomes.assign(kinds.size(), Outcome());
        auto random = std::mt19937(7);
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            auto at = TimePoint{};
            while (at < TimePoint{} + 12s) {
                const auto isOverloaded = at > TimePoint{} + 2s && at < TimePoint{} + 8s;
                const auto perSecond = kinds[kind].perSecond * (isOverloaded ? load : 0.6);
                auto spacing = std::exponential_distribution<double>(perSecond);
                at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(spacing(random)));
                this->arrivals.emplace(at, kind);
            }
        }
        for (const auto &[at, kind] : this->arrivals) {
            this->advance(at);
            this->arrive(kinds[kind], kind, at);
        }
        this->advance(TimePoint{} + 20s);
        return this->outcomes;
    }

private:
    struct Waiting
    {
        CallerKind kind;
        std::size_t number = 0;
        TimePoint since{};
    };

    auto arrive(const CallerKind &kind, std::size_t number, TimePoint now) -> void
    {
        ++this->outcomes[number].arrived;
        this->expire(now);
        const auto urgency = QueuedStatement{kind.priority, now + kind.objective, true};
        if (this->order == Order::Queue && this->queue.isFullFor(urgency, now, this->queue.expectedWait(urgency, now, 30ms, slots))) {
            ++this->outcomes[number].refusedOnArrival;
            return;
        }
        // For order of arrival all statements have the same rank, so that their ticket numbers decide.
        const auto statement = this->order == Order::Arrival ? QueuedStatement{0, TimePoint::max(), true} : urgency;
        this->waiting.emplace(this->queue.push(statement), Waiting{kind, number, now});
        this->fill(now);
    }

    /// Removes statements that have reached their wait limit.
    auto expire(TimePoint now) -> void
    {
        std::erase_if(this->waiting, [this, now](const auto &entry) {
            const auto isOver = now - entry.second.since > entry.second.kind.waitLimit;
            if (isOver) {
                this->queue.erase(entry.first);
            }
            return isOver;
        });
    }

    auto advance(TimePoint until) -> void
    {
        while (!this->running.empty() && this->running.top() <= until) {
            const auto now = this->running.top();
            this->running.pop();
            this->fill(now);
        }
    }

    auto fill(TimePoint now) -> void
    {
        this->expire(now);
        while (this->running.size() < slots) {
            const auto next = this->queue.pop(now, 30ms, true);
            if (!next) {
                return;
            }
            const auto entry = this->waiting.extract(*next).mapped();
            const auto end = now + entry.kind.work;
            this->running.push(end);
            ++this->outcomes[entry.number].served;
            this->outcomes[entry.number].inTime += end - entry.since <= entry.kind.objective ? 1 : 0;
        }
    }

    Order order;
    StatementQueue queue;
    std::map<StatementQueue::Ticket, Waiting> waiting;
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> running;
    std::multimap<TimePoint, std::size_t> arrivals;
    std::vector<Outcome> outcomes;
};

/// Short writes with a short objective, reads, and long reads with a long objective; together they occupy 5.97 slots at a load of 1.
auto mixedCallers() -> std::vector<CallerKind>
{
    return {{33, 11ms, 200ms, 500ms, 1}, {115, 33ms, 400ms, 500ms, 2}, {33, 55ms, 800ms, 1500ms, 2}};
}

auto ticketOf(StatementQueue &queue, std::uint32_t priority, Duration due, bool takesSlot = true) -> StatementQueue::Ticket
{
    return queue.push({priority, TimePoint{} + due, takesSlot});
}

} // namespace

TEST_CASE("statements with higher priority, then those due sooner, are served first")
{
    auto queue = StatementQueue();
    const auto dueLater = ticketOf(queue, 2, 800ms);
    const auto dueSooner = ticketOf(queue, 2, 400ms);
    const auto urgent = ticketOf(queue, 1, 900ms);
    CHECK(queue.ahead({2, TimePoint{} + 500ms, true}, TimePoint{}, 10ms) == 2);
    CHECK(queue.pop(TimePoint{}, 10ms, true) == urgent);
    CHECK(queue.pop(TimePoint{}, 10ms, true) == dueSooner);
    CHECK(queue.pop(TimePoint{}, 10ms, true) == dueLater);
    CHECK_FALSE(queue.pop(TimePoint{}, 10ms, true));
}

TEST_CASE("statements that can no longer be in time are served after those that can")
{
    auto queue = StatementQueue();
    const auto late = ticketOf(queue, 1, 100ms);
    const auto inTime = ticketOf(queue, 2, 400ms);
    CHECK(queue.pop(TimePoint{} + 95ms, 10ms, true) == inTime);
    CHECK(queue.pop(TimePoint{} + 95ms, 10ms, true) == late);
}

TEST_CASE("statements without a slot are served while all slots are taken, erased ones are not served")
{
    auto queue = StatementQueue();
    const auto statement = ticketOf(queue, 0, 10ms);
    const auto withoutSlot = ticketOf(queue, 2, 10ms, false);
    CHECK(queue.pop(TimePoint{}, 1ms, false) == withoutSlot);
    CHECK_FALSE(queue.pop(TimePoint{}, 1ms, false));
    queue.erase(statement);
    CHECK(queue.size() == 0);
    CHECK_FALSE(queue.pop(TimePoint{}, 1ms, true));
}

TEST_CASE("load: both replicas lag, and the primary receives a third more work than its capacity")
{
    // For six seconds all reads of the group go to its primary. In order of arrival each statement waits behind the whole backlog: the
    // writes, 6 % of the work, are late or time out. In the queue's order they are served as without overload, and the reads bear the
    // overload: only the work in excess of the capacity is late.
    const auto byArrival = Upstream(Order::Arrival).run(mixedCallers(), 1.3);
    const auto byQueue = Upstream(Order::Queue).run(mixedCallers(), 1.3);
    CHECK(byArrival[0].fractionInTime() < 0.6);
    CHECK(byQueue[0].fractionInTime() > 0.99);
    CHECK(byQueue[1].fractionInTime() > byArrival[1].fractionInTime() + 0.2);
}

TEST_CASE("load: a burst of three times the capacity for six seconds, and the time after it")
{
    // Plain earliest-deadline order would serve statements that have just missed their objective. Here the slots serve statements that
    // can still be in time.
    const auto byArrival = Upstream(Order::Arrival).run(mixedCallers(), 3.0);
    const auto byQueue = Upstream(Order::Queue).run(mixedCallers(), 3.0);
    CHECK(byQueue[0].fractionInTime() > 0.95);
    CHECK(byQueue[0].inTime + byQueue[1].inTime + byQueue[2].inTime > byArrival[0].inTime + byArrival[1].inTime + byArrival[2].inTime);
}

TEST_CASE("load: the queue serves admitted statements in time and refuses the others on arrival")
{
    // Three times the capacity for six seconds. Most reads cannot be served; queued until they expire, their callers would wait in vain.
    // Nearly all of these are refused on arrival, and nearly all admitted reads are in time.
    const auto byQueue = Upstream(Order::Queue).run(mixedCallers(), 3.0);
    const auto &reads = byQueue[1];
    CHECK(reads.refusedOnArrival > reads.arrived / 4);
    CHECK(static_cast<double>(reads.inTime) > 0.9 * static_cast<double>(reads.arrived - reads.refusedOnArrival));
}

TEST_CASE("load: without overload all classes of callers meet their objective")
{
    const auto byQueue = Upstream(Order::Queue).run(mixedCallers(), 0.7);
    for (const auto &outcome : byQueue) {
        CHECK(outcome.fractionInTime() > 0.99);
    }
}

} // namespace sapphirespool::decisions
