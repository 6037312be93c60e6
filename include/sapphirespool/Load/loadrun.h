// loadrun.h: drives callers against a running system and checks what they are told.
#pragma once

#include "sapphirespool/Load/arrivals.h"
#include "sapphirespool/Load/report.h"
#include "sapphirespool/Load/target.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespool::load
{

/// One run. It ends at the duration or the count, whichever comes first.
struct LoadSettings
{
    ArrivalSettings arrivals;
    std::chrono::milliseconds duration{10'000};
    std::uint64_t mostRequests = 1'000'000;
    std::chrono::milliseconds timeout{2'000};
    /// Age that reads accept; absent: the service's own.
    std::optional<std::chrono::milliseconds> maxAge;
    /// Part of the writes that carry an `Idempotency-Key` and are sent again, to another target, when the outcome is unknown.
    double keyShare = 0;
    /// Tells the rows of this run from those of others.
    std::string name;
};

/// Creates the table, drives the load, and compares what callers were told with what the database holds.
/// \return nothing if the table could not be created
auto runLoad(boost::asio::any_io_executor executor, LoadSettings settings, std::vector<std::shared_ptr<Target>> targets)
    -> boost::asio::awaitable<std::optional<Report>>;

} // namespace sapphirespool::load
