// viewpace.h: decides how often the state becomes a view for the VMs that watch it.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>

namespace sapphirespool::control
{

/// Limits how often a view is built and sent, by the number of VMs that it goes to.
///
/// Load pattern: when the whole system starts, the state changes a thousand times within seconds. Each view is built, compared and sent
/// to each VM, which takes it in and confirms it. A leader that sends a view for each change does work for changes times VMs; it has no
/// time left for its own heartbeats and loses the lead, and no VM ever holds a current view. Limited, all changes meanwhile share a view. A few
/// views in a row are not limited, so that a promotion in a calm system, which needs two, waits for nothing.
class ViewPace
{
public:
    /// Views that may follow each other at once.
    static constexpr auto burst = 3;
    /// Interval between further views, for each VM that they go to.
    static constexpr auto intervalPerVm = std::chrono::microseconds(500);

    /// \return the time from which the next view may be built
    [[nodiscard]] auto nextAt() const -> TimePoint;

    /// Notes that a view for \p vms was built at \p now.
    auto built(std::size_t vms, TimePoint now) -> void;

private:
    Duration interval{};
    /// The end of the intervals of all views so far, one after the other.
    TimePoint paidUntil{};
};

} // namespace sapphirespool::control
