// trafficthreads.h: the threads that carry traffic, each with an event loop of its own.
#pragma once

#include "sapphirespool/Http/server.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace sapphirespool::node
{

/// The first loop is the dispatch thread; callers' connections are spread over all of them in turn.
class TrafficThreads
{
public:
    explicit TrafficThreads(std::size_t count);
    ~TrafficThreads();
    TrafficThreads(const TrafficThreads &) = delete;
    auto operator=(const TrafficThreads &) -> TrafficThreads & = delete;

    [[nodiscard]] auto dispatch() const -> boost::asio::any_io_executor;
    [[nodiscard]] auto sessions() -> http::ExecutorSource;

    /// Ends the threads, whatever runs on them. What their loops hold stays until the destructor.
    auto stop() -> void;

    /// Runs \p work on the dispatch thread and waits for its end. What it throws is thrown here.
    auto runOnDispatch(std::function<void()> work) -> void;

private:
    class Loops;
    std::shared_ptr<Loops> loops;
};

} // namespace sapphirespool::node
