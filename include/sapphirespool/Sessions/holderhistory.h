// holderhistory.h: decides whether a proxy's lack of a record proves that none was made.
#pragma once

#include "sapphirespool/Sessions/rendezvous.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <deque>
#include <span>
#include <string_view>
#include <vector>

namespace sapphirespool::sessions
{

/// Keeps the proxies that were in the view within the retention time of a record, including those that have left.
///
/// A proxy that becomes a holder of a name because another one left has not received the records of the departed holder. If it
/// reported a missing record as "never seen", a request could run twice. It is therefore authoritative for a name only if it would
/// be a holder even with all proxies that left within the retention time still present.
class HolderHistory
{
public:
    /// \param retention how long records are kept
    /// \param warmup    time from \p now during which this process, which may have restarted, is not authoritative for any name
    HolderHistory(VmId self, Duration retention, Duration warmup, TimePoint now);

    /// Replaces the present proxies by those of a new view and keeps the ones that left until records they may hold expire.
    auto viewChanged(std::span<const Holder> proxies, TimePoint now) -> void;

    /// Records that this proxy may have been removed from the view without receiving that view. It is not authoritative for any
    /// name until the retention time has passed.
    auto missedViews(TimePoint now) -> void;

    /// \return whether this proxy was a holder of \p name during the whole time in which an unexpired record may have been made
    [[nodiscard]] auto isAuthoritative(std::string_view name, std::size_t copies, TimePoint now) const -> bool;

    /// \return whether this proxy was a holder of \p name throughout the retention time, judged by the views it received
    [[nodiscard]] auto heldThroughout(std::string_view name, std::size_t copies, TimePoint now) const -> bool;

    /// \return how many proxies were in a view within the retention time
    [[nodiscard]] auto proxiesSeen(TimePoint now) const -> std::size_t;

private:
    struct Departed
    {
        Holder holder;
        TimePoint expiry;
    };

    [[nodiscard]] auto recentProxies(TimePoint now) const -> std::vector<Holder>;
    [[nodiscard]] auto isPresent(const VmId &vm) const -> bool;

    VmId self;
    Duration retention;
    TimePoint authoritativeFrom;
    std::vector<Holder> present;
    std::deque<Departed> departed;
};

} // namespace sapphirespool::sessions
