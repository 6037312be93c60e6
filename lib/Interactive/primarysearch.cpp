#include "primarysearch.h"

namespace sapphirespool::interactive
{

auto PrimarySearch::begin(const GroupId &group, TimePoint now) -> bool
{
    const auto [last, isFirst] = this->lastSearch.try_emplace(group, now);
    if (!isFirst && now - last->second < searchSpacing) {
        return false;
    }
    last->second = now;
    return true;
}

auto PrimarySearch::record(const GroupId &group, Term viewTerm, const UpstreamId &upstream) -> void
{
    this->foundPrimaries.insert_or_assign(group, FoundPrimary{viewTerm, upstream});
}

auto PrimarySearch::refute(const GroupId &group, const UpstreamId &upstream) -> void
{
    const auto found = this->foundPrimaries.find(group);
    if (found != this->foundPrimaries.end() && found->second.upstream == upstream) {
        this->foundPrimaries.erase(found);
    }
}

auto PrimarySearch::foundFor(const GroupId &group, Term viewTerm) const -> std::optional<UpstreamId>
{
    const auto found = this->foundPrimaries.find(group);
    const auto holds = found != this->foundPrimaries.end() && found->second.viewTerm == viewTerm;
    return holds ? std::optional(found->second.upstream) : std::nullopt;
}

} // namespace sapphirespool::interactive
