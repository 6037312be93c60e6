#include "sapphirespool/Standin/relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <random>
#include <set>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Bytes that are passed on at a time.
constexpr auto chunkSize = std::size_t{16 * 1024};
/// Pause after an accept that failed.
constexpr auto acceptPause = std::chrono::milliseconds(100);

enum class Direction {
    TowardsTarget,
    FromTarget,
};

/// Two connected sockets that end together.
struct Pair
{
    Pair(tcp::socket client, const asio::any_io_executor &executor)
        : client(std::move(client))
        , target(executor)
    {
    }

    /// \param reset whether the ends see a reset in place of an end
    auto close(bool reset) -> void
    {
        for (auto *const socket : {&this->client, &this->target}) {
            auto ignored = boost::system::error_code();
            if (reset) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
    }

    tcp::socket client;
    tcp::socket target;
};

class TroubledRelay : public Relay, public std::enable_shared_from_this<TroubledRelay>
{
public:
    TroubledRelay(const asio::any_io_executor &executor, RelaySettings settings)
        : settings(std::move(settings))
        , executor(executor)
        , acceptor(executor)
        , scheduleTimer(executor)
        , random(this->settings.seed)
    {
    }

    auto start(std::function<void(RelayTrouble)> toldOf) -> Endpoint override
    {
        this->told = std::move(toldOf);
        const auto address = tcp::endpoint(asio::ip::make_address(this->settings.listen.address), this->settings.listen.port);
        this->acceptor.open(address.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(address);
        this->acceptor.listen();
        asio::co_spawn(this->executor, accept(this->shared_from_this()), asio::detached);
        if (this->settings.calm.count() > 0) {
            asio::co_spawn(this->executor, schedule(this->shared_from_this()), asio::detached);
        }
        return {this->settings.listen.address, this->acceptor.local_endpoint().port()};
    }

    auto begin(RelayTrouble trouble) -> void override
    {
        this->present = trouble;
        this->told(trouble);
        if (trouble == RelayTrouble::Resets) {
            this->closeAll(true);
        }
        // Whoever holds bytes looks again whether it still has to.
        for (auto *const holding : this->held) {
            holding->cancel();
        }
    }

    auto stop() -> void override
    {
        auto ignored = boost::system::error_code();
        this->acceptor.close(ignored);
        this->scheduleTimer.cancel();
        this->closeAll(false);
        this->begin(RelayTrouble::None);
    }

private:
    auto closeAll(bool reset) -> void
    {
        for (const auto &pair : this->pairs) {
            pair->close(reset);
        }
    }

    static auto accept(std::shared_ptr<TroubledRelay> self) -> asio::awaitable<void>
    {
        auto pause = asio::steady_timer(self->executor);
        while (self->acceptor.is_open()) {
            auto [error, socket] = co_await self->acceptor.async_accept(awaitTuple);
            if (error) {
                pause.expires_after(acceptPause);
                co_await pause.async_wait(awaitTuple);
                continue;
            }
            const auto pair = std::make_shared<Pair>(std::move(socket), self->executor);
            if (self->present == RelayTrouble::Resets) {
                pair->close(true);
                continue;
            }
            asio::co_spawn(self->executor, connect(self, pair), asio::detached);
        }
    }

    static auto connect(std::shared_ptr<TroubledRelay> self, std::shared_ptr<Pair> pair) -> asio::awaitable<void>
    {
        const auto address = tcp::endpoint(asio::ip::make_address(self->settings.target.address), self->settings.target.port);
        const auto [error] = co_await pair->target.async_connect(address, awaitTuple);
        if (error) {
            pair->close(true);
            co_return;
        }
        self->pairs.insert(pair);
        asio::co_spawn(self->executor, pass(self, pair, Direction::TowardsTarget), asio::detached);
        asio::co_spawn(self->executor, pass(self, pair, Direction::FromTarget), asio::detached);
    }

    static auto pass(std::shared_ptr<TroubledRelay> self, std::shared_ptr<Pair> pair, Direction direction) -> asio::awaitable<void>
    {
        auto &from = direction == Direction::TowardsTarget ? pair->client : pair->target;
        auto &to = direction == Direction::TowardsTarget ? pair->target : pair->client;
        auto chunk = std::array<char, chunkSize>();
        while (true) {
            const auto [readError, size] = co_await from.async_read_some(asio::buffer(chunk), awaitTuple);
            if (readError) {
                break;
            }
            co_await self->hold(direction);
            const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(chunk.data(), size), awaitTuple);
            if (writeError) {
                break;
            }
        }
        // An end passes a silent way no more than bytes do.
        co_await self->hold(direction);
        pair->close(false);
        self->pairs.erase(pair);
    }

    /// Returns once the way lets bytes of \p direction through.
    auto hold(Direction direction) -> asio::awaitable<void>
    {
        auto timer = asio::steady_timer(this->executor);
        if (this->present == RelayTrouble::Delays) {
            timer.expires_after(this->settings.delay);
            co_await timer.async_wait(awaitTuple);
        }
        while (this->present == RelayTrouble::Silent || (this->present == RelayTrouble::OneWay && direction == Direction::TowardsTarget)) {
            timer.expires_at(asio::steady_timer::time_point::max());
            this->held.insert(&timer);
            co_await timer.async_wait(awaitTuple);
            this->held.erase(&timer);
        }
    }

    static auto schedule(std::shared_ptr<TroubledRelay> self) -> asio::awaitable<void>
    {
        constexpr auto kinds = std::array{RelayTrouble::Delays, RelayTrouble::Resets, RelayTrouble::Silent, RelayTrouble::OneWay};
        auto calm = std::exponential_distribution<double>(1.0 / static_cast<double>(self->settings.calm.count()));
        const auto longest = self->settings.longestTrouble.count();
        auto length = std::uniform_int_distribution<std::int64_t>(longest / 10, longest);
        auto kind = std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1);
        while (self->acceptor.is_open()) {
            self->scheduleTimer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(calm(self->random))));
            co_await self->scheduleTimer.async_wait(awaitTuple);
            if (!self->acceptor.is_open()) {
                co_return;
            }
            self->begin(kinds.at(kind(self->random)));
            self->scheduleTimer.expires_after(std::chrono::milliseconds(length(self->random)));
            co_await self->scheduleTimer.async_wait(awaitTuple);
            self->begin(RelayTrouble::None);
        }
    }

    RelaySettings settings;
    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    asio::steady_timer scheduleTimer;
    std::mt19937_64 random;
    std::function<void(RelayTrouble)> told;
    RelayTrouble present = RelayTrouble::None;
    std::set<std::shared_ptr<Pair>> pairs;
    std::set<asio::steady_timer *> held;
};

} // namespace

auto name(RelayTrouble trouble) -> std::string_view
{
    switch (trouble) {
    case RelayTrouble::None:
        return "none";
    case RelayTrouble::Delays:
        return "delays";
    case RelayTrouble::Resets:
        return "resets";
    case RelayTrouble::Silent:
        return "silent";
    case RelayTrouble::OneWay:
        return "one_way";
    }
    return "none";
}

auto makeRelay(const asio::any_io_executor &executor, RelaySettings settings) -> std::shared_ptr<Relay>
{
    return std::make_shared<TroubledRelay>(executor, std::move(settings));
}

} // namespace sapphirespool::standin
