#include "viewpacer.h"

#include <algorithm>

namespace sapphirespool::control
{

namespace
{

auto timeOnLink(std::size_t bytes) -> Duration
{
    return bytes * std::chrono::nanoseconds(std::chrono::seconds(1)) / ViewPacer::bytesPerSecond;
}

} // namespace

auto ViewPacer::enter(const VmId &vm, std::size_t bytes) -> Ticket
{
    this->queue.push_back({++this->last, vm, bytes});
    return this->last;
}

auto ViewPacer::enterPart(const VmId &vm, std::size_t bytes) -> Ticket
{
    this->queue.push_front({++this->last, vm, bytes});
    return this->last;
}

auto ViewPacer::leave(Ticket ticket) -> void
{
    std::erase_if(this->queue, [ticket](const Entry &entry) {
        return entry.ticket == ticket;
    });
}

auto ViewPacer::taken(const VmId &vm) -> void
{
    if (const auto sent = this->underWay.extract(vm)) {
        this->bytes -= sent.mapped().bytes;
    }
}

auto ViewPacer::due(TimePoint now) -> std::vector<Ticket>
{
    std::erase_if(this->underWay, [this, now](const auto &sent) {
        const auto left = now >= sent.second.leftAt;
        this->bytes -= left ? sent.second.bytes : 0;
        return left;
    });
    auto tickets = std::vector<Ticket>();
    // A view that is larger than the bound goes out alone.
    while (!this->queue.empty() && (this->underWay.empty() || this->bytes + this->queue.front().bytes <= bytesUnderWay)) {
        const auto &next = this->queue.front();
        this->taken(next.vm);
        this->linkFreeAt = std::max(this->linkFreeAt, now) + timeOnLink(next.bytes);
        this->underWay.insert_or_assign(next.vm, Sent{next.bytes, this->linkFreeAt});
        this->bytes += next.bytes;
        tickets.push_back(next.ticket);
        this->queue.pop_front();
    }
    return tickets;
}

auto ViewPacer::isWaiting() const -> bool
{
    return !this->queue.empty();
}

auto ViewPacer::nextAt() const -> std::optional<TimePoint>
{
    const auto first = std::min_element(this->underWay.begin(), this->underWay.end(), [](const auto &left, const auto &right) {
        return left.second.leftAt < right.second.leftAt;
    });
    return first == this->underWay.end() ? std::nullopt : std::optional(first->second.leftAt);
}

} // namespace sapphirespool::control
