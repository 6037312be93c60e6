#include "sapphirespool/Decisions/statementqueue.h"

#include <algorithm>
#include <tuple>

namespace sapphirespool::decisions
{

namespace
{

/// \return the sort key of a statement; the smallest is served first
auto rank(const QueuedStatement &statement, TimePoint now, Duration serviceTime)
{
    const auto isLate = now + serviceTime > statement.due;
    return std::tuple(statement.takesSlot, isLate, statement.priority, statement.due);
}

} // namespace

auto StatementQueue::push(const QueuedStatement &statement) -> Ticket
{
    const auto ticket = ++this->lastTicket;
    this->waiting.emplace(ticket, statement);
    return ticket;
}

auto StatementQueue::erase(Ticket ticket) -> void
{
    this->waiting.erase(ticket);
}

auto StatementQueue::pop(TimePoint now, Duration serviceTime, bool slotFree) -> std::optional<Ticket>
{
    const auto first = std::min_element(this->waiting.begin(), this->waiting.end(), [now, serviceTime](const auto &left, const auto &right) {
        return rank(left.second, now, serviceTime) < rank(right.second, now, serviceTime);
    });
    if (first == this->waiting.end() || (first->second.takesSlot && !slotFree)) {
        return std::nullopt;
    }
    const auto ticket = first->first;
    this->waiting.erase(first);
    return ticket;
}

auto StatementQueue::ahead(const QueuedStatement &statement, TimePoint now, Duration serviceTime) const -> std::size_t
{
    const auto own = rank(statement, now, serviceTime);
    const auto before = std::count_if(this->waiting.begin(), this->waiting.end(), [&](const auto &entry) {
        return rank(entry.second, now, serviceTime) <= own;
    });
    return static_cast<std::size_t>(before);
}

auto StatementQueue::expectedWait(const QueuedStatement &statement, TimePoint now, Duration serviceTime, std::size_t servers) const -> Duration
{
    const auto before = static_cast<Duration::rep>(this->ahead(statement, now, serviceTime));
    return serviceTime * before / static_cast<Duration::rep>(std::max<std::size_t>(1, servers));
}

auto StatementQueue::isFullFor(const QueuedStatement &statement, TimePoint now, Duration wait) const -> bool
{
    return statement.takesSlot && (this->waiting.size() >= maximumSize || wait > (statement.due - now) / waitDivisor);
}

auto StatementQueue::size() const -> std::size_t
{
    return this->waiting.size();
}

} // namespace sapphirespool::decisions
