// eventqueue.h: virtual time.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sapphirespool::loadmodel
{

/// Runs callbacks in order of time; equal times in order of scheduling.
class EventQueue
{
public:
    using Callback = std::function<void()>;

    [[nodiscard]] auto now() const -> TimePoint
    {
        return this->time;
    }

    auto at(TimePoint when, Callback callback) -> void;
    auto after(Duration delay, Callback callback) -> void;

    /// Runs everything up to \p end.
    auto runUntil(TimePoint end) -> void;

private:
    struct Event
    {
        TimePoint when;
        std::uint64_t order;
        Callback callback;

        auto operator<(const Event &other) const -> bool
        {
            return this->when != other.when ? this->when > other.when : this->order > other.order;
        }
    };

    TimePoint time = TimePoint(std::chrono::hours(1));
    std::uint64_t scheduled = 0;
    std::priority_queue<Event> events;
};

} // namespace sapphirespool::loadmodel
