#include "primarywatch.h"

#include <algorithm>

namespace sapphirespool::interactive
{

auto PrimaryWatch::sent(const UpstreamId &upstream, TimePoint now) -> void
{
    auto &entry = this->upstreams[upstream];
    if (entry.outstanding == 0) {
        entry.lastActivity = now;
    }
    ++entry.outstanding;
}

auto PrimaryWatch::ended(const UpstreamId &upstream, bool answered, TimePoint now) -> void
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return;
    }
    --found->second.outstanding;
    if (answered) {
        found->second.lastActivity = now;
    }
    if (found->second.outstanding == 0) {
        this->upstreams.erase(found);
    }
}

auto PrimaryWatch::due(TimePoint now) -> std::vector<Probe>
{
    auto probes = std::vector<Probe>();
    for (auto &[id, upstream] : this->upstreams) {
        if (now - std::max(upstream.lastActivity, upstream.lastProbe) >= probeAfter) {
            upstream.lastProbe = now;
            probes.push_back({id, now - upstream.lastActivity >= thoroughProbeAfter});
        }
    }
    return probes;
}

auto PrimaryWatch::isActive() const -> bool
{
    return !this->upstreams.empty();
}

} // namespace sapphirespool::interactive
