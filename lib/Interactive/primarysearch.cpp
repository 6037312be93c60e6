#include "primarysearch.h"

namespace sapphirespool::interactive
{

auto PrimarySearch::begin(const GroupId &group, TimePoint now) -> bool
{
    const auto [last, isFirst] = this->searched.try_emplace(group, now);
    if (!isFirst && now - last->second < rest) {
        return false;
    }
    last->second = now;
    return true;
}

auto PrimarySearch::note(const GroupId &group, Term viewTerm, const UpstreamId &upstream) -> void
{
    this->findings.insert_or_assign(group, Finding{viewTerm, upstream});
}

auto PrimarySearch::refute(const GroupId &group, const UpstreamId &upstream) -> void
{
    const auto found = this->findings.find(group);
    if (found != this->findings.end() && found->second.upstream == upstream) {
        this->findings.erase(found);
    }
}

auto PrimarySearch::foundFor(const GroupId &group, Term viewTerm) const -> std::optional<UpstreamId>
{
    const auto found = this->findings.find(group);
    const auto holds = found != this->findings.end() && found->second.viewTerm == viewTerm;
    return holds ? std::optional(found->second.upstream) : std::nullopt;
}

} // namespace sapphirespool::interactive
