// gathering.h: waits for several answers that arrive in any order.
#pragma once

#include "sapphirespool/Proxy/wakeup.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace sapphirespool::proxy
{

/// Answers to calls that run side by side. The calls share its ownership, so that a late one finds it alive.
template <typename Answer>
class Gathering : public std::enable_shared_from_this<Gathering<Answer>>
{
public:
    Gathering(boost::asio::any_io_executor executor, std::size_t calls)
        : executor(std::move(executor))
        , wakeup(this->executor)
        , slots(calls)
    {
    }

    /// Runs \p call as the call of number \p index.
    auto spawn(std::size_t index, boost::asio::awaitable<Answer> call) -> void
    {
        boost::asio::co_spawn(this->executor, collect(this->shared_from_this(), index, std::move(call)), boost::asio::detached);
    }

    /// Waits for one more answer; \return false once all are here or \p deadline has passed
    auto waitForOne(TimePoint deadline) -> boost::asio::awaitable<bool>
    {
        const auto self = this->shared_from_this();
        const auto before = this->arrived;
        while (this->arrived == before && this->arrived < this->slots.size()) {
            const auto notified = co_await this->wakeup.wait(deadline);
            if (!notified && this->arrived == before) {
                co_return false;
            }
        }
        co_return this->arrived > before;
    }

    auto waitForAll(TimePoint deadline) -> boost::asio::awaitable<void>
    {
        const auto self = this->shared_from_this();
        while (this->arrived < this->slots.size()) {
            const auto more = co_await this->waitForOne(deadline);
            if (!more) {
                co_return;
            }
        }
    }

    /// \return the answers so far, by number of the call
    [[nodiscard]] auto answers() const -> const std::vector<std::optional<Answer>> &
    {
        return this->slots;
    }

private:
    static auto collect(std::shared_ptr<Gathering> self, std::size_t index, boost::asio::awaitable<Answer> call) -> boost::asio::awaitable<void>
    {
        auto answer = co_await std::move(call);
        self->slots[index] = std::move(answer);
        ++self->arrived;
        self->wakeup.notify();
    }

    boost::asio::any_io_executor executor;
    Wakeup wakeup;
    std::vector<std::optional<Answer>> slots;
    std::size_t arrived = 0;
};

} // namespace sapphirespool::proxy
