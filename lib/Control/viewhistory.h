// viewhistory.h: the newest views, and what brings a VM from one of them to the newest.
#pragma once

#include "codec.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <span>

namespace sapphirespool::control
{

/// What a VM is sent to hold the newest view.
struct ViewUpdate
{
    /// Whether it is a delta to the view that the VM holds; else the whole view.
    bool isDelta = false;
    std::shared_ptr<const PackedView> content;
};

/// Keeps views to compute deltas from.
///
/// Load pattern: a change is due to all VMs at once, and most of them hold the same revision. Compared and packed anew for each of them, the
/// whole view would be gone through as often as there are VMs, and the last one would learn of a change long after the first.
class ViewHistory
{
public:
    using ViewPointer = std::shared_ptr<const membership::ClusterView>;

    /// Views that are kept. A VM that is further behind gets the whole.
    static constexpr auto viewsKept = std::size_t{64};

    /// Takes \p view as the newest, unless it is known.
    auto note(const ViewPointer &view) -> void;

    /// \return what a VM that holds \p known and serves \p services needs; no services: all
    [[nodiscard]] auto updateFrom(Revision known, std::span<const ServiceId> services) -> ViewUpdate;

private:
    [[nodiscard]] auto viewAt(Revision revision) const -> ViewPointer;
    [[nodiscard]] auto makeUpdate(Revision known, std::span<const ServiceId> services) const -> ViewUpdate;

    std::deque<ViewPointer> views;
    /// Updates to the newest view for VMs that serve everything, by the revision that they hold.
    std::map<Revision, ViewUpdate> updates;
};

} // namespace sapphirespool::control
