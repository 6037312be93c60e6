// loopthread.h: a thread that runs the event loop of Cap'n Proto RPC.
#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace sapphirespool::rpc
{

/// What work on the loop may use. Valid on the loop's thread only, until the loop stops.
struct LoopContext
{
    kj::Network &network;
    kj::Timer &timer;
    kj::LowLevelAsyncIoProvider &lowLevel;
};

/// Work that runs on the loop's thread.
using LoopWork = std::function<void(LoopContext &)>;

/// A thread with a KJ event loop. The control state lives on one; the traffic between proxies has one of its own, so that
/// forwarded statements and heartbeats do not wait for each other.
class LoopThread
{
public:
    /// Starts the thread.
    LoopThread();

    /// Runs what was posted before, then ends the thread.
    ~LoopThread();

    LoopThread(const LoopThread &) = delete;
    auto operator=(const LoopThread &) -> LoopThread & = delete;

    /// Runs \p work on the loop, in the order of the posts. May be called from any thread; does nothing once the loop stops.
    /// Objects that \p work creates on the loop must be destroyed there, by work posted before the destructor runs.
    auto post(LoopWork work) -> void;

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace sapphirespool::rpc
