// controlservice.h: what the leading control VM does for the proxies; the RPC server calls it on the control thread.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/refusal.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace sapphirespool::control
{

/// Sent by each proxy every heartbeat interval, and at once when something in it changes.
struct VmHeartbeat
{
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;
    /// Where it accepts callers.
    Endpoint callers;
    /// Where it accepts other proxies.
    Endpoint peers;
    bool leaving = false;
    /// Revision of the view that it serves under; 0 after a start until control gave it one.
    Revision confirmed;
    /// Revision of the operators' text in that view.
    Revision configuration;
    /// What upstreams announced to it since the last heartbeat, the newest of each upstream.
    std::vector<platform::Announcement> announcements;
    std::vector<membership::Suspicion> suspicions;
    /// Whether the VM takes part in the very first start of the system.
    bool firstStart = false;
};

/// Allows a proxy to acknowledge for a while.
struct LeaseGrant
{
    /// Counted by the proxy from the moment at which it sent the heartbeat, so that it ends at the proxy no later than here.
    std::chrono::milliseconds length{0};
    /// The lease holds only for a view of this revision or a later one.
    Revision floor;
};

using HeartbeatOutcome = std::variant<LeaseGrant, NotRun>;

/// The control state as the RPC server sees it. All calls come on the control thread; the callbacks may run before the call
/// returns or later, on that thread, each exactly once.
///
/// The server calls these functions only while ReplicatedLog::holdsLeaderLease() and checks it again before it passes on the
/// result, so that an isolated former leader grants nothing. A new leader does not know which leases the former one granted: it must
/// take each proxy to hold one that began at its own election.
class ControlService
{
public:
    ControlService() = default;
    ControlService(const ControlService &) = delete;
    auto operator=(const ControlService &) -> ControlService & = delete;
    virtual ~ControlService() = default;

    /// Notes that the VM lives and what it heard. NotRun grants no lease, for example to an outdated incarnation.
    virtual auto heartbeat(VmHeartbeat heartbeat, std::function<void(HeartbeatOutcome)> done) -> void = 0;

    /// The link resends a change whose outcome is unknown, with the same change id.
    virtual auto changeConfiguration(membership::ConfigurationChange change, std::function<void(membership::ConfigurationOutcome)> done) -> void = 0;
    virtual auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void = 0;
    virtual auto readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void = 0;

    /// \return the newest committed view, never null; its revision rises with each change of its content
    [[nodiscard]] virtual auto currentView() const -> std::shared_ptr<const membership::ClusterView> = 0;

    /// Has \p listener called after each change of currentView(). One listener; a later one replaces it, an empty one removes it.
    virtual auto onViewChange(std::function<void()> listener) -> void = 0;
};

} // namespace sapphirespool::control
