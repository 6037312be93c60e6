// singleflight.h: one caller gets what several want.
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

/// Lets callers that want the same thing at the same time wait for the one of them that fetches it (single flight).
///
/// Load pattern: all proxies come back at once, and each of hundreds of statements lacks the same proof. Fetched by each, it would cost
/// the primary as many exchanges as there are statements. All calls come on the executor.
template <typename Key>
class SingleFlight
{
public:
    explicit SingleFlight(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {
    }

    /// The right to fetch; wakes the others as it ends.
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

    /// \return the flight if nobody fetches \p key yet; else null
    auto begin(const Key &key) -> std::unique_ptr<Flight>
    {
        const auto [place, isFirst] = this->flights.try_emplace(key);
        if (!isFirst) {
            return nullptr;
        }
        place->second = std::make_shared<boost::asio::steady_timer>(this->executor, boost::asio::steady_timer::time_point::max());
        return std::make_unique<Flight>(*this, key);
    }

    /// Waits for the flight of \p key to end, if there is one.
    auto join(Key key) -> boost::asio::awaitable<void>
    {
        const auto found = this->flights.find(key);
        if (found != this->flights.end()) {
            const auto landing = found->second;
            co_await landing->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
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
