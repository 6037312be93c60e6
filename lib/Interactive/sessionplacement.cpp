// Where a statement of a caller's session runs.
#include "callersession.h"
#include "runvalues.h"

#include "sapphirespool/Support/clock.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

/// Part of the objective that a statement may wait for a link to one member. A caller that is refused then has three quarters left,
/// enough for another attempt at another proxy.
constexpr auto queuePart = 4;

/// Part of the route's time that a statement waits for a primary; the other half is for running it.
constexpr auto promotionPart = 2;

/// Opening a link takes two ways and the upstream's own handshake, some tens of milliseconds; a packet that was lost takes a second.
constexpr auto connectLimit = std::chrono::milliseconds(1'500);

auto acceptsAge(const membership::ServiceView &service) -> bool
{
    return service.consistency == membership::Consistency::BoundedStaleness || service.consistency == membership::Consistency::ReadYourWrites;
}

auto queuePatience(const membership::ServiceView &service) -> Duration
{
    const auto objective = service.objective.count() > 0 ? service.objective : service.timeout;
    return std::min(objective, service.timeout) / queuePart;
}

} // namespace

auto CallerSession::pick(bool needsPrimary, const Work &work, const std::set<UpstreamId> &excluded, const std::optional<Member> &refuted)
    -> asio::awaitable<TargetResult>
{
    return needsPrimary ? this->pickPrimary(work, refuted) : this->pickReader(work, excluded, refuted);
}

auto CallerSession::pickPrimary(const Work &work, const std::optional<Member> &refuted) -> asio::awaitable<TargetResult>
{
    auto primary = co_await this->core->awaitPrimary(work.service.group, refuted, std::min<Duration>(work.left(), work.service.timeout / promotionPart));
    if (!primary) {
        co_return makeFailure(Failure::Busy, "group " + work.service.group.value() + " has no primary", promotionRetry);
    }
    co_return targetAt(*std::move(primary), std::nullopt);
}

auto CallerSession::pickReader(const Work &work, const std::set<UpstreamId> &excluded, const std::optional<Member> &refuted) -> asio::awaitable<TargetResult>
{
    auto needed = this->neededPosition(work.service);
    if (needed) {
        this->core->refreshAgeingProof(work.service.group, work.service.readAge);
    } else if (acceptsAge(work.service)) {
        co_await this->core->refreshProof(work.service.group, work.service.readAge);
        needed = this->neededPosition(work.service);
    }
    if (!needed) {
        co_return co_await this->pickPrimary(work, refuted);
    }
    auto members = this->core->readersOf(work.service.group);
    std::erase_if(members, [&excluded](const Member &member) {
        return excluded.contains(member.upstream.id);
    });
    auto candidates = std::vector<ReadCandidate>();
    for (const auto &member : members) {
        const auto links = this->core->parts.pool->counts(member.upstream.id);
        candidates.push_back({member.upstream.id, member.isPrimary, member.upstream.zone == this->core->parts.zone, links.busy + links.waiting});
    }
    const auto *const chosen = this->core->load.choose(candidates, support::now());
    if (chosen == nullptr) {
        co_return co_await this->pickPrimary(work, refuted);
    }
    const auto member = std::find_if(members.begin(), members.end(), [chosen](const Member &candidate) {
        return candidate.upstream.id == chosen->upstream;
    });
    co_return targetAt(*member, member->isPrimary ? std::nullopt : needed);
}

auto CallerSession::neededPosition(const membership::ServiceView &service) const -> std::optional<DataPosition>
{
    if (!acceptsAge(service)) {
        return std::nullopt;
    }
    auto needed = this->core->proofsOf(service.group).covering(support::now() - service.readAge);
    const auto ownWrites = service.consistency == membership::Consistency::ReadYourWrites && this->lastWrite && this->lastWriteGroup == service.group;
    if (needed && ownWrites) {
        needed = std::max(*needed, *this->lastWrite);
    }
    return needed;
}

auto CallerSession::acquire(const Target &target, const Work &work) -> asio::awaitable<LeaseResult>
{
    const auto patience = std::min<Duration>(queuePatience(work.service), work.left());
    const auto connectTime = std::min<Duration>(connectLimit, work.left());
    auto result = co_await this->core->parts.pool->acquire(target.member.group, target.member.upstream, this->state.values, patience, connectTime);
    if (const auto *const why = std::get_if<FailureReply>(&result); why != nullptr && why->failure != Failure::Busy) {
        this->core->load.failed(target.member.upstream.id, support::now());
    }
    if (const auto *const why = std::get_if<FailureReply>(&result); why != nullptr && why->failure == Failure::Unreachable) {
        this->core->suspect(target.member);
    }
    co_return result;
}

} // namespace sapphirespool::interactive
