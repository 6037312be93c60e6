// viewbatch.h: decides when a change of the view is sent to the VMs that watch it.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <memory>
#include <optional>

namespace sapphirespool::control
{

/// Gathers changes that can wait, so that many VMs that come or go at once cost each of the others a few views and not one for each.
///
/// Load pattern: after a loss of power a hundred VMs register within half a second. Sent one by one, that is a hundred views for each of a
/// hundred VMs, ten thousand from one leader, in the very moment in which all callers come back. A VM that comes or goes changes who owns
/// connections, which may wait for a moment; a change of a group or of the configuration is sent at once, with all that was gathered.
class ViewBatch
{
public:
    using ViewPointer = std::shared_ptr<const membership::ClusterView>;

    /// Longest time that a change of the VMs alone waits for others.
    static constexpr auto gatheringTime = std::chrono::milliseconds(50);

    /// Takes in the newest view.
    auto note(const ViewPointer &view, TimePoint now) -> void;

    /// \return whether a VM that holds \p known is to be sent the newest view now
    [[nodiscard]] auto isDue(Revision known, TimePoint now) -> bool;

    /// \return when gathered changes are sent; nothing if there are none
    [[nodiscard]] auto sendsAt() const -> std::optional<TimePoint>;

private:
    auto send(const ViewPointer &view) -> void;

    /// What was last sent.
    ViewPointer sent;
    ViewPointer newest;
    /// When the oldest change that was not sent came.
    std::optional<TimePoint> gatheredSince;
};

} // namespace sapphirespool::control
