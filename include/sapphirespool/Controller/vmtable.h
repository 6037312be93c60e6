// vmtable.h: the proxies as the control leader knows them from their heartbeats.
#pragma once

#include "sapphirespool/Control/controlservice.h"
#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Promotion/messages.h"
#include "sapphirespool/Promotion/timing.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace sapphirespool::controller
{

using promotion::leaseLength;

/// A VM that was silent for this long leaves the view; a restart or a partition of minutes does not change the others' sharing twice.
constexpr auto forgetAfter = std::chrono::milliseconds(60'000);

/// A VM that was silent for this long is marked in the view: five heartbeats are missing, and a connection that broke is made anew in half
/// of the time. Others then hold the connections to upstreams that it owned.
constexpr auto silentAfter = std::chrono::milliseconds(1'000);

/// Soft state of one control leader; pure.
class VmTable
{
public:
    /// \param known VMs of the replicated state. A former leader may have granted each of them a lease just now.
    VmTable(std::span<const membership::ProxyView> known, TimePoint now);

    /// Notes a heartbeat and extends the lease.
    /// \return false for a process of the VM that was followed by another one; it gets no lease
    auto note(const control::VmHeartbeat &heartbeat, TimePoint now) -> bool;

    /// \return whether the lease of \p vm may still be used at \p now
    [[nodiscard]] auto leaseLive(const VmId &vm, TimePoint now) const -> bool;

    /// \return whether each VM with a live lease has confirmed \p configuration
    [[nodiscard]] auto inForce(Revision configuration, TimePoint now) const -> bool;

    /// \return the state of \p vm for `status`
    [[nodiscard]] auto status(const membership::ProxyView &vm, TimePoint now) const -> membership::VmStatus;

    /// \param current revision of the replicated state
    /// \return what promotion has to know of the VMs with live leases
    [[nodiscard]] auto standing(Revision current, TimePoint now) const -> promotion::ProxyStanding;

    /// \return the VMs of \p known that were silent for \p span
    [[nodiscard]] auto silentFor(Duration span, std::span<const membership::ProxyView> known, TimePoint now) const -> std::vector<membership::ProxyView>;

private:
    struct Vm
    {
        ZoneId zone;
        Incarnation incarnation;
        std::set<Incarnation> former;
        Revision confirmed;
        Revision configuration;
        TimePoint leaseEnd;
        /// It serves no statements, so that none depends on its view.
        bool isDirectory = false;
    };

    std::map<VmId, Vm> vms;
};

} // namespace sapphirespool::controller
