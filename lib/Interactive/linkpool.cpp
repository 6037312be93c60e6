#include "sapphirespool/Interactive/linkpool.h"

#include "runvalues.h"
#include "singleflight.h"

#include "sapphirespool/Support/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Links that a proxy may open before it knows its share of an upstream's connections.
constexpr auto firstLimit = std::size_t{1};

/// A session that waits for a link.
struct Waiter
{
    explicit Waiter(const asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    /// The link that came free.
    std::shared_ptr<UpstreamLink> link;
    /// Whether a place came free in which a link may be opened; the place is taken for this waiter.
    bool mayOpen = false;
};

/// The links to one upstream.
struct Place
{
    std::size_t limit = firstLimit;
    /// Most recently used last.
    std::vector<std::shared_ptr<UpstreamLink>> idle;
    std::size_t busy = 0;
    std::deque<std::shared_ptr<Waiter>> waiters;
    bool retired = false;
    /// The newest that the upstream gave.
    std::optional<PositionProof> proof = {};

    [[nodiscard]] auto hasRoom() const -> bool
    {
        return this->idle.size() + this->busy < this->limit;
    }
};

auto busyReply(std::string detail) -> FailureReply
{
    // A link is held for some statements of tens of milliseconds; a caller that comes back sooner finds the same queue.
    constexpr auto comeBack = std::chrono::milliseconds(50);
    return {Failure::Busy, std::move(detail), comeBack};
}

class PlainLinkPool : public LinkPool, public std::enable_shared_from_this<PlainLinkPool>
{
public:
    PlainLinkPool(std::shared_ptr<LinkConnector> connector, asio::any_io_executor executor)
        : connector(std::move(connector))
        , executor(std::move(executor))
        , proving(this->executor)
    {
    }

    auto acquire(GroupId group, membership::UpstreamView upstream, const SessionValues &wanted, Duration patience, Duration connectLimit)
        -> asio::awaitable<LeaseResult> override
    {
        const auto self = this->shared_from_this();
        auto &place = this->places[upstream.id];
        place.retired = false;
        if (place.waiters.empty()) {
            if (auto link = takeIdle(place, wanted)) {
                ++place.busy;
                co_return this->lease(upstream.id, std::move(link));
            }
            if (place.hasRoom()) {
                ++place.busy;
                co_return co_await this->open(std::move(group), std::move(upstream), connectLimit);
            }
        }
        if (place.waiters.size() >= waitingLimit) {
            co_return busyReply("too many statements wait for a connection to " + upstream.id.value());
        }
        const auto waiter = std::make_shared<Waiter>(this->executor);
        place.waiters.push_back(waiter);
        waiter->timer.expires_after(patience);
        co_await waiter->timer.async_wait(awaitTuple);
        if (waiter->link != nullptr) {
            co_return this->lease(upstream.id, std::move(waiter->link));
        }
        if (waiter->mayOpen) {
            co_return co_await this->open(std::move(group), std::move(upstream), connectLimit);
        }
        auto &waiters = this->places[upstream.id].waiters;
        std::erase(waiters, waiter);
        co_return busyReply("no connection to " + upstream.id.value() + " came free in time");
    }

    auto probe(GroupId group, membership::UpstreamView upstream, Duration limit) -> asio::awaitable<std::optional<FailureReply>> override
    {
        const auto self = this->shared_from_this();
        auto result = co_await this->connector->connect(std::move(group), std::move(upstream), limit);
        if (auto *const link = std::get_if<std::shared_ptr<UpstreamLink>>(&result)) {
            (*link)->close();
            co_return std::nullopt;
        }
        co_return std::get<FailureReply>(std::move(result));
    }

