// viewpacer.h: decides when a large view may go out to a VM.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sapphirespool::control
{

/// Lets a few large views be on their way at a time; the others wait in the order in which they were asked for.
///
/// Load pattern: a change of the configuration by thousands of services is due to all VMs at the same moment. Sent at once, the views
/// fill the leader's link for longer than the other control VMs wait for a heartbeat; they elect another leader, which begins anew, and no
/// VM ever gets its view. With a few on the link, a heartbeat waits for some milliseconds of them at most.
///
/// A view counts until it has left the leader's link, not until the VM has taken it in: behind a thin link that takes ten times as long, and
/// hundreds of VMs that restart together would wait for each other's links.
class ViewPacer
{
public:
    using Ticket = std::uint64_t;

    /// Bytes on the leader's link. One of 100 Mbit/s carries them in 20 ms, less than half of the time between heartbeats.
    static constexpr auto bytesUnderWay = std::size_t{256} * 1024;
    /// Bytes that the leader's link is taken to carry in a second: about two thirds of 100 Mbit/s, the rest is left to other messages.
    static constexpr auto bytesPerSecond = std::size_t{8} * 1024 * 1024;
    /// A view up to this size need not wait: 100 of them take as long as one turn of large ones.
    static constexpr auto smallView = std::size_t{2'048};

    /// \p vm is to get a view of \p bytes.
    auto enter(const VmId &vm, std::size_t bytes) -> Ticket;

    /// \p vm is to get a further part of its view, of \p bytes. It goes before views that have not begun, so that the first VMs serve early.
    auto enterPart(const VmId &vm, std::size_t bytes) -> Ticket;

    /// Gives up \p ticket; without effect once its turn has come.
    auto leave(Ticket ticket) -> void;

    /// \p vm has taken in what it was sent.
    auto taken(const VmId &vm) -> void;

    /// \return the tickets whose turn has come; their views are on their way from now on
    [[nodiscard]] auto due(TimePoint now) -> std::vector<Ticket>;

    /// \return whether any ticket waits
    [[nodiscard]] auto isWaiting() const -> bool;

    /// \return when the next view has left the link; nothing if none is on it
    [[nodiscard]] auto nextAt() const -> std::optional<TimePoint>;

private:
    struct Entry
    {
        Ticket ticket;
        VmId vm;
        std::size_t bytes;
    };
    struct Sent
    {
        std::size_t bytes;
        /// When it has left the leader's link.
        TimePoint leftAt;
    };

    std::deque<Entry> queue;
    std::map<VmId, Sent> underWay;
    std::size_t bytes = 0;
    /// When all that was sent has left the link.
    TimePoint linkFreeAt{};
    Ticket last = 0;
};

} // namespace sapphirespool::control
