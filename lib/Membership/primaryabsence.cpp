#include "sapphirespool/Membership/primaryabsence.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::membership
{

PrimaryAbsence::PrimaryAbsence(std::chrono::milliseconds limit)
    : limit(limit)
{
}

auto PrimaryAbsence::note(const ClusterView &view, TimePoint now) -> std::size_t
{
    auto present = std::map<GroupId, TimePoint>();
    for (const auto &group : view.groups) {
        if (group.primary) {
            continue;
        }
        const auto known = this->since.find(group.id);
        present.emplace(group.id, known == this->since.end() ? now : known->second);
    }
    this->since = std::move(present);
    return static_cast<std::size_t>(std::count_if(this->since.begin(), this->since.end(), [this, now](const auto &group) {
        return now - group.second >= this->limit;
    }));
}

} // namespace sapphirespool::membership
