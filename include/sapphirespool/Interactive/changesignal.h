// changesignal.h: wakes coroutines when what they wait for may have changed.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>
#include <utility>

namespace sapphirespool::interactive
{

/// Coroutines wait for a change, each until a time of its own. All calls come on the executor; the signal outlives its waiters.
class ChangeSignal
{
public:
    explicit ChangeSignal(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {
    }

    /// Waits for the next notify(), until \p until at most. The condition may not hold afterwards; the caller looks again.
    auto wait(boost::asio::steady_timer::time_point until) -> boost::asio::awaitable<void>
    {
        auto timer = boost::asio::steady_timer(this->executor, until);
        this->waiting.insert(&timer);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        this->waiting.erase(&timer);
    }

    /// Wakes all that wait.
    auto notify() -> void
    {
        for (auto *const timer : this->waiting) {
            timer->cancel();
        }
    }

private:
    boost::asio::any_io_executor executor;
    std::set<boost::asio::steady_timer *> waiting;
};

} // namespace sapphirespool::interactive
