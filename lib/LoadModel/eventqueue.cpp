#include "sapphirespool/LoadModel/eventqueue.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::loadmodel
{

auto EventQueue::at(TimePoint when, Callback callback) -> void
{
    ++this->scheduled;
    this->events.push({std::max(when, this->time), this->scheduled, std::move(callback)});
}

auto EventQueue::after(Duration delay, Callback callback) -> void
{
    this->at(this->time + delay, std::move(callback));
}

auto EventQueue::runUntil(TimePoint end) -> void
{
    while (!this->events.empty() && this->events.top().when <= end) {
        auto event = this->events.top();
        this->events.pop();
        this->time = event.when;
        event.callback();
    }
    this->time = end;
}

} // namespace sapphirespool::loadmodel
