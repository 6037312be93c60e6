#include "sapphirespool/Load/arrivals.h"

#include <cassert>

namespace sapphirespool::load
{

Arrivals::Arrivals(const ArrivalSettings &settings)
    : random(settings.seed)
    , gap(settings.rate)
    , writes(settings.writeShare)
    , session(0, settings.sessions - 1)
    , target(0, settings.targets - 1)
{
    assert(settings.rate > 0 && settings.sessions > 0 && settings.targets > 0 && "someone asks something of somebody");
}

auto Arrivals::next() -> Arrival
{
    this->seconds += this->gap(this->random);
    auto arrival = Arrival();
    arrival.at = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(this->seconds));
    arrival.access = this->writes(this->random) ? Access::Write : Access::Read;
    arrival.session = this->session(this->random);
    arrival.target = this->target(this->random);
    return arrival;
}

} // namespace sapphirespool::load
