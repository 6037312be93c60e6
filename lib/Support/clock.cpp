#include "sapphirespool/Support/clock.h"

#include <chrono>
#include <ctime>

namespace sapphirespool::support
{

auto now() -> TimePoint
{
    auto time = timespec{};
    // The call fails only for an unknown clock or a bad pointer.
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace sapphirespool::support
