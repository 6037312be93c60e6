// signal.h: wakes coroutines of one executor.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>
#include <utility>

namespace sapphirespool::support
{

/// A condition that many coroutines wait for. All calls on the executor; the signal outlives its waiters.
class Signal
{
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {
    }

    /// Returns at the next notify(), or at \p deadline. The condition may not hold then; the caller looks again.
    auto wait(TimePoint deadline) -> boost::asio::awaitable<void>
    {
        const auto place = this->waiting.emplace(this->waiting.end(), this->executor, deadline);
        co_await place->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        this->waiting.erase(place);
    }

    /// Wakes all that wait.
    auto notify() -> void
    {
        for (auto &timer : this->waiting) {
            timer.cancel();
        }
    }

private:
    boost::asio::any_io_executor executor;
    std::list<boost::asio::steady_timer> waiting;
};

} // namespace sapphirespool::support
