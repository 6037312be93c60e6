// report.h: what callers received, in figures.
#pragma once

#include "sapphirespool/Load/target.h"
#include "sapphirespool/Support/types.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirespool::load
{

/// One request of a caller and its end. Times count from the start of the load.
struct Sample
{
    Access access = Access::Read;
    std::chrono::nanoseconds arrived{0};
    std::chrono::nanoseconds ended{0};
    ReplyKind kind = ReplyKind::Unknown;
    std::string reason;
    bool fromReplica = false;
};

/// Faults that only an outsider can see; each of them breaks a promise.
struct Violations
{
    /// A session read less than it had written or read before.
    std::uint64_t staleReads = 0;
    /// A write stands more than once in the database.
    std::uint64_t doubledWrites = 0;
    /// An acknowledged write does not stand in the database.
    std::uint64_t lostWrites = 0;
    /// A write that was refused as not run stands in the database.
    std::uint64_t untrueRefusals = 0;
    /// Sessions whose writes could not be read at the end; nothing was checked for them.
    std::uint64_t uncheckedSessions = 0;
};

/// Quantiles of the latency of answered requests.
struct LatencyFigures
{
    std::uint64_t answered = 0;
    std::chrono::nanoseconds p50{0};
    std::chrono::nanoseconds p99{0};
    std::chrono::nanoseconds p999{0};
    std::chrono::nanoseconds longest{0};
};

/// Figures of one run.
struct Report
{
    std::uint64_t requests = 0;
    std::chrono::nanoseconds duration{0};
    /// Answered requests a second.
    double goodput = 0;
    LatencyFigures reads;
    LatencyFigures writes;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::map<std::string, std::uint64_t> refusals;
    /// Part of the answered reads that a replica served.
    double replicaShare = 0;
    /// Longest time in which no write was acknowledged, while writes were asked for.
    std::chrono::nanoseconds longestWriteGap{0};
    Violations violations;
};

/// Builds the figures of \p samples, which may stand in any order.
[[nodiscard]] auto makeReport(const std::vector<Sample> &samples, std::chrono::nanoseconds duration, const Violations &violations) -> Report;

/// \return whether no promise was broken
[[nodiscard]] auto keptPromises(const Violations &violations) -> bool;

[[nodiscard]] auto toTable(const Report &report) -> std::string;
[[nodiscard]] auto toJson(const Report &report) -> boost::json::object;

} // namespace sapphirespool::load
