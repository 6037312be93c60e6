// node.h: one VM of the system, put together from its settings.
#pragma once

#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/types.h"

#include <memory>
#include <stdexcept>

namespace sapphirespool::node
{

/// Why a VM cannot start; the detail names the remedy.
class StartFailure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A VM: the control thread with its role, and the traffic threads with the proxy role. Calls come from one thread.
class Node
{
public:
    Node() = default;
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;
    /// Stops at once what still runs.
    virtual ~Node() = default;

    /// Opens the data folder and the ports.
    /// \throws StartFailure
    virtual auto start() -> void = 0;

    /// Takes over what may change in the settings while the VM serves: where control VMs are found. The rest waits for a restart.
    virtual auto reload(const settings::Settings &settings) -> void = 0;

    /// Graceful shutdown: cuts no request. Returns once all work is done and everything is closed.
    virtual auto drain() -> void = 0;
};

class Edge;

/// \param edge protocols of the world around; null for the project's own
/// \return the VM, not started
[[nodiscard]] auto makeNode(settings::Settings settings, std::shared_ptr<Edge> edge = nullptr) -> std::unique_ptr<Node>;

} // namespace sapphirespool::node
