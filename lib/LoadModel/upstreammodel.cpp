#include "upstreammodel.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::loadmodel
{

namespace
{

/// Time until a lost connection is seen.
constexpr auto failureDelay = std::chrono::milliseconds(2);

} // namespace

UpstreamModel::UpstreamModel(EventQueue &events, std::uint32_t slots)
    : events(events)
    , slots(slots)
{
}

auto UpstreamModel::arrive(Statement statement) -> void
{
    if (this->stopped) {
        this->events.after(failureDelay, [done = std::move(statement.done)]() {
            done(false);
        });
        return;
    }
    if (this->busy >= this->slots) {
        this->waiting.push_back(std::move(statement));
        return;
    }
    this->begin(std::move(statement));
}

auto UpstreamModel::begin(Statement statement) -> void
{
    ++this->busy;
    if (!statement.key.empty() && !this->locked.insert(statement.key).second) {
        this->blocked.push_back(std::move(statement));
        return;
    }
    this->runLocked(std::move(statement));
}

auto UpstreamModel::runLocked(Statement statement) -> void
{
    const auto time = std::chrono::duration_cast<Duration>(statement.service * this->factor);
    this->busySum += time;
    this->events.after(time, [this, statement = std::move(statement), life = this->life]() mutable {
        this->end(std::move(statement), life);
    });
}

auto UpstreamModel::end(Statement statement, std::uint64_t startedIn) -> void
{
    if (startedIn != this->life) {
        statement.done(false);
        return;
    }
    --this->busy;
    if (!statement.key.empty()) {
        this->locked.erase(statement.key);
        const auto next = std::find_if(this->blocked.begin(), this->blocked.end(), [&statement](const Statement &other) {
            return other.key == statement.key;
        });
        if (next != this->blocked.end()) {
            auto unblocked = std::move(*next);
            this->blocked.erase(next);
            this->locked.insert(unblocked.key);
            this->runLocked(std::move(unblocked));
        }
    }
    statement.done(true);
    while (this->busy < this->slots && !this->waiting.empty()) {
        auto next = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->begin(std::move(next));
    }
}

auto UpstreamModel::setFactor(double newFactor) -> void
{
    this->factor = newFactor;
}

auto UpstreamModel::stop() -> void
{
    this->stopped = true;
    ++this->life;
    this->busy = 0;
    this->locked.clear();
    for (auto *const list : {&this->waiting, &this->blocked}) {
        for (auto &statement : *list) {
            this->events.after(failureDelay, [done = std::move(statement.done)]() {
                done(false);
            });
        }
        list->clear();
    }
}

auto UpstreamModel::restart() -> void
{
    this->stopped = false;
}

auto UpstreamModel::busyTime() const -> Duration
{
    return this->busySum;
}

} // namespace sapphirespool::loadmodel
