// controllink.h: interface between a proxy and the control group.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/refusal.h"
#include "sapphirespool/Support/types.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace sapphirespool::membership
{

/// A new configuration from an operator.
struct ConfigurationChange
{
    ChangeId change;
    /// Revision that the operator edited; the change is refused if another one has been accepted since then.
    Revision base;
    std::string text;
};

/// The configuration was accepted as this revision, by this request or an earlier one with the same change id.
struct ConfigurationAccepted
{
    Revision revision;
};

using ConfigurationOutcome = std::variant<ConfigurationAccepted, NotRun, OutcomeUnknown>;

/// The current configuration.
struct ConfigurationText
{
    Revision revision;
    std::string text;
};

using ConfigurationReadOutcome = std::variant<ConfigurationText, NotRun>;

/// State of one VM according to its last heartbeat.
struct VmStatus
{
    VmId vm;
    ZoneId zone;
    Revision confirmed;
    /// Revision of the configuration that it uses.
    Revision configuration;
    bool live = false;
};

/// Answer to the operators' `status` command.
struct ClusterStatus
{
    VmId leader;
    Revision revision;
    Revision configuration;
    /// Whether each proxy has confirmed the configuration or its lease has expired.
    bool inForce = false;
    std::vector<VmStatus> vms;
};

using ClusterStatusOutcome = std::variant<ClusterStatus, NotRun>;

/// Report of a proxy that a primary does not serve.
struct Suspicion
{
    GroupId group;
    Term term;
    UpstreamId upstream;
};

/// Connection to the control group, either direct or through a relay in the zone. It updates the ViewHolder by itself. Functions may be
/// called from any thread; callbacks run on the thread of the connection.
class ControlLink
{
public:
    ControlLink() = default;
    ControlLink(const ControlLink &) = delete;
    auto operator=(const ControlLink &) -> ControlLink & = delete;
    virtual ~ControlLink() = default;

    /// Relays a health report that an upstream sent to this proxy.
    virtual auto announce(platform::Announcement announcement) -> void = 0;

    virtual auto suspect(Suspicion suspicion) -> void = 0;

    /// Replaces the list of endpoints of control VMs.
    virtual auto setControlVms(std::vector<Endpoint> controlVms) -> void = 0;

    /// Reports that this proxy is shutting down and accepts no new requests.
    virtual auto leave() -> void = 0;

    virtual auto changeConfiguration(ConfigurationChange change, std::function<void(ConfigurationOutcome)> done) -> void = 0;
    virtual auto readConfiguration(std::function<void(ConfigurationReadOutcome)> done) -> void = 0;
    virtual auto readStatus(std::function<void(ClusterStatusOutcome)> done) -> void = 0;
};

} // namespace sapphirespool::membership
