// singleflight.h: suppresses duplicate concurrent requests.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <memory>

namespace sapphirespool::interactive
{

/// Lets one caller fetch a result that several callers need at the same time, while the others wait for it (single flight).
///
/// Load pattern: all proxies reconnect at once, and hundreds of statements need the same position proof. Without this class the primary would
/// handle one exchange per statement. All calls run on the executor.
template <typename Key>
class SingleFlight
{
public:
    explicit SingleFlight(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {
    }

    /// Held by the caller that fetches; its destructor wakes the callers that wait.
    class Flight
    {
    public:
        Flight(SingleFlight &owner, Key key)
            : owner(&owner)
            , key(std::move(key))
        {
        }

        ~Flight()
        {
            this->owner->end(this->key);
        }

        Flight(const Flight &) = delete;
        auto operator=(const Flight &) -> Flight & = delete;

    private:
        SingleFlight *owner;
        Key key;
    };

    /// \return a new flight, or null if another caller already fetches \p key
    auto begin(const Key &key) -> std::unique_ptr<Flight>
    {
        const auto [entry, isFirst] = this->flights.try_emplace(key);
        if (!isFirst) {
            return nullptr;
        }
        entry->second = std::make_shared<boost::asio::steady_timer>(this->executor, boost::asio::steady_timer::time_point::max());
        return std::make_unique<Flight>(*this, key);
    }

    /// Waits until the flight of \p key ends, if there is one.
    auto join(Key key) -> boost::asio::awaitable<void>
    {
        const auto found = this->flights.find(key);
        if (found != this->flights.end()) {
            const auto completion = found->second;
            co_await completion->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
    }

private:
    auto end(const Key &key) -> void
    {
        const auto found = this->flights.find(key);
        found->second->cancel();
        this->flights.erase(found);
    }

    boost::asio::any_io_executor executor;
    std::map<Key, std::shared_ptr<boost::asio::steady_timer>> flights;
};

} // namespace sapphirespool::interactive
