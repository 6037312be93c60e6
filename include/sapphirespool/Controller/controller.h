// controller.h: the control role of a VM, which manages the replicated state while the VM is control leader.
#pragma once

#include "sapphirespool/Configuration/reader.h"
#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/Control/controlservice.h"
#include "sapphirespool/Platform/groupoperator.h"
#include "sapphirespool/Promotion/timing.h"
#include "sapphirespool/State/clusterstate.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace sapphirespool::controller
{

/// Interval of Controller::tick().
constexpr auto tickInterval = std::chrono::milliseconds(20);

/// Average rate limit of configuration changes; state::ClusterState::changeLogLimit is derived from it. The largest planned deployment has
/// 6,300 changes a day.
constexpr auto changesPerSecond = std::uint32_t{20};

/// Dependencies of the controller. The references must outlive it.
struct ControllerParts
{
    VmId vm;
    consensus::ReplicatedLog &log;
    state::ClusterState &state;
    std::shared_ptr<platform::GroupOperator> groupOperator;
    std::function<TimePoint()> clock;
    /// Queues work for the control thread; called from any thread.
    std::function<void(std::function<void()>)> post;
    /// Parser of the configuration language.
    std::shared_ptr<const configuration::Reader> reader = configuration::makeYamlReader();
    /// Interval of the health reports of database group members.
    std::chrono::milliseconds announcementInterval = promotion::defaultAnnouncementInterval;
    /// Zone of this VM.
    ZoneId zone = {};
};

/// Used on the control thread only. On a VM that is not leader it only provides the view.
class Controller : public control::ControlService
{
public:
    /// Performs the work that is due; called every tickInterval.
    virtual auto tick() -> void = 0;
};

[[nodiscard]] auto makeController(ControllerParts parts) -> std::shared_ptr<Controller>;

} // namespace sapphirespool::controller
