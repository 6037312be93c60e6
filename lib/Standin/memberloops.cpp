#include "memberloops.h"

#include "memberlife.h"

#include "sapphirespool/Http/client.h"
#include "sapphirespool/Platform/codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;

/// The log is asked for anew at least this often, which bounds the age that an idle replica must assume.
constexpr auto longestHold = std::chrono::milliseconds(100);

/// Time for one exchange beyond the hold; a primary that is silent for longer is asked anew.
constexpr auto exchangeTimeout = std::chrono::milliseconds(1000);

/// Pause after a failure, so that a member that is down is not asked in a tight loop.
constexpr auto failurePause = std::chrono::milliseconds(50);

constexpr auto announcementInterval = std::chrono::milliseconds(200);

auto timeNow() -> TimePoint
{
    return std::chrono::steady_clock::now();
}

auto logTarget(const LogRequest &request) -> std::string
{
    return "/v1/log?term=" + std::to_string(request.term) + "&after=" + std::to_string(request.after) + "&lastTerm=" + std::to_string(request.lastTerm)
        + "&wait=" + std::to_string(longestHold.count());
}

/// A connection that is opened when it is needed and given up when its peer changes.
class Link
{
public:
    explicit Link(asio::any_io_executor executor)
        : executor(std::move(executor))
    {
    }

    auto exchange(Endpoint endpoint, http::Request request) -> asio::awaitable<std::optional<http::Response>>
    {
        const auto deadline = timeNow() + longestHold + exchangeTimeout;
        if (this->client == nullptr || !this->client->isOpen() || this->peer != endpoint) {
            this->client = http::makeClientConnection(this->executor);
            this->peer = endpoint;
            const auto error = co_await this->client->connect(std::move(endpoint), deadline);
            if (error) {
                co_return std::nullopt;
            }
        }
        auto result = co_await this->client->exchange(std::move(request), deadline);
        if (result.error) {
            co_return std::nullopt;
        }
        co_return std::move(result.response);
    }

private:
    asio::any_io_executor executor;
    std::shared_ptr<http::ClientConnection> client;
    Endpoint peer;
};

auto pullOnce(std::shared_ptr<MemberLife> life, Link &link, LogRequest request) -> asio::awaitable<bool>
{
    const auto &state = life->core.state();
    const auto primary = Endpoint{state.primaryAddress, state.primaryPort};
    const auto sentAt = timeNow();
    auto message = http::Request(http::Verb::get, logTarget(request), 11);
    const auto response = co_await link.exchange(primary, std::move(message));
    if (!response || life->ended() || !life->reachable()) {
        co_return false;
    }
    const auto reply = parseLogReply(response->body());
    if (!reply || reply->status == LogStatus::WrongTerm) {
        co_return false;
    }
    if (life->settings.replicationDelay > Duration::zero()) {
        co_await life->pause(life->settings.replicationDelay);
    }
    if (!life->ended()) {
        life->accept(request, *reply, sentAt);
    }
    co_return true;
}

auto replicate(asio::any_io_executor executor, std::shared_ptr<MemberLife> life) -> asio::awaitable<void>
{
    auto link = Link(executor);
    while (!life->ended()) {
        co_await life->untilReachable();
        const auto request = life->core.nextRequest();
        if (!request) {
            co_await life->logChanged.wait(TimePoint::max());
            continue;
        }
        const auto done = co_await pullOnce(life, link, *request);
        if (!done && !life->ended()) {
            co_await life->pause(failurePause);
        }
    }
}

auto listed(const MemberLife &life, const Endpoint &proxy) -> bool
{
    return std::find(life.settings.proxies.begin(), life.settings.proxies.end(), proxy) != life.settings.proxies.end();
}

auto announce(asio::any_io_executor executor, std::shared_ptr<MemberLife> life, Endpoint self, Endpoint proxy) -> asio::awaitable<void>
{
    auto link = Link(executor);
    while (!life->ended() && listed(*life, proxy)) {
        co_await life->untilReachable();
        auto message = http::jsonRequest(http::Verb::post, "/v1/announcements", platform::toJson(life->announcement(self)));
        const auto began = timeNow();
        const auto before = life->announcement(self);
        co_await link.exchange(proxy, std::move(message));
        const auto after = life->announcement(self);
        const auto changedMeanwhile = before.term != after.term || before.role != after.role || before.leaving != after.leaving;
        if (!life->ended() && !changedMeanwhile) {
            co_await life->announcementChanged.wait(std::max(began + announcementInterval, timeNow() + failurePause));
        }
    }
}

} // namespace

auto startReplication(const asio::any_io_executor &executor, const std::shared_ptr<MemberLife> &life) -> void
{
    asio::co_spawn(executor, replicate(executor, life), asio::detached);
}

auto startAnnouncing(const asio::any_io_executor &executor, const std::shared_ptr<MemberLife> &life, Endpoint self, Endpoint proxy) -> void
{
    asio::co_spawn(executor, announce(executor, life, std::move(self), std::move(proxy)), asio::detached);
}

} // namespace sapphirespool::standin
