#include "viewhistory.h"

#include "sapphirespool/Membership/viewdelta.h"

#include <algorithm>

namespace sapphirespool::control
{

auto ViewHistory::note(const ViewPointer &view) -> void
{
    if (!this->views.empty() && this->views.back()->revision >= view->revision) {
        return;
    }
    // Ordered by ids, as comparisons need it.
    this->views.push_back(std::make_shared<const membership::ClusterView>(membership::viewFor(*view, {})));
    this->updates.clear();
    if (this->views.size() > viewsKept) {
        this->views.pop_front();
    }
}

auto ViewHistory::updateFrom(Revision known, std::span<const ServiceId> services) -> ViewUpdate
{
    if (!services.empty()) {
        return this->makeUpdate(known, services);
    }
    // All revisions that are not kept lead to the same whole view.
    const auto key = this->viewAt(known) == nullptr ? Revision(0) : known;
    const auto found = this->updates.find(key);
    return found != this->updates.end() ? found->second : this->updates.emplace(key, this->makeUpdate(known, services)).first->second;
}

auto ViewHistory::viewAt(Revision revision) const -> ViewPointer
{
    const auto found = std::find_if(this->views.begin(), this->views.end(), [revision](const ViewPointer &view) {
        return view->revision == revision;
    });
    return found == this->views.end() ? nullptr : *found;
}

auto ViewHistory::makeUpdate(Revision known, std::span<const ServiceId> services) const -> ViewUpdate
{
    const auto &newest = *this->views.back();
    const auto base = this->viewAt(known);
    if (base == nullptr) {
        return {false, std::make_shared<const PackedView>(services.empty() ? pack(newest) : pack(membership::viewFor(newest, services)))};
    }
    const auto delta = services.empty() ? membership::computeDelta(*base, newest)
                                        : membership::computeDelta(membership::viewFor(*base, services), membership::viewFor(newest, services));
    return {true, std::make_shared<const PackedView>(pack(delta))};
}

} // namespace sapphirespool::control
