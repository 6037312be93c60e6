#include "sapphirespool/Standin/member.h"

#include "memberhandler.h"
#include "memberlife.h"
#include "memberloops.h"

#include "sapphirespool/Support/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cassert>
#include <random>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;

/// A seed of its own for each start: with a data folder the process restarts under the same settings.
auto incarnationSource(const MemberSettings &settings) -> std::mt19937_64
{
    const auto name = std::hash<std::string>{}(settings.id.value());
    if (settings.dataFolder.empty()) {
        return std::mt19937_64(settings.seed ^ name);
    }
    return std::mt19937_64(std::random_device{}() ^ name);
}

class TcpMember : public Member, public std::enable_shared_from_this<TcpMember>
{
public:
    TcpMember(asio::any_io_executor executor, MemberSettings settings)
        : executor(std::move(executor))
        , given(std::move(settings))
        , store(this->given.dataFolder.empty() ? makeMemoryStore() : makeFileStore(this->given.dataFolder))
        , incarnations(incarnationSource(this->given))
    {
    }

    auto start() -> Endpoint override
    {
        assert(this->life == nullptr && "a member starts once before each stop");
        // JSON carries whole numbers up to 2^53 through every reader.
        constexpr auto largestIncarnation = (std::uint64_t{1} << 53) - 1;
        const auto incarnation = Incarnation(this->incarnations() & largestIncarnation);
        this->life = std::make_shared<MemberLife>(this->executor, this->given, incarnation, this->store);
        this->life->leaving = this->leaving;
        this->server = this->makeServer();
        this->bound = this->server->listen(this->bound.value_or(this->given.listen));
        startReplication(this->executor, this->life);
        for (const auto &proxy : this->given.proxies) {
            startAnnouncing(this->executor, this->life, *this->bound, proxy);
        }
        support::log(support::Event::StandinStarted, {{"upstream", this->given.id.value()}, {"port", std::uint64_t{this->bound->port}}});
        return *this->bound;
    }

    auto stop() -> void override
    {
        if (this->life == nullptr) {
            return;
        }
        this->server->close();
        this->server.reset();
        this->life->end();
        this->past = this->counts();
        this->life.reset();
    }

    auto setFaults(const Faults &faults) -> void override
    {
        ++this->faultsSet;
        if (faults.member == MemberFault::Stopped) {
            this->stop();
        } else if (this->life == nullptr) {
            this->start();
        }
        if (this->life != nullptr) {
            this->life->setFaults(faults);
        }
        if (faults.forMs > 0) {
            asio::co_spawn(this->executor, heal(this->shared_from_this(), this->faultsSet, std::chrono::milliseconds(faults.forMs)), asio::detached);
        }
    }

    auto setLeaving(bool nowLeaving) -> void override
    {
        this->leaving = nowLeaving;
        if (this->life != nullptr) {
            this->life->leaving = nowLeaving;
            this->life->announcementChanged.notify();
        }
    }

    auto setLag(std::chrono::milliseconds lag) -> void override
    {
        this->given.lag = lag;
        if (this->life != nullptr) {
            this->life->core.setLag(lag);
        }
    }

    auto setServiceTime(std::chrono::microseconds serviceTime) -> void override
    {
        this->given.serviceTime = serviceTime;
        if (this->life != nullptr) {
            this->life->settings.serviceTime = serviceTime;
        }
    }

    auto setProxies(std::vector<Endpoint> proxies) -> void override
    {
        const auto earlier = std::exchange(this->given.proxies, std::move(proxies));
        if (this->life == nullptr) {
            return;
        }
        this->life->settings.proxies = this->given.proxies;
        for (const auto &proxy : this->given.proxies) {
            if (std::find(earlier.begin(), earlier.end(), proxy) == earlier.end()) {
                startAnnouncing(this->executor, this->life, *this->bound, proxy);
            }
        }
    }

    auto promote(const platform::PromoteRequest &request) -> bool override
    {
        return this->life != nullptr && this->life->promote(request).has_value();
    }

    auto follow(const platform::FollowRequest &request) -> bool override
    {
        return this->life != nullptr && this->life->follow(request).has_value();
    }

    [[nodiscard]] auto settings() const -> const MemberSettings & override
    {
        return this->given;
    }

    [[nodiscard]] auto endpoint() const -> Endpoint override
    {
        return this->bound.value_or(this->given.listen);
    }

    [[nodiscard]] auto report() -> platform::PositionReport override
    {
        return this->life == nullptr ? platform::PositionReport() : this->life->report();
    }

    [[nodiscard]] auto counts() const -> MemberCounts override
    {
        auto sum = this->past;
        if (this->life != nullptr) {
            const auto &present = this->life->counts;
            sum.statements += present.statements;
            sum.positionPolls += present.positionPolls;
            sum.mostRunning = std::max(sum.mostRunning, present.mostRunning);
            sum.mostConnections = std::max(sum.mostConnections, present.mostConnections);
        }
        return sum;
    }

private:
    auto makeServer() -> std::shared_ptr<http::Server>
    {
        auto setLater = [weak = this->weak_from_this(), executor = this->executor](const Faults &faults) {
            // The answer to the request goes out before the fault it asked for begins.
            asio::post(executor, [weak, faults] {
                if (const auto self = weak.lock()) {
                    self->setFaults(faults);
                }
            });
        };
        const auto sessions = [executor = this->executor] {
            return executor;
        };
        return http::makeServer(this->executor, sessions, http::ServerLimits(), makeLifeHandler(this->life, std::move(setLater)));
    }

    static auto heal(std::shared_ptr<TcpMember> self, std::uint64_t fault, std::chrono::milliseconds after) -> asio::awaitable<void>
    {
        auto timer = asio::steady_timer(self->executor, after);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (self->faultsSet == fault) {
            self->setFaults(Faults());
        }
    }

    asio::any_io_executor executor;
    MemberSettings given;
    std::shared_ptr<MemberStore> store;
    std::mt19937_64 incarnations;
    std::shared_ptr<MemberLife> life;
    std::shared_ptr<http::Server> server;
    std::optional<Endpoint> bound;
    MemberCounts past;
    std::uint64_t faultsSet = 0;
    bool leaving = false;
};

} // namespace

auto makeMember(asio::any_io_executor executor, MemberSettings settings) -> std::shared_ptr<Member>
{
    return std::make_shared<TcpMember>(std::move(executor), std::move(settings));
}

auto formGroup(std::span<const std::shared_ptr<Member>> members, Term term) -> void
{
    assert(!members.empty() && "a group has a primary");
    const auto &primary = members.front();
    const auto keptUpTo = primary->report().position;
    const auto promoted = primary->promote(platform::PromoteRequest{term.value()});
    assert(promoted && "the first member takes the term");
    const auto endpoint = primary->endpoint();
    for (const auto &replica : members.subspan(1)) {
        const auto followed = replica->follow({term.value(), primary->settings().id.value(), endpoint.address, endpoint.port, keptUpTo});
        assert(followed && "the other members follow");
    }
}

} // namespace sapphirespool::standin
