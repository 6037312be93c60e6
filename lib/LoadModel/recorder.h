// recorder.h: turns what callers received into a report.
#pragma once

#include "sapphirespool/LoadModel/scenario.h"

#include <map>
#include <string>
#include <vector>

namespace sapphirespool::loadmodel
{

/// One answered request.
struct Answered
{
    std::string caller;
    Duration latency{};
    bool inTime = false;
    bool write = false;
    bool read = false;
    bool byReplica = false;
    bool returned = false;
    TimePoint at;
};

/// Collects over the measured part of a run; the first second warms the estimates up.
class Recorder
{
public:
    Recorder(TimePoint from, TimePoint until);

    auto offered(const std::string &caller, TimePoint at, bool returned) -> void;
    auto answered(const Answered &answer) -> void;
    auto refused(const std::string &reason, TimePoint at, bool atOnce) -> void;
    auto failed(TimePoint at) -> void;

    [[nodiscard]] auto report() const -> Report;

private:
    struct CallerRecord
    {
        std::uint64_t offered = 0;
        std::uint64_t inTime = 0;
        std::vector<double> latencies;
    };

    [[nodiscard]] auto counts(TimePoint at) const -> bool;

    TimePoint from;
    TimePoint until;
    std::uint64_t offers = 0;
    std::uint64_t refusedAtOnce = 0;
    std::uint64_t inTime = 0;
    std::uint64_t writesInTime = 0;
    std::uint64_t reads = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t returnsMade = 0;
    std::uint64_t returnsServed = 0;
    std::map<std::string, CallerRecord> callers;
    std::map<std::string, std::uint64_t> refusals;
    std::vector<double> latencies;
    std::vector<double> writeLatencies;
    std::vector<double> course;
};

/// \return the value below which \p part of \p values lie
[[nodiscard]] auto percentile(std::vector<double> values, double part) -> double;

} // namespace sapphirespool::loadmodel
