// vmtable.h: state of the proxies according to their heartbeats to the control leader.
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

/// Time since the last heartbeat after which a VM is ejected from the view. A VM that restarts in less time does not change the shares of the
/// other VMs.
constexpr auto ejectAfter = std::chrono::milliseconds(60'000);

/// Time since the last heartbeat after which a VM is marked as silent in the view: five heartbeats are missing, and a broken connection is
/// re-established in half of the time. Other VMs then own its connections to upstreams.
constexpr auto silentAfter = std::chrono::milliseconds(1'000);

/// Soft state of one control leader; a state machine without I/O.
class VmTable
{
public:
    /// \param known VMs in the replicated state. Each may hold a lease that the former leader granted a moment ago.
    VmTable(std::span<const membership::ProxyView> known, TimePoint now);

    /// Records a heartbeat and extends the lease.
    /// \return false for a process of the VM that another one has replaced; it gets no lease
    auto note(const control::VmHeartbeat &heartbeat, TimePoint now) -> bool;

    /// \return whether the lease of \p vm is valid at \p now
    [[nodiscard]] auto leaseLive(const VmId &vm, TimePoint now) const -> bool;

    /// \return whether each VM with a live lease has confirmed \p configuration
    [[nodiscard]] auto inForce(Revision configuration, TimePoint now) const -> bool;

    /// \return the state of \p vm for the operators' `status` command
    [[nodiscard]] auto status(const membership::ProxyView &vm, TimePoint now) const -> membership::VmStatus;

    /// \param current revision of the replicated state
    /// \return the state of the VMs with live leases, as promotion needs it
    [[nodiscard]] auto standing(Revision current, TimePoint now) const -> promotion::ProxyStanding;

    /// \return the VMs of \p known whose last heartbeat is at least \p span ago
    [[nodiscard]] auto silentFor(Duration span, std::span<const membership::ProxyView> known, TimePoint now) const -> std::vector<membership::ProxyView>;

private:
    struct Vm
    {
        ZoneId zone;
        Incarnation incarnation;
        std::set<Incarnation> formerIncarnations;
        Revision confirmed;
        Revision configuration;
        TimePoint leaseEnd;
        /// It serves no statements, so that none depends on its view.
        bool isDirectory = false;
    };

    std::map<VmId, Vm> vms;
};

} // namespace sapphirespool::controller
