// arrivals.h: when the callers of an open loop ask, and what.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace sapphirespool::load
{

/// Shape of the load.
struct ArrivalSettings
{
    /// Requests a second, all callers together.
    double rate = 100;
    /// Part of the requests that write, 0 to 1.
    double writeShare = 0.2;
    std::size_t sessions = 50;
    std::size_t targets = 1;
    std::uint64_t seed = 1;
};

/// One request to come.
struct Arrival
{
    /// Since the start of the load.
    std::chrono::nanoseconds at{0};
    Access access = Access::Read;
    std::size_t session = 0;
    /// Entry that the session goes to; sessions roam over all.
    std::size_t target = 0;
};

/// Poisson arrivals: callers do not wait for each other, so a slow system is asked no less. A loop that sends the next request
/// after the last answer would slow down with the system and hide what callers see.
class Arrivals
{
public:
    explicit Arrivals(const ArrivalSettings &settings);

    auto next() -> Arrival;

private:
    std::mt19937_64 random;
    std::exponential_distribution<double> gap;
    std::bernoulli_distribution writes;
    std::uniform_int_distribution<std::size_t> session;
    std::uniform_int_distribution<std::size_t> target;
    double seconds = 0;
};

} // namespace sapphirespool::load
