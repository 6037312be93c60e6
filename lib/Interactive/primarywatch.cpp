#include "primarywatch.h"

#include <algorithm>

namespace sapphirespool::interactive
{

auto PrimaryWatch::sent(const UpstreamId &upstream, TimePoint now) -> void
{
    auto &entry = this->upstreams[upstream];
    if (entry.outstanding == 0) {
        entry.since = now;
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
        found->second.since = now;
    }
    if (found->second.outstanding == 0) {
        this->upstreams.erase(found);
    }
}

auto PrimaryWatch::due(TimePoint now) -> std::vector<Look>
{
    auto silent = std::vector<Look>();
    for (auto &[id, upstream] : this->upstreams) {
        if (now - std::max(upstream.since, upstream.looked) >= silence) {
            upstream.looked = now;
            silent.push_back({id, now - upstream.since >= longSilence});
        }
    }
    return silent;
}

auto PrimaryWatch::isActive() const -> bool
{
    return !this->upstreams.empty();
}

} // namespace sapphirespool::interactive
