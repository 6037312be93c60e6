// holderhistory.h: decides whether a proxy can answer for all that it should have been told.
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

/// Remembers which proxies stood beside this one while records live.
///
/// A proxy that became a holder of a name only now, because another one left, has not been told what that other one knew. If it
/// took its empty memory for "never seen", a request could run twice. It therefore vouches for a name only if it would be a holder
/// even with all the proxies that left within the life of a record still there.
class HolderHistory
{
public:
    /// \param life   how long records are kept
    /// \param warmup time from \p now in which this process, which may have been restarted, vouches for nothing
    HolderHistory(VmId self, Duration life, Duration warmup, TimePoint now);

    /// Takes in the proxies of a new view.
    auto viewChanged(std::span<const Holder> proxies, TimePoint now) -> void;

    /// Says that this proxy may have been out of the view without seeing it.
    auto missedViews(TimePoint now) -> void;

    /// \return whether this proxy was a holder of \p name as long as a record of it may have been made
    [[nodiscard]] auto vouches(std::string_view name, std::size_t copies, TimePoint now) const -> bool;

    /// \return whether this proxy, as far as it saw views, was a holder of \p name throughout the life of a record
    [[nodiscard]] auto heldThroughout(std::string_view name, std::size_t copies, TimePoint now) const -> bool;

    /// \return how many proxies there were within the life of a record
    [[nodiscard]] auto proxiesSeen(TimePoint now) const -> std::size_t;

private:
    struct Departed
    {
        Holder holder;
        TimePoint forgetAt;
    };

    [[nodiscard]] auto everyone(TimePoint now) const -> std::vector<Holder>;
    [[nodiscard]] auto isPresent(const VmId &vm) const -> bool;

    VmId self;
    Duration life;
    TimePoint vouchFrom;
    std::vector<Holder> present;
    std::deque<Departed> departed;
};

} // namespace sapphirespool::sessions
