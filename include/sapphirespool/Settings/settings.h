// settings.h: what one VM knows of itself at its start.
//
// Settings differ by VM and change with a restart; what the operators change while the system runs is the configuration.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/Http/server.h"
#include "sapphirespool/Support/log.h"
#include "sapphirespool/Support/types.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespool::settings
{

/// Where a VM of the control group is reached.
struct ControlAddress
{
    VmId vm;
    Endpoint endpoint;
};

/// How a stop proceeds.
struct Shutdown
{
    /// Time that the balancer needs to see that the VM is not ready.
    std::chrono::milliseconds balancerDelay{2'000};
    /// Time after that until requests and transactions that still run are cut. Nothing is sent to an upstream in its second half.
    std::chrono::milliseconds drainTimeout{30'000};
    /// Time from the signal to stop until the process is killed; zero if nobody kills it. The two others don't apply if it is set.
    std::chrono::milliseconds grace{0};
};

/// The checked settings of one VM.
struct Settings
{
    VmId vm;
    ZoneId zone;
    bool proxy = false;
    bool control = false;
    /// Serves operators and upstreams beside the control VMs, without state of its own.
    bool operatorsOnly = false;
    /// Where callers and operators connect; set for a proxy.
    Endpoint callers;
    /// Where other proxies connect; set for a proxy.
    Endpoint peers;
    /// Where the balancer asks whether the VM is ready; port 0 if it asks where callers connect.
    Endpoint readiness;
    /// Where operators and upstreams call a control VM; port 0 if they call the proxies.
    Endpoint operators;
    /// Where the metrics are served; port 0 if they are served where callers connect.
    Endpoint metrics;
    /// Where orders to promote go if a platform carries them out; port 0 if the members take them.
    Endpoint promotionService;
    /// Folder of the durable state; set for a VM of the control group.
    std::string dataFolder;
    /// The VMs of the control group at its first start, and where proxies first ask.
    std::vector<ControlAddress> controlMembers;
    /// Whether \a controlMembers are only some of the control VMs, by which the others are found.
    bool controlFoundBySeeds = false;
    /// Where this VM's control role listens if no entry of \a controlMembers says it, or its directory.
    Endpoint controlAddress;
    /// Whether this may be the very first start of the system: the control group is founded, and proxies may allocate quota at once.
    bool firstStart = true;
    /// Control VMs that may be lost at once.
    std::uint32_t controlLosses = 3;
    std::uint32_t trafficThreads = 1;
    /// How often upstreams announce themselves.
    std::chrono::milliseconds announcementInterval{200};
    support::LogFormat logFormat = support::LogFormat::Text;
    http::ServerLimits limits;
    Shutdown shutdown;
    /// Operations beyond a customer's quota that are tolerated in its window.
    std::uint32_t quotaSlack = 0;
    /// Time after a start in which a proxy does not vouch that an idempotency key is new, since it may have forgotten it. Zero is
    /// sound only where no proxy of the system served before: at the first start of all.
    std::chrono::milliseconds keyWarmup{600'000};

    /// \return where this VM's control role listens, if it has one
    [[nodiscard]] auto controlEndpoint() const -> std::optional<Endpoint>;

    /// \return where this VM serves the addresses of control VMs, if it has no control role itself and the settings say it
    [[nodiscard]] auto directoryEndpoint() const -> std::optional<Endpoint>;
};

/// \return the settings in \p text, or an error with support::TextProblems
[[nodiscard]] auto parseSettings(std::string_view file, std::string_view text) -> boost::leaf::result<Settings>;

/// Reads \p file and parses it.
[[nodiscard]] auto readSettings(std::string_view file) -> boost::leaf::result<Settings>;

} // namespace sapphirespool::settings
