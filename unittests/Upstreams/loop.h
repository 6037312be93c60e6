// loop.h: runs coroutines of a test to their end on one event loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <utility>

namespace sapphirespool::upstreams
{

/// Far beyond what a test waits for; it ends a test that hangs.
inline auto farDeadline() -> std::chrono::steady_clock::time_point
{
    return std::chrono::steady_clock::now() + std::chrono::seconds(30);
}

struct Loop
{
    boost::asio::io_context io;

    auto runUntil(const std::function<bool()> &condition) -> void
    {
        const auto end = farDeadline();
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            this->io.restart();
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
    }

    /// Runs what can run without waiting.
    auto settle() -> void
    {
        this->io.restart();
        this->io.poll();
    }

    template <typename Result>
    auto start(boost::asio::awaitable<Result> work) -> std::future<Result>
    {
        return boost::asio::co_spawn(this->io, std::move(work), boost::asio::use_future);
    }

    template <typename Result>
    auto finish(std::future<Result> &future) -> Result
    {
        this->runUntil([&future] {
            return isReady(future);
        });
        return future.get();
    }

    template <typename Result>
    auto wait(boost::asio::awaitable<Result> work) -> Result
    {
        auto future = this->start(std::move(work));
        return this->finish(future);
    }

    template <typename Result>
    static auto isReady(const std::future<Result> &future) -> bool
    {
        return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }
};

} // namespace sapphirespool::upstreams
