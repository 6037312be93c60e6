// slotqueue.h: lets a fixed number of statements run at a time, the others in the order of their arrival.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

namespace sapphirespool::standin
{

/// First come, first served, like the worker processes of a database.
class SlotQueue
{
public:
    explicit SlotQueue(std::uint32_t slots)
        : slots(slots)
    {
    }

    /// Calls \p run at once if a slot is free, else when its turn comes.
    auto enter(std::function<void()> run) -> void
    {
        if (this->running < this->slots) {
            ++this->running;
            run();
            return;
        }
        this->waiting.push_back(std::move(run));
    }

    /// Hands the slot of a finished statement to the next one.
    auto leave() -> void
    {
        if (this->waiting.empty()) {
            --this->running;
            return;
        }
        const auto next = std::move(this->waiting.front());
        this->waiting.pop_front();
        next();
    }

    /// Lets all go on at once, because the process ends.
    auto wakeAll() -> void
    {
        for (auto &next : std::exchange(this->waiting, {})) {
            ++this->running;
            next();
        }
    }

    [[nodiscard]] auto runningCount() const -> std::uint32_t
    {
        return this->running;
    }

private:
    std::uint32_t slots;
    std::uint32_t running = 0;
    std::deque<std::function<void()>> waiting;
};

} // namespace sapphirespool::standin
