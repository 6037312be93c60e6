#include "recorder.h"

#include <algorithm>

namespace sapphirespool::loadmodel
{

namespace
{

constexpr auto courseStep = std::chrono::milliseconds(100);
constexpr auto stepsPerSecond = 10.0;

auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto part(std::uint64_t some, std::uint64_t all) -> double
{
    return all == 0 ? 0.0 : static_cast<double>(some) / static_cast<double>(all);
}

} // namespace

auto percentile(std::vector<double> values, double part) -> double
{
    if (values.empty()) {
        return 0;
    }
    const auto index = std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

Recorder::Recorder(TimePoint from, TimePoint until)
    : from(from)
    , until(until)
    , course(static_cast<std::size_t>((until - from) / courseStep) + 1, 0.0)
{
}

auto Recorder::counts(TimePoint at) const -> bool
{
    return at >= this->from && at < this->until;
}

auto Recorder::offered(const std::string &caller, TimePoint at, bool returned) -> void
{
    if (!this->counts(at)) {
        return;
    }
    if (returned) {
        ++this->returnsMade;
    }
    ++this->offers;
    ++this->callers[caller].offered;
}

auto Recorder::answered(const Answered &answer) -> void
{
    if (!this->counts(answer.at)) {
        return;
    }
    auto &caller = this->callers[answer.caller];
    const auto latency = toMilliseconds(answer.latency);
    caller.latencies.push_back(latency);
    this->latencies.push_back(latency);
    if (answer.write) {
        this->writeLatencies.push_back(latency);
    }
    this->reads += answer.read ? 1 : 0;
    this->replicaReads += answer.byReplica ? 1 : 0;
    if (!answer.inTime) {
        return;
    }
    ++caller.inTime;
    ++this->inTime;
    this->writesInTime += answer.write ? 1 : 0;
    this->returnsServed += answer.returned ? 1 : 0;
    this->course[static_cast<std::size_t>((answer.at - this->from) / courseStep)] += stepsPerSecond;
}

auto Recorder::refused(const std::string &reason, TimePoint at, bool atOnce) -> void
{
    if (!this->counts(at)) {
        return;
    }
    ++this->refusals[reason];
    this->refusedAtOnce += atOnce ? 1 : 0;
}

auto Recorder::failed(TimePoint at) -> void
{
    if (this->counts(at)) {
        ++this->refusals["failed"];
    }
}

auto Recorder::report() const -> Report
{
    const auto seconds = std::chrono::duration<double>(this->until - this->from).count();
    auto report = Report();
    report.offeredPerSecond = static_cast<double>(this->offers) / seconds;
    report.goodputPerSecond = static_cast<double>(this->inTime) / seconds;
    report.writeGoodput = static_cast<double>(this->writesInTime) / seconds;
    report.acceptedInTime = part(this->inTime, this->offers - std::min(this->offers, this->refusedAtOnce));
    report.p50 = percentile(this->latencies, 0.5);
    report.p99 = percentile(this->latencies, 0.99);
    report.p999 = percentile(this->latencies, 0.999);
    report.writeP99 = percentile(this->writeLatencies, 0.99);
    report.replicaShare = part(this->replicaReads, this->reads);
    report.returnsMade = this->returnsMade;
    report.returnsServed = part(this->returnsServed, this->returnsMade);
    report.refusals = this->refusals;
    report.timeCourse = this->course;
    auto p99s = std::vector<double>();
    auto served = std::vector<double>();
    for (const auto &[name, caller] : this->callers) {
        const auto own = percentile(caller.latencies, 0.99);
        report.callerP99[name] = own;
        report.callerGoodput[name] = static_cast<double>(caller.inTime) / seconds;
        p99s.push_back(own);
        served.push_back(part(caller.inTime, caller.offered));
    }
    report.medianCallerP99 = percentile(p99s, 0.5);
    report.worstCallerP99 = percentile(p99s, 1.0);
    report.medianCallerServed = percentile(served, 0.5);
    report.worstCallerServed = percentile(served, 0.0);
    return report;
}

} // namespace sapphirespool::loadmodel
