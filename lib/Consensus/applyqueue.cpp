#include "applyqueue.h"

#include <kj/common.h>

#include <utility>

namespace sapphirespool::consensus
{

ApplyQueue::ApplyQueue(StateMachine &machine, DoneCallback done)
    : machine(machine)
    , done(std::move(done))
{
}

auto ApplyQueue::push(Work work) -> void
{
    this->waiting.push_back(std::move(work));
}

auto ApplyQueue::run(const std::function<TimePoint()> &clock) -> void
{
    if (this->waiting.empty() || std::exchange(this->running, true)) {
        return;
    }
    KJ_DEFER(this->running = false);
    const auto end = clock() + slice;
    while (!this->waiting.empty()) {
        auto result = this->perform(this->waiting.front());
        const auto work = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->done(work, std::move(result));
        if (clock() >= end) {
            return;
        }
    }
}

auto ApplyQueue::empty() const -> bool
{
    return this->waiting.empty();
}

auto ApplyQueue::lacksEntriesBefore(ElectionTerm term) const -> bool
{
    for (const auto &work : this->waiting) {
        if (std::holds_alternative<Restore>(work)) {
            return true;
        }
        if (const auto *const applied = std::get_if<Apply>(&work)) {
            return applied->entry.term < term;
        }
    }
    return false;
}

auto ApplyQueue::perform(const Work &work) -> Bytes
{
    if (const auto *const restored = std::get_if<Restore>(&work)) {
        this->machine.restore(restored->snapshot->state);
    } else if (const auto *const applied = std::get_if<Apply>(&work)) {
        if (const auto *const command = std::get_if<Command>(&applied->entry.content)) {
            return this->machine.apply(applied->entry.index, command->bytes);
        }
    }
    return {};
}

} // namespace sapphirespool::consensus
