#include "sapphirespool/Load/report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace sapphirespool::load
{

namespace
{

using std::chrono::nanoseconds;

/// \return the smallest of the sorted \p values that at least the part \p quantile of them does not exceed
auto quantileOf(const std::vector<nanoseconds> &values, double quantile) -> nanoseconds
{
    if (values.empty()) {
        return nanoseconds(0);
    }
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

auto latencyFigures(const std::vector<Sample> &samples, Access access) -> LatencyFigures
{
    auto latencies = std::vector<nanoseconds>();
    for (const auto &sample : samples) {
        if (sample.access == access && sample.kind == ReplyKind::Answered) {
            latencies.push_back(sample.ended - sample.arrived);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    auto figures = LatencyFigures();
    figures.answered = latencies.size();
    figures.p50 = quantileOf(latencies, 0.5);
    figures.p99 = quantileOf(latencies, 0.99);
    figures.p999 = quantileOf(latencies, 0.999);
    figures.longest = latencies.empty() ? nanoseconds(0) : latencies.back();
    return figures;
}

auto longestWriteGap(const std::vector<Sample> &samples) -> nanoseconds
{
    auto acknowledged = std::vector<nanoseconds>();
    auto lastArrival = nanoseconds(0);
    for (const auto &sample : samples) {
        if (sample.access != Access::Write) {
            continue;
        }
        lastArrival = std::max(lastArrival, sample.arrived);
        if (sample.kind == ReplyKind::Answered) {
            acknowledged.push_back(sample.ended);
        }
    }
    acknowledged.push_back(lastArrival);
    std::sort(acknowledged.begin(), acknowledged.end());
    auto longest = nanoseconds(0);
    auto previous = nanoseconds(0);
    for (const auto moment : acknowledged) {
        longest = std::max(longest, moment - previous);
        previous = moment;
    }
    return longest;
}

auto milliseconds(nanoseconds time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

auto latencyLine(std::string_view name, const LatencyFigures &figures) -> std::string
{
    auto line = std::ostringstream();
    line << std::left << std::setw(18) << name << std::right << std::fixed << std::setprecision(2) << std::setw(10) << figures.answered << std::setw(10)
         << milliseconds(figures.p50) << std::setw(10) << milliseconds(figures.p99) << std::setw(10) << milliseconds(figures.p999) << std::setw(10)
         << milliseconds(figures.longest) << "\n";
    return line.str();
}

auto latencyJson(const LatencyFigures &figures) -> boost::json::object
{
    auto object = boost::json::object();
    object["answered"] = figures.answered;
    object["p50Ms"] = milliseconds(figures.p50);
    object["p99Ms"] = milliseconds(figures.p99);
    object["p999Ms"] = milliseconds(figures.p999);
    object["longestMs"] = milliseconds(figures.longest);
    return object;
}

auto violationsJson(const Violations &violations) -> boost::json::object
{
    auto object = boost::json::object();
    object["staleReads"] = violations.staleReads;
    object["doubledWrites"] = violations.doubledWrites;
    object["lostWrites"] = violations.lostWrites;
    object["untrueRefusals"] = violations.untrueRefusals;
    object["uncheckedSessions"] = violations.uncheckedSessions;
    return object;
}

} // namespace

auto makeReport(const std::vector<Sample> &samples, nanoseconds duration, const Violations &violations) -> Report
{
    auto report = Report();
    report.requests = samples.size();
    report.duration = duration;
    report.violations = violations;
    report.reads = latencyFigures(samples, Access::Read);
    report.writes = latencyFigures(samples, Access::Write);
    report.longestWriteGap = longestWriteGap(samples);
    auto fromReplicas = std::uint64_t{0};
    for (const auto &sample : samples) {
        fromReplicas += sample.kind == ReplyKind::Answered && sample.access == Access::Read && sample.fromReplica ? 1 : 0;
        report.notRun += sample.kind == ReplyKind::NotRun ? 1 : 0;
        report.unknown += sample.kind == ReplyKind::Unknown ? 1 : 0;
        if (sample.kind != ReplyKind::Answered) {
            ++report.refusals[sample.reason];
        }
    }
    const auto seconds = std::chrono::duration<double>(duration).count();
    const auto answered = report.reads.answered + report.writes.answered;
    report.goodput = seconds > 0 ? static_cast<double>(answered) / seconds : 0;
    report.replicaShare = report.reads.answered > 0 ? static_cast<double>(fromReplicas) / static_cast<double>(report.reads.answered) : 0;
    return report;
}

auto keptPromises(const Violations &violations) -> bool
{
    return violations.staleReads == 0 && violations.doubledWrites == 0 && violations.lostWrites == 0 && violations.untrueRefusals == 0;
}

auto toTable(const Report &report) -> std::string
{
    auto text = std::ostringstream();
    text << std::fixed << std::setprecision(1);
    text << "requests " << report.requests << " in " << std::chrono::duration<double>(report.duration).count() << " s, goodput " << report.goodput << "/s\n\n";
    text << "latency in ms       answered       p50       p99     p99.9   longest\n";
    text << latencyLine("reads", report.reads) << latencyLine("writes", report.writes) << "\n";
    text << "reads served by replicas     " << report.replicaShare * 100 << " %\n";
    text << "longest gap without a write  " << milliseconds(report.longestWriteGap) << " ms\n";
    text << "not run " << report.notRun << ", outcome unknown " << report.unknown << "\n";
    for (const auto &[reason, count] : report.refusals) {
        text << "  " << std::left << std::setw(26) << reason << std::right << std::setw(10) << count << "\n";
    }
    const auto &violations = report.violations;
    text << "stale reads " << violations.staleReads << ", doubled writes " << violations.doubledWrites << ", lost writes " << violations.lostWrites
         << ", untrue refusals " << violations.untrueRefusals << ", sessions not checked " << violations.uncheckedSessions << "\n";
    return text.str();
}

auto toJson(const Report &report) -> boost::json::object
{
    auto object = boost::json::object();
    object["requests"] = report.requests;
    object["seconds"] = std::chrono::duration<double>(report.duration).count();
    object["goodput"] = report.goodput;
    object["reads"] = latencyJson(report.reads);
    object["writes"] = latencyJson(report.writes);
    object["notRun"] = report.notRun;
    object["unknown"] = report.unknown;
    auto refusals = boost::json::object();
    for (const auto &[reason, count] : report.refusals) {
        refusals[reason] = count;
    }
    object["refusals"] = std::move(refusals);
    object["replicaShare"] = report.replicaShare;
    object["longestWriteGapMs"] = milliseconds(report.longestWriteGap);
    object["violations"] = violationsJson(report.violations);
    return object;
}

} // namespace sapphirespool::load
