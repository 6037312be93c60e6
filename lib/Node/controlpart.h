// controlpart.h: the control role of a VM on its control thread.
#pragma once

#include "sapphirespool/Configuration/reader.h"
#include "sapphirespool/Platform/groupoperator.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Settings/settings.h"

#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <vector>

namespace sapphirespool::node
{

/// What the control role meets the world with.
struct ControlEdge
{
    std::shared_ptr<platform::GroupOperator> groupOperator;
    std::shared_ptr<const configuration::Reader> reader;
};

/// Replica, replicated state, controller and RPC server. Made and destroyed on any thread; everything in it lives on the loop.
class ControlPart
{
public:
    /// \throws StartFailure if the data folder cannot be used
    ControlPart(rpc::LoopThread &loop, const settings::Settings &settings, ControlEdge edge, std::uint64_t seed);
    ~ControlPart();
    ControlPart(const ControlPart &) = delete;
    auto operator=(const ControlPart &) -> ControlPart & = delete;

    /// Sets where the VM announces itself; without effect if the control VMs are a fixed list.
    auto setSeeds(std::vector<Endpoint> seeds) -> void;

    /// Begins to hand over the leadership and the vote of this VM.
    auto beginDrain() -> void;

    /// Waits until the control group lets this VM end, until \p limit at most.
    auto awaitDrain(std::chrono::steady_clock::time_point limit) -> void;

private:
    class OnLoop;

    rpc::LoopThread &loop;
    std::shared_ptr<OnLoop> onLoop;
    std::future<void> departed;
};

} // namespace sapphirespool::node