    auto prove(GroupId group, membership::UpstreamView upstream, Duration oldest, Duration limit)
        -> asio::awaitable<std::optional<PositionProof>> override
    {
        const auto self = this->shared_from_this();
        const auto id = upstream.id;
        if (auto known = this->provenSince(id, support::now() - oldest)) {
            co_return known;
        }
        const auto asked = support::now();
        const auto flight = this->proving.begin(id);
        if (flight == nullptr) {
            co_await this->proving.join(id);
            co_return this->provenSince(id, asked - oldest);
        }
        auto leased = co_await this->acquire(std::move(group), std::move(upstream), SessionValues(), limit, limit);
        auto *const lease = std::get_if<LinkLease>(&leased);
        if (lease == nullptr) {
            co_return std::nullopt;
        }
        auto proof = co_await proveOn(*lease, limit);
        if (proof) {
            this->places[id].proof = proof;
        }
        co_return proof;
    }

    auto setLimit(const UpstreamId &upstream, std::size_t limit) -> void override
    {
        auto &place = this->places[upstream];
        place.limit = limit;
        while (!place.idle.empty() && place.idle.size() + place.busy > limit) {
            place.idle.front()->close();
            place.idle.erase(place.idle.begin());
        }
        this->serveWaiters(place);
        this->forgetIfUnused(upstream);
    }

    auto retire(const UpstreamId &upstream) -> void override
    {
        const auto found = this->places.find(upstream);
        if (found == this->places.end()) {
            return;
        }
        auto &place = found->second;
        place.retired = true;
        for (const auto &link : place.idle) {
            link->close();
        }
        place.idle.clear();
    }

    [[nodiscard]] auto counts(const UpstreamId &upstream) const -> LinkCounts override
    {
        const auto found = this->places.find(upstream);
        return found == this->places.end() ? LinkCounts() : countsOf(found->second);
    }

    [[nodiscard]] auto counts() const -> LinkCounts override
    {
        auto sum = LinkCounts();
        for (const auto &[id, place] : this->places) {
            const auto part = countsOf(place);
            sum.idle += part.idle;
            sum.busy += part.busy;
            sum.waiting += part.waiting;
        }
        return sum;
    }

private:
    static auto countsOf(const Place &place) -> LinkCounts
    {
        return {place.idle.size(), place.busy, place.waiters.size()};
    }

    static auto takeIdle(Place &place, const SessionValues &wanted) -> std::shared_ptr<UpstreamLink>
    {
        std::erase_if(place.idle, [](const std::shared_ptr<UpstreamLink> &link) {
            if (!link->isUsable()) {
                link->close();
                return true;
            }
            return false;
        });
        if (place.idle.empty()) {
            return nullptr;
        }
        auto found = std::find_if(place.idle.rbegin(), place.idle.rend(), [&wanted](const std::shared_ptr<UpstreamLink> &link) {
            return link->state.values == wanted;
        });
        if (found == place.idle.rend()) {
            found = place.idle.rbegin();
        }
        auto link = std::move(*found);
        place.idle.erase(std::next(found).base());
        return link;
    }

    [[nodiscard]] auto provenSince(const UpstreamId &upstream, TimePoint moment) const -> std::optional<PositionProof>
    {
        const auto found = this->places.find(upstream);
        const auto covers = found != this->places.end() && found->second.proof && found->second.proof->sent >= moment;
        return covers ? found->second.proof : std::nullopt;
    }

    static auto proveOn(LinkLease &lease, Duration limit) -> asio::awaitable<std::optional<PositionProof>>
    {
        const auto commands = std::vector<Command>{commandOfKind(CommandKind::Begin), commandOfKind(CommandKind::Rollback)};
        const auto exchange = co_await lease.link().exchange(commands, limit);
        if (exchange.results.size() < commands.size() || exchange.results.back().status != TransactionStatus::None) {
            co_return std::nullopt;
        }
        lease.giveBack();
        const auto &begun = exchange.results.front();
        if (begun.failure || !begun.position) {
            co_return std::nullopt;
        }
        co_return PositionProof{exchange.sentAt, *begun.position};
    }

