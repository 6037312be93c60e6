// controller.h: the control role of a VM: what a leading control VM does with the replicated state.
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

/// How often tick() is due.
constexpr auto tickInterval = std::chrono::milliseconds(20);

/// Changes of the configuration that are let through in a second, on average; state::ClusterState::changeLogLimit rests on it. The
/// fleet that the design is for has 6,300 a day.
constexpr auto changesPerSecond = std::uint32_t{20};

/// What the controller works with. The references must outlive it.
struct ControllerParts
{
    VmId vm;
    consensus::ReplicatedLog &log;
    state::ClusterState &state;
    std::shared_ptr<platform::GroupOperator> groupOperator;
    std::function<TimePoint()> clock;
    /// Runs work on the control thread later; called from any thread.
    std::function<void(std::function<void()>)> post;
    /// Language of the operators' text.
    std::shared_ptr<const configuration::Reader> reader = configuration::makeYamlReader();
    /// How often members of database groups announce themselves.
    std::chrono::milliseconds announcementInterval = promotion::defaultAnnouncementInterval;
    /// Zone of this VM.
    ZoneId zone = {};
};

/// Lives on the control thread. On a VM that does not lead it only hands out the view.
class Controller : public control::ControlService
{
public:
    /// Lets time pass; due each tickInterval.
    virtual auto tick() -> void = 0;
};

[[nodiscard]] auto makeController(ControllerParts parts) -> std::shared_ptr<Controller>;

} // namespace sapphirespool::controller
