// Placement: picks the group member at which a statement runs and acquires a connection to it.
#include "callersession.h"
#include "sessionhelpers.h"

#include "sapphirespool/Decisions/affinity.h"
#include "sapphirespool/Support/clock.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

/// A read waits for a connection to a replica for at most the service's latency objective divided by this; three quarters are left for
/// another member.
constexpr auto replicaWaitDivisor = 4;

/// A statement waits for the primary, or for one to be promoted, for at most the service's timeout divided by this; the other half is left
/// to run it. No other proxy can serve it sooner, and a caller that is refused only retries into the same queue, with one attempt fewer.
constexpr auto primaryWaitDivisor = 2;

/// Delay before a statement is retried at a primary that did not run it, unless a new view arrives first. Without it all attempts would
/// be used up within a millisecond, while control needs some hundred milliseconds to detect a lost primary, and a full queue some ten
/// milliseconds to shrink.
constexpr auto primaryRetryDelay = std::chrono::milliseconds(100);

/// Opening a connection takes two round trips and the upstream's own handshake: some tens of milliseconds, on a busy upstream some more.
/// If it is not open in this time, another proxy or member is tried; waiting for the retransmission of a lost packet would take a second.
constexpr auto connectLimit = std::chrono::milliseconds(400);

auto acceptsStaleReads(const membership::ServiceView &service) -> bool
{
    return service.consistency == membership::Consistency::BoundedStaleness || service.consistency == membership::Consistency::ReadYourWrites;
}

/// \return the replica to which connections for \p customer are kept open
auto preferredReplica(std::span<const Member> members, const CustomerId &customer) -> UpstreamId
{
    auto preferred = UpstreamId();
    auto highest = std::uint64_t{0};
    for (const auto &member : members) {
        const auto score = member.isPrimary ? 0 : decisions::affinity(customer, member.upstream.id.value());
        if (score > highest) {
            highest = score;
            preferred = member.upstream.id;
        }
    }
    return preferred;
}

auto queueWaitLimit(const membership::ServiceView &service, bool atPrimary) -> Duration
{
    return atPrimary ? service.timeout / primaryWaitDivisor : objectiveOf(service) / replicaWaitDivisor;
}

} // namespace

auto CallerSession::pick(bool needsPrimary, const StatementContext &context, const std::set<UpstreamId> &excluded, const std::optional<Member> &stalePrimary)
    -> asio::awaitable<TargetResult>
{
    return needsPrimary ? this->pickPrimary(context, excluded, stalePrimary) : this->pickReader(context, excluded, stalePrimary);
}

auto CallerSession::pickPrimary(const StatementContext &context, const std::set<UpstreamId> &tried, const std::optional<Member> &stalePrimary)
    -> asio::awaitable<TargetResult>
{
    if (const auto known = this->core->primaryOf(context.service.group); known && tried.contains(known->upstream.id) && !stalePrimary) {
        co_await this->core->awaitViewChange(this->core->whileForwarding(std::min<Duration>(primaryRetryDelay, context.remaining())));
    }
    const auto waitLimit = this->core->whileForwarding(std::min<Duration>(context.remaining(), context.service.timeout / primaryWaitDivisor));
    auto primary = co_await this->core->awaitPrimary(context.service.group, stalePrimary, waitLimit);
    if (!primary) {
        co_return makeFailure(Failure::Busy, "group " + context.service.group.value() + " has no primary", promotionRetryAfter);
    }
    co_return makeTarget(*std::move(primary), std::nullopt);
}

auto CallerSession::pickReader(const StatementContext &context, const std::set<UpstreamId> &excluded, const std::optional<Member> &stalePrimary)
    -> asio::awaitable<TargetResult>
{
    auto needed = this->neededPosition(context.service);
    if (needed) {
        this->core->refreshAgeingProof(context.service.group, context.service.readAge);
    } else if (acceptsStaleReads(context.service)) {
        co_await this->core->refreshProof(context.service.group, context.service.readAge);
        needed = this->neededPosition(context.service);
    }
    if (!needed) {
        co_return co_await this->pickPrimary(context, excluded, stalePrimary);
    }
    auto members = this->core->readersOf(context.service.group);
    std::erase_if(members, [&excluded](const Member &member) {
        return excluded.contains(member.upstream.id);
    });
    const auto preferred = preferredReplica(members, context.customer);
    auto candidates = std::vector<ReadCandidate>();
    for (const auto &member : members) {
        const auto connections = this->core->parts.pool->counts(member.upstream.id);
        candidates.push_back({member.upstream.id,
                              member.isPrimary,
                              member.upstream.zone == this->core->parts.zone,
                              connections.busy + connections.waiting,
                              context.customer.value().empty() || member.upstream.id == preferred});
    }
    const auto *const chosen = this->core->load.choose(candidates, support::now());
    if (chosen == nullptr) {
        co_return co_await this->pickPrimary(context, excluded, stalePrimary);
    }
    const auto member = std::find_if(members.begin(), members.end(), [chosen](const Member &candidate) {
        return candidate.upstream.id == chosen->upstream;
    });
    co_return makeTarget(*member, member->isPrimary ? std::nullopt : needed);
}

auto CallerSession::neededPosition(const membership::ServiceView &service) const -> std::optional<DataPosition>
{
    if (!acceptsStaleReads(service)) {
        return std::nullopt;
    }
    auto needed = this->core->proofsOf(service.group).covering(support::now() - service.readAge);
    const auto ownWrites = service.consistency == membership::Consistency::ReadYourWrites && this->lastWrite && this->lastWriteGroup == service.group;
    if (needed && ownWrites) {
        needed = std::max(*needed, *this->lastWrite);
    }
    return needed;
}

auto CallerSession::acquire(const Target &target, const StatementContext &context) -> asio::awaitable<LeaseResult>
{
    auto request = ConnectionRequest();
    request.customer = context.customer;
    request.values = this->state.values;
    const auto remaining = this->core->whileForwarding(context.remaining());
    request.waitLimit = std::min<Duration>(queueWaitLimit(context.service, target.member.isPrimary), remaining);
    request.connectLimit = std::min<Duration>(connectLimit, remaining);
    request.objective = objectiveOf(context.service);
    request.priority = context.service.priority;
    auto result = co_await this->core->parts.pool->acquire(target.member.group, target.member.upstream, std::move(request));
    if (const auto *const why = std::get_if<FailureReply>(&result); why != nullptr && why->failure != Failure::Busy) {
        this->core->load.failed(target.member.upstream.id, support::now());
    }
    if (const auto *const why = std::get_if<FailureReply>(&result); why != nullptr && why->failure == Failure::Unreachable) {
        // This result may come from another proxy that owns the connections, or from a recent attempt. Control counts what the proxies
        // of several availability zones observe themselves, so this proxy probes the member before it reports a suspicion.
        this->core->probe(target.member, false);
    }
    co_return result;
}

} // namespace sapphirespool::interactive
