// connectionstate.h: what a connection to an upstream is doing, as a state machine without a socket.
#pragma once

#include "sapphirespool/Platform/messages.h"

#include <memory>

namespace sapphirespool::upstreams
{

/// State of a connection. Only in Idle may another session have it.
enum class ConnectionPhase {
    Connecting,
    Idle,
    Busy,
    /// A transaction is open, and no request is under way.
    InTransaction,
    BusyInTransaction,
    Closed,
};

/// The states and their transitions (Boost.MSM). An event that a state does not allow is a defect and stops the process: a
/// request sent on a busy connection would get another request's answer.
class ConnectionState
{
public:
    ConnectionState();
    ~ConnectionState();
    ConnectionState(const ConnectionState &) = delete;
    auto operator=(const ConnectionState &) -> ConnectionState & = delete;

    auto connected() -> void;
    auto requestSent() -> void;
    /// A whole answer to the request came.
    auto answered(platform::Operation operation, platform::ExecuteStatus status) -> void;
    /// The connection was lost or given up, or an answer was late, crossed or not whole. Allowed in every state.
    auto broken() -> void;

    [[nodiscard]] auto phase() const -> ConnectionPhase;

private:
    class Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace sapphirespool::upstreams
