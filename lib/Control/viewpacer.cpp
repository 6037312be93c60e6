#include "viewpacer.h"

namespace sapphirespool::control
{

auto ViewPacer::enter(const VmId &vm, std::size_t bytes) -> Ticket
{
    this->queue.push_back({++this->last, vm, bytes});
    return this->last;
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
        const auto lost = now - sent.second.at >= takingLimit;
        this->bytes -= lost ? sent.second.bytes : 0;
        return lost;
    });
    auto tickets = std::vector<Ticket>();
    // A view that is larger than the bound goes out alone.
    while (!this->queue.empty() && (this->underWay.empty() || this->bytes + this->queue.front().bytes <= bytesUnderWay)) {
        const auto &next = this->queue.front();
        this->taken(next.vm);
        this->underWay.insert_or_assign(next.vm, Sent{next.bytes, now});
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

} // namespace sapphirespool::control
