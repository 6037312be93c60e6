// controllink.h: how a proxy speaks with the control group.
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

/// A new text of the operators.
struct ConfigurationChange
{
    ChangeId change;
    /// Revision that the operator edited; the change is refused if another one was accepted since.
    Revision base;
    std::string text;
};

/// The text was accepted as this revision, now or by an earlier send of the same change.
struct ConfigurationAccepted
{
    Revision revision;
};

using ConfigurationOutcome = std::variant<ConfigurationAccepted, NotRun, OutcomeUnknown>;

/// The text in force.
struct ConfigurationText
{
    Revision revision;
    std::string text;
};

using ConfigurationReadOutcome = std::variant<ConfigurationText, NotRun>;

/// What one VM last confirmed.
struct VmStatus
{
    VmId vm;
    ZoneId zone;
    Revision confirmed;
    /// Revision of the operators' text that it serves under.
    Revision configuration;
    bool live = false;
};

/// Answer to `status`.
struct ClusterStatus
{
    VmId leader;
    Revision revision;
    Revision configuration;
    /// Whether each live proxy confirmed the configuration, and the lease of each other one has run out.
    bool inForce = false;
    std::vector<VmStatus> vms;
};

using ClusterStatusOutcome = std::variant<ClusterStatus, NotRun>;

/// A proxy's reason to believe that a primary no longer serves.
struct Suspicion
{
    GroupId group;
    Term term;
    UpstreamId upstream;
};

/// Link to the control group, directly or over a relay of the zone. The link keeps the ViewHolder up to date by itself.
/// Calls may come from any thread; callbacks run on the link's thread.
class ControlLink
{
public:
    ControlLink() = default;
    ControlLink(const ControlLink &) = delete;
    auto operator=(const ControlLink &) -> ControlLink & = delete;
    virtual ~ControlLink() = default;

    /// Passes on what an upstream announced to this proxy.
    virtual auto announce(platform::Announcement announcement) -> void = 0;

    virtual auto suspect(Suspicion suspicion) -> void = 0;

    /// Says where control VMs can be found, in place of what was said before.
    virtual auto setControlVms(std::vector<Endpoint> controlVms) -> void = 0;

    /// Says that this proxy takes no new work.
    virtual auto leave() -> void = 0;

    virtual auto changeConfiguration(ConfigurationChange change, std::function<void(ConfigurationOutcome)> done) -> void = 0;
    virtual auto readConfiguration(std::function<void(ConfigurationReadOutcome)> done) -> void = 0;
    virtual auto readStatus(std::function<void(ClusterStatusOutcome)> done) -> void = 0;
};

} // namespace sapphirespool::membership
