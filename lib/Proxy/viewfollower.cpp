#include "viewfollower.h"
#include "sapphirespool/Support/clock.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::proxy
{

namespace
{

/// Connections opened to an upstream before anything is asked of it. A new one costs about 12 ms, which the first request after a start, a
/// promotion or a restart of the upstream would pay; a second one is seldom needed at less than a slot for each proxy.
constexpr auto warmConnections = std::uint32_t{1};

/// \return an equal part of the upstream's connections; all proxies together stay within its limit without asking
auto equalPart(const membership::UpstreamView &member, const membership::ClusterView &view) -> std::uint32_t
{
    const auto proxies = static_cast<std::uint32_t>(std::max(std::size_t{1}, view.proxies.size()));
    return std::max(1U, member.connectionLimit / proxies);
}

} // namespace

ViewFollower::ViewFollower(std::shared_ptr<membership::ViewHolder> views,
                           std::shared_ptr<upstreams::Pool> pool,
                           std::shared_ptr<upstreams::PositionWatch> watch,
                           std::shared_ptr<Admission> admission,
                           LocalRecords &records)
    : views(std::move(views))
    , pool(std::move(pool))
    , watch(std::move(watch))
    , admission(std::move(admission))
    , records(records)
{
}

auto ViewFollower::look() -> void
{
    const auto now = std::chrono::steady_clock::now();
    const auto view = this->views->current();
    this->followLease(*view, now);
    if (view == this->seen) {
        return;
    }
    const auto before = std::exchange(this->seen, view);
    this->records.viewChanged(*view, now);
    this->boundConnections(*view);
    if (before != nullptr) {
        this->retireGone(*before, *view);
    }
    this->watch->viewChanged(view);
    this->admission->viewChanged(view);
}

auto ViewFollower::followLease(const membership::ClusterView &view, TimePoint now) -> void
{
    if (!this->views->leaseLive(support::now())) {
        this->leaseLapsed = true;
        return;
    }
    // Control takes a proxy out of the view only once its lease has run out. After a lapse, views may have passed unseen in which
    // others held this proxy's records; what is kept here may be behind theirs.
    if (this->leaseLapsed && view.revision != this->lastLiveRevision && this->wasLive) {
        this->records.missedViews(now);
    }
    this->leaseLapsed = false;
    this->wasLive = true;
    this->lastLiveRevision = view.revision;
}

auto ViewFollower::boundConnections(const membership::ClusterView &view) -> void
{
    for (const auto &group : view.groups) {
        for (const auto &member : group.members) {
            if (member.leaving) {
                this->pool->retire(member.id);
            } else {
                this->pool->setLimit(member.id, equalPart(member, view));
                this->pool->warm(member, warmConnections);
            }
        }
    }
}

auto ViewFollower::retireGone(const membership::ClusterView &before, const membership::ClusterView &now) -> void
{
    for (const auto &group : before.groups) {
        const auto *const present = now.findGroup(group.id);
        for (const auto &member : group.members) {
            if (present == nullptr || present->findMember(member.id) == nullptr) {
                this->pool->retire(member.id);
            }
        }
    }
}

} // namespace sapphirespool::proxy
