#include "viewbatch.h"

namespace sapphirespool::control
{

namespace
{

/// \return whether the views differ in nothing but the VMs
auto differInVmsOnly(const membership::ClusterView &left, const membership::ClusterView &right) -> bool
{
    return left.configuration == right.configuration && left.services == right.services && left.customers == right.customers && left.groups == right.groups;
}

} // namespace

auto ViewBatch::note(const ViewPointer &view, TimePoint now) -> void
{
    if (this->newest != nullptr && view->revision <= this->newest->revision) {
        return;
    }
    this->newest = view;
    if (this->sent == nullptr || !differInVmsOnly(*this->sent, *view)) {
        this->send(view);
    } else if (!this->gatheredSince) {
        this->gatheredSince = now;
    }
}

auto ViewBatch::isDue(Revision known, TimePoint now) -> bool
{
    if (const auto at = this->sendsAt(); at && now >= *at) {
        this->send(this->newest);
    }
    // What a VM lacks of the views that were sent before is not gathered, and a revision above the newest is that of another leader.
    return this->newest != nullptr && known != this->newest->revision && (known < this->sent->revision || known > this->newest->revision);
}

auto ViewBatch::sendsAt() const -> std::optional<TimePoint>
{
    return this->gatheredSince ? std::optional(*this->gatheredSince + gatheringTime) : std::nullopt;
}

auto ViewBatch::send(const ViewPointer &view) -> void
{
    this->sent = view;
    this->gatheredSince.reset();
}

} // namespace sapphirespool::control
