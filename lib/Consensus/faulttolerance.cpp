#include "sapphirespool/Consensus/faulttolerance.h"

#include <set>

namespace sapphirespool::consensus
{

auto toleranceOf(std::span<const ControlMember> members, const std::function<bool(ReplicaId)> &responds) -> FaultTolerance
{
    auto tolerance = FaultTolerance();
    auto zones = std::set<ZoneId>();
    auto responding = std::size_t(0);
    for (const auto &member : members) {
        if (!member.voter) {
            continue;
        }
        ++tolerance.voters;
        zones.insert(member.zone);
        responding += responds(member.replica) ? 1 : 0;
    }
    const auto quorum = tolerance.voters / 2 + 1;
    tolerance.zones = zones.size();
    tolerance.survived = responding > quorum ? responding - quorum : 0;
    return tolerance;
}

ShortfallMonitor::ShortfallMonitor(std::size_t promised)
    : promised(promised)
{
}

auto ShortfallMonitor::update(std::size_t survived, TimePoint now) -> bool
{
    if (survived >= this->promised) {
        const auto wasReported = this->reported.has_value();
        this->reset();
        return wasReported;
    }
    if (!this->shortSince) {
        this->shortSince = now;
    }
    if (now - *this->shortSince < shortfallReportDelay || this->reported == survived) {
        return false;
    }
    this->reported = survived;
    return true;
}

auto ShortfallMonitor::reset() -> void
{
    this->shortSince.reset();
    this->reported.reset();
}

} // namespace sapphirespool::consensus
