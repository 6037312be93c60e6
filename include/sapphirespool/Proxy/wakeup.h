// wakeup.h: lets a coroutine wait until another one has something for it.
#pragma once

#include "sapphirespool/Support/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphirespool::proxy
{

/// One waiter at a time; waiter and notifier live on the same thread, so that nothing comes between a check and the wait.
class Wakeup
{
public:
    explicit Wakeup(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    auto notify() -> void
    {
        this->timer.cancel();
    }

    /// \return false if \p deadline passed without a notification
    auto wait(TimePoint deadline) -> boost::asio::awaitable<bool>
    {
        this->timer.expires_at(deadline);
        const auto [error] = co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return error == boost::asio::error::operation_aborted;
    }

private:
    boost::asio::steady_timer timer;
};

} // namespace sapphirespool::proxy
