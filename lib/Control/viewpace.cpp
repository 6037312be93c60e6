#include "viewpace.h"

#include <algorithm>

namespace sapphirespool::control
{

auto ViewPace::nextAt() const -> TimePoint
{
    return this->paidUntil - (burst - 1) * this->interval;
}

auto ViewPace::built(std::size_t vms, TimePoint now) -> void
{
    this->interval = vms * intervalPerVm;
    this->paidUntil = std::max(this->paidUntil, now) + this->interval;
}

} // namespace sapphirespool::control
