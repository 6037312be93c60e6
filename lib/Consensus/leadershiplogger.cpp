#include "leadershiplogger.h"

#include "sapphirespool/Support/log.h"

#include <utility>

namespace sapphirespool::consensus
{

auto LeadershipLogger::update(const Core &core, TimePoint now) -> void
{
    const auto before = std::exchange(this->role, core.role());
    if (before == CoreRole::Leader && core.role() != CoreRole::Leader) {
        this->logLeadershipLost(core, now);
    } else if (before == CoreRole::Follower && core.role() == CoreRole::PreCandidate) {
        support::log(support::Event::ElectionStarted, {{"term", core.term().next().value()}, {"leader_silent_ms", now - core.lastLeaderContactTime()}});
    }
    if (core.role() == CoreRole::Leader) {
        this->lastQuorumContactTime = core.lastQuorumContactTime();
    }
    this->term = core.term();
}

auto LeadershipLogger::lossReason(const Core &core) const -> std::string_view
{
    if (core.term() > this->term) {
        return "later_term";
    }
    return core.isDiskStalled() ? "disk_stalled" : "stepped_down";
}

auto LeadershipLogger::logLeadershipLost(const Core &core, TimePoint now) const -> void
{
    support::log(support::Event::ControlLeadLost,
                 {{"term", this->term.value()}, {"reason", this->lossReason(core)}, {"quorum_heard_ms", now - this->lastQuorumContactTime}});
}

} // namespace sapphirespool::consensus
