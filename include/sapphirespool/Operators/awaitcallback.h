// awaitcallback.h: lets a coroutine wait for a callback of another thread.
#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace sapphirespool::operators
{

/// Calls \p start with a callback and waits until it is called, once, on any thread; goes on on the coroutine's own executor.
template <typename Outcome, typename Start>
auto awaitCallback(Start start) -> boost::asio::awaitable<Outcome>
{
    auto initiate = [start = std::move(start)](auto handler) mutable {
        auto executor = boost::asio::get_associated_executor(handler);
        auto work = boost::asio::make_work_guard(executor);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto done = std::function<void(Outcome)>([shared, work](Outcome outcome) {
            boost::asio::post(work.get_executor(), [shared, outcome = std::move(outcome)]() mutable {
                (*shared)(std::move(outcome));
            });
        });
        start(std::move(done));
    };
    auto outcome = co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(Outcome)>(std::move(initiate), boost::asio::use_awaitable);
    co_return outcome;
}

} // namespace sapphirespool::operators
