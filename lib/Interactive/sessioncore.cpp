#include "sessioncore.h"

#include "sapphirespool/Support/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Control counts suspicions of two seconds together; more than a few of them in that time say nothing new.
constexpr auto suspicionSpacing = std::chrono::milliseconds(300);

auto memberOf(const membership::GroupView &group, const membership::UpstreamView &upstream) -> Member
{
    return {group.id, group.term, upstream, group.primary == upstream.id};
}

} // namespace

SessionCore::SessionCore(SessionServiceParts givenParts)
    : parts(std::move(givenParts))
    , view(this->parts.views->current())
{
    this->viewChanged();
}

auto SessionCore::viewChanged() -> void
{
    const auto former = std::exchange(this->view, this->parts.views->current());
    this->services.clear();
    for (const auto &service : this->view->services) {
        this->services.emplace(service.id.value(), &service);
    }
    this->retireLinks(*former);
    for (auto *const timer : this->waiting) {
        timer->cancel();
    }
}

auto SessionCore::findService(std::string_view database) const -> const membership::ServiceView *
{
    const auto found = this->services.find(database);
    return found == this->services.end() ? nullptr : found->second;
}

auto SessionCore::hasCurrentView() const -> bool
{
    return this->view->configuration > Revision(0) && this->parts.views->leaseLive(support::now());
}

auto SessionCore::primaryOf(const GroupId &group) const -> std::optional<Member>
{
    const auto *const found = this->findGroup(group);
    const auto *const primary = found == nullptr ? nullptr : found->primaryMember();
    return primary == nullptr ? std::nullopt : std::optional(memberOf(*found, *primary));
}

auto SessionCore::readersOf(const GroupId &group) const -> std::vector<Member>
{
    auto members = std::vector<Member>();
    const auto *const found = this->findGroup(group);
    if (found == nullptr) {
        return members;
    }
    for (const auto &upstream : found->members) {
        if (!upstream.leaving) {
            members.push_back(memberOf(*found, upstream));
        }
    }
    return members;
}

auto SessionCore::awaitPrimary(GroupId group, std::optional<Member> refuted, Duration patience) -> asio::awaitable<std::optional<Member>>
{
    const auto self = this->shared_from_this();
    auto timer = asio::steady_timer(this->parts.executor);
    const auto until = std::chrono::steady_clock::now() + patience;
    while (true) {
        auto primary = this->primaryOf(group);
        const auto isOther = primary && (!refuted || refuted->term != primary->term || refuted->upstream.id != primary->upstream.id);
        if (isOther) {
            co_return primary;
        }
        if (std::chrono::steady_clock::now() >= until) {
            co_return std::nullopt;
        }
        timer.expires_at(until);
        this->waiting.insert(&timer);
        co_await timer.async_wait(awaitTuple);
        this->waiting.erase(&timer);
    }
}

auto SessionCore::suspect(const Member &member) -> void
{
    if (!member.isPrimary || this->parts.control == nullptr) {
        return;
    }
    const auto now = support::now();
    auto &last = this->suspected[member.upstream.id];
    if (now - last < suspicionSpacing) {
        return;
    }
    last = now;
    this->parts.control->suspect({member.group, member.term, member.upstream.id});
}

auto SessionCore::proofsOf(const GroupId &group) -> PositionProofs &
{
    return this->proofs[group];
}

auto SessionCore::findGroup(const GroupId &group) const -> const membership::GroupView *
{
    return this->view->findGroup(group);
}

auto SessionCore::retireLinks(const membership::ClusterView &former) -> void
{
    for (const auto &group : former.groups) {
        const auto *const present = this->findGroup(group.id);
        for (const auto &member : group.members) {
            const auto *const still = present == nullptr ? nullptr : present->findMember(member.id);
            if (still == nullptr || still->incarnation != member.incarnation) {
                this->parts.pool->retire(member.id);
            }
        }
    }
    for (const auto &group : this->view->groups) {
        for (const auto &member : group.members) {
            // A primary that leaves is the only one that takes writes until another one is promoted.
            if (member.leaving && group.primary != member.id) {
                this->parts.pool->retire(member.id);
            }
        }
    }
}

} // namespace sapphirespool::interactive