    auto lease(const UpstreamId &upstream, std::shared_ptr<UpstreamLink> link) -> LeaseResult
    {
        return LinkLease(this->weak_from_this(), upstream, std::move(link));
    }

    /// Opens a link in a place that is taken for it.
    auto open(GroupId group, membership::UpstreamView upstream, Duration limit) -> asio::awaitable<LeaseResult>
    {
        const auto id = upstream.id;
        auto result = co_await this->connector->connect(std::move(group), std::move(upstream), limit);
        if (auto *const link = std::get_if<std::shared_ptr<UpstreamLink>>(&result)) {
            co_return this->lease(id, std::move(*link));
        }
        auto &place = this->places[id];
        --place.busy;
        this->serveWaiters(place);
        co_return std::get<FailureReply>(std::move(result));
    }

    auto returned(const UpstreamId &upstream, std::shared_ptr<UpstreamLink> link, bool clean) -> void override
    {
        auto &place = this->places[upstream];
        --place.busy;
        const auto keep = clean && !place.retired && place.idle.size() + place.busy < place.limit && link->isUsable();
        if (keep) {
            place.idle.push_back(std::move(link));
        } else {
            link->close();
        }
        this->serveWaiters(place);
        this->forgetIfUnused(upstream);
    }

    auto forgetIfUnused(const UpstreamId &upstream) -> void
    {
        const auto &place = this->places[upstream];
        if (place.limit == 0 && place.idle.empty() && place.busy == 0 && place.waiters.empty()) {
            this->places.erase(upstream);
        }
    }

    auto serveWaiters(Place &place) -> void
    {
        while (!place.waiters.empty() && (!place.idle.empty() || place.hasRoom())) {
            const auto waiter = std::move(place.waiters.front());
            place.waiters.pop_front();
            if (!place.idle.empty()) {
                waiter->link = std::move(place.idle.back());
                place.idle.pop_back();
            } else {
                waiter->mayOpen = true;
            }
            ++place.busy;
            waiter->timer.cancel();
        }
    }

    std::shared_ptr<LinkConnector> connector;
    asio::any_io_executor executor;
    std::map<UpstreamId, Place> places;
    SingleFlight<UpstreamId> proving;
};

} // namespace

LinkLease::LinkLease(std::weak_ptr<LinkPool> pool, UpstreamId upstream, std::shared_ptr<UpstreamLink> link)
    : pool(std::move(pool))
    , upstreamId(std::move(upstream))
    , held(std::move(link))
{
}

LinkLease::~LinkLease()
{
    this->drop();
}

auto LinkLease::operator=(LinkLease &&other) noexcept -> LinkLease &
{
    if (this != &other) {
        this->drop();
        this->pool = std::move(other.pool);
        this->upstreamId = std::move(other.upstreamId);
        this->held = std::move(other.held);
    }
    return *this;
}

auto LinkLease::link() const -> UpstreamLink &
{
    return *this->held;
}

auto LinkLease::upstream() const -> const UpstreamId &
{
    return this->upstreamId;
}

auto LinkLease::giveBack() -> void
{
    if (const auto owner = this->pool.lock(); owner != nullptr && this->held != nullptr) {
        owner->returned(this->upstreamId, std::exchange(this->held, nullptr), true);
    }
}

auto LinkLease::drop() -> void
{
    if (this->held == nullptr) {
        return;
    }
    const auto link = std::exchange(this->held, nullptr);
    if (const auto owner = this->pool.lock()) {
        owner->returned(this->upstreamId, link, false);
    } else {
        link->close();
    }
}

auto makeLinkPool(std::shared_ptr<LinkConnector> connector, boost::asio::any_io_executor executor) -> std::shared_ptr<LinkPool>
{
    return std::make_shared<PlainLinkPool>(std::move(connector), std::move(executor));
}

} // namespace sapphirespool::interactive
