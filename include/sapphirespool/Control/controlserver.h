// controlserver.h: serves the control group's RPC at one endpoint of a control VM.
#pragma once

#include "sapphirespool/Consensus/replica.h"
#include "sapphirespool/Control/controlservice.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/types.h"

#include <memory>

namespace sapphirespool::control
{

/// Accepts proxies and the other control VMs. Lives on the control thread; stops when destroyed.
class ControlServer
{
public:
    ControlServer() = default;
    ControlServer(const ControlServer &) = delete;
    auto operator=(const ControlServer &) -> ControlServer & = delete;
    virtual ~ControlServer() = default;

    /// \return the port, once listening; 0 before
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;
};

/// Starts to listen at \p endpoint. \p replica and \p service must outlive the server.
/// \param zone of this VM, for the directories that ask
[[nodiscard]] auto serveControl(rpc::LoopContext &context, Endpoint endpoint, consensus::Replica &replica, ControlService &service, ZoneId zone = {})
    -> std::unique_ptr<ControlServer>;

} // namespace sapphirespool::control
