#include "sapphirespool/Upstreams/positionwatch.h"

#include "sapphirespool/Upstreams/confirmations.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace sapphirespool::upstreams
{

namespace
{

namespace asio = boost::asio;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// How long a member may hold a poll. A group that fell idle costs one more poll of this length, and a poll is told of a new
/// term within it.
constexpr auto pollWait = std::chrono::milliseconds(500);

/// Pause after a poll that failed, so that a member that is down is not asked in a tight loop.
constexpr auto failurePause = std::chrono::milliseconds(50);

using Observer = std::function<void(const GroupId &, const platform::PositionReport &)>;

/// What the watch and its groups share.
struct WatchContext
{
    asio::any_io_executor executor;
    PositionSourceMaker makeSource;
    std::vector<Observer> observers;
};

/// Watches one group. It polls while a write waits, one poll at a time for each member other than the primary.
class GroupWatch : public std::enable_shared_from_this<GroupWatch>
{
public:
    explicit GroupWatch(std::shared_ptr<WatchContext> context)
        : context(std::move(context))
    {
    }

    static auto confirm(std::shared_ptr<GroupWatch> self, Term term, LogPosition position, TimePoint deadline) -> asio::awaitable<Confirmation>
    {
        auto result = self->confirmations.result(term, position);
        if (result) {
            co_return *result;
        }
        const auto waiting = WaitingWrite(self, term, position, deadline);
        self->pollMembers();
        // A member may answer before the wait begins. The cancel that ends the wait would then find none, and the caller would wait until
        // its deadline for a confirmation that is there.
        if (!waiting.entry->outcome) {
            co_await waiting.entry->timer.async_wait(awaitTuple);
        }
        co_return waiting.entry->outcome.value_or(Confirmation::TimedOut);
    }

    auto viewChanged(const membership::GroupView &view) -> void
    {
        this->confirmations.viewChanged(view);
        std::erase_if(this->sources, [&view](const auto &entry) {
            return view.findMember(entry.first) == nullptr;
        });
        this->wakeFinished();
        this->pollMembers();
    }

    /// The group is no longer in the view.
    auto leave() -> void
    {
        auto empty = membership::GroupView();
        empty.id = this->confirmations.view().id;
        this->confirmations.viewChanged(empty);
    }

private:
    struct Write
    {
        Term term;
        LogPosition position;
        asio::steady_timer timer;
        /// Kept from the moment at which it was certain; a later report of the same member may say less.
        std::optional<Confirmation> outcome = {};
    };

    struct MemberSource
    {
        Endpoint endpoint;
        std::shared_ptr<PositionSource> source;
    };

    /// A write in the list; it leaves the list with the caller that waits for it.
    struct WaitingWrite
    {
        std::shared_ptr<GroupWatch> watch;
        std::list<Write>::iterator entry;

        WaitingWrite(std::shared_ptr<GroupWatch> group, Term term, LogPosition position, TimePoint deadline)
            : watch(std::move(group))
            , entry(this->watch->writes.insert(this->watch->writes.end(), Write{term, position, asio::steady_timer(this->watch->context->executor, deadline)}))
        {
        }

        WaitingWrite(const WaitingWrite &) = delete;
        auto operator=(const WaitingWrite &) -> WaitingWrite & = delete;

        ~WaitingWrite()
        {
            this->watch->writes.erase(this->entry);
        }
    };

    auto wakeFinished() -> void
    {
        for (auto &write : this->writes) {
            if (write.outcome) {
                continue;
            }
            write.outcome = this->confirmations.result(write.term, write.position);
            if (write.outcome) {
                write.timer.cancel();
            }
        }
    }

    auto pollMembers() -> void
    {
        if (this->writes.empty()) {
            return;
        }
        const auto &view = this->confirmations.view();
        for (const auto &member : view.members) {
            if (view.primary != member.id && this->polled.insert(member.id).second) {
                asio::co_spawn(this->context->executor, poll(this->shared_from_this(), member.id), asio::detached);
            }
        }
    }

    static auto poll(std::shared_ptr<GroupWatch> self, UpstreamId id) -> asio::awaitable<void>
    {
        while (const auto *const member = self->worthPolling(id)) {
            const auto source = self->sourceOf(*member);
            const auto report = co_await source->poll(self->confirmations.view().term, self->confirmations.known(id), pollWait);
            const auto taken = report && self->take(id, *report);
            if (!taken) {
                auto pause = asio::steady_timer(self->context->executor, failurePause);
                co_await pause.async_wait(awaitTuple);
            }
        }
        self->polled.erase(id);
    }

    /// \return the member, while a write waits and the member may confirm it
    auto worthPolling(const UpstreamId &id) const -> const membership::UpstreamView *
    {
        const auto &view = this->confirmations.view();
        return this->writes.empty() || view.primary == id ? nullptr : view.findMember(id);
    }

    auto take(const UpstreamId &id, const platform::PositionReport &report) -> bool
    {
        if (!this->confirmations.reported(id, report)) {
            return false;
        }
        for (const auto &observer : this->context->observers) {
            observer(this->confirmations.view().id, report);
        }
        this->wakeFinished();
        // A member that is of another term, or follows nobody yet, answers each poll at once; the pause keeps it from being asked
        // in a tight loop.
        return report.term == this->confirmations.view().term.value() && report.role == platform::Role::Replica;
    }

    auto sourceOf(const membership::UpstreamView &member) -> std::shared_ptr<PositionSource>
    {
        auto &entry = this->sources[member.id];
        if (entry.source == nullptr || entry.endpoint != member.endpoint) {
            entry = MemberSource{member.endpoint, this->context->makeSource(member.endpoint)};
        }
        return entry.source;
    }

    std::shared_ptr<WatchContext> context;
    Confirmations confirmations;
    std::list<Write> writes;
    std::unordered_set<UpstreamId> polled;
    /// Kept while the group is idle, so that the next write finds its connection open.
    std::unordered_map<UpstreamId, MemberSource> sources;
};

class MemberPositionWatch : public PositionWatch
{
public:
    MemberPositionWatch(asio::any_io_executor executor, PositionSourceMaker makeSource)
        : context(std::make_shared<WatchContext>(WatchContext{std::move(executor), std::move(makeSource), {}}))
    {
    }

    auto confirm(GroupId group, Term term, LogPosition position, TimePoint deadline) -> asio::awaitable<Confirmation> override
    {
        return GroupWatch::confirm(this->watchOf(group), term, position, deadline);
    }

    auto viewChanged(std::shared_ptr<const membership::ClusterView> view) -> void override
    {
        for (const auto &group : view->groups) {
            this->watchOf(group.id)->viewChanged(group);
        }
        std::erase_if(this->groups, [&view](const auto &entry) {
            const auto gone = view->findGroup(entry.first) == nullptr;
            if (gone) {
                entry.second->leave();
            }
            return gone;
        });
    }

    auto observe(Observer observer) -> void override
    {
        this->context->observers.push_back(std::move(observer));
    }

private:
    auto watchOf(const GroupId &group) -> std::shared_ptr<GroupWatch>
    {
        auto &watch = this->groups[group];
        if (watch == nullptr) {
            watch = std::make_shared<GroupWatch>(this->context);
        }
        return watch;
    }

    std::shared_ptr<WatchContext> context;
    std::unordered_map<GroupId, std::shared_ptr<GroupWatch>> groups;
};

} // namespace

auto makePositionWatch(asio::any_io_executor executor, PositionSourceMaker makeSource) -> std::shared_ptr<PositionWatch>
{
    return std::make_shared<MemberPositionWatch>(std::move(executor), std::move(makeSource));
}

} // namespace sapphirespool::upstreams
