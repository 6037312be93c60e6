#include "sessioncore.h"

#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace sapphirespool::interactive
{

namespace
{

namespace asio = boost::asio;

/// Retry delay for a caller that connects before the first view: control sends a started proxy its view within a few hundred milliseconds.
constexpr auto noViewRetryAfter = std::chrono::milliseconds(500);

/// How often upstreams are checked for unresponsiveness while statements are in progress.
constexpr auto watchInterval = std::chrono::milliseconds(50);

/// Timeout of a probe. A healthy upstream accepts a connection within some tens of milliseconds, an overloaded one within some more.
/// This timeout plus the unresponsive period before the probe stays well below the second that a promotion itself takes.
constexpr auto probeTimeout = std::chrono::milliseconds(400);

/// Timeout of a position proof. A proof takes one round trip to the primary, and some tens of milliseconds more if a connection must be
/// opened first. A read that would wait longer is served sooner by the primary.
constexpr auto proofTimeout = std::chrono::milliseconds(100);

/// A proof is replaced after the accepted age divided by this, so that the new one arrives before the old one expires.
constexpr auto proofAgeingDivisor = 2;

/// Backoff after a primary gave no proof. Reads go to the primary in that time.
constexpr auto proofBackoff = std::chrono::milliseconds(100);

/// Control sends a started proxy its view within a few hundred milliseconds of its own start.
constexpr auto firstViewWaitLimit = std::chrono::milliseconds(400);

/// Age of the last contact with control above which control counts as unreachable. Control answers five times a second, and a broken
/// connection to it is reopened within half of this time.
constexpr auto contactTimeout = std::chrono::milliseconds(1'000);

/// Minimum time from a probe of a primary to the next one that requires no greeting. Statements that find the same primary unreachable at
/// the same time share one probe.
constexpr auto minProbeInterval = std::chrono::milliseconds(100);

/// Control evaluates the suspicions of two seconds together; more than a few per proxy in that time add no information.
constexpr auto minSuspicionInterval = std::chrono::milliseconds(300);

/// \return the first bytes of \p digest in hexadecimal, which operators compare with those of the keys that they gave out
auto shortDigest(const membership::KeyDigest &digest) -> std::string
{
    constexpr auto shownBytes = std::size_t{4};
    auto text = std::ostringstream();
    for (const auto byte : digest.value().substr(0, shownBytes)) {
        text << std::hex << std::setw(2) << std::setfill('0') << static_cast<unsigned>(static_cast<unsigned char>(byte));
    }
    return text.str();
}

auto presentUpstreams(const membership::ClusterView &view) -> std::set<UpstreamId>
{
    auto present = std::set<UpstreamId>();
    for (const auto &group : view.groups) {
        for (const auto &member : group.members) {
            present.insert(member.id);
        }
    }
    return present;
}

auto memberOf(const membership::GroupView &group, const membership::UpstreamView &upstream) -> Member
{
    return {group.id, group.term, upstream, group.primary == upstream.id};
}

} // namespace

SessionCore::SessionCore(SessionServiceDependencies givenParts)
    : parts(std::move(givenParts))
    , view(this->parts.views->current())
    , proving(this->parts.executor)
    , searching(this->parts.executor)
    , watchTimer(this->parts.executor)
    , viewSignal(this->parts.executor)
{
    this->viewChanged();
}

auto SessionCore::viewChanged() -> void
{
    const auto former = std::exchange(this->view, this->parts.views->current());
    if (former->revision != this->view->revision) {
        support::log(support::Event::ViewFollowed, {{"revision", this->view->revision.value()}, {"configuration", this->view->configuration.value()}});
    }
    if (this->services.empty() || !this->view->services.sharesWith(former->services)) {
        this->services.clear();
        for (const auto &service : this->view->services) {
            this->services.emplace(service.id.value(), &service);
        }
    }
    if (this->customersByKey.empty() || !this->view->customers.sharesWith(former->customers)) {
        this->customersByKey.clear();
        for (const auto &customer : this->view->customers) {
            for (const auto &key : customer.keys) {
                this->customersByKey.emplace(key, &customer);
            }
        }
    }
    this->retireRemovedConnections(*former);
    const auto present = presentUpstreams(*this->view);
    this->load.keepOnly(present);
    for (auto *const times : {&this->lastProbed, &this->lastSuspected}) {
        std::erase_if(*times, [&present](const auto &entry) {
            return !present.contains(entry.first);
        });
    }
    this->viewSignal.notify();
}

auto SessionCore::findService(std::string_view database) const -> const membership::ServiceView *
{
    const auto found = this->services.find(database);
    return found == this->services.end() ? nullptr : found->second;
}

auto SessionCore::authorize(std::string_view database, const membership::KeyDigest &key) const -> std::variant<AccessGrant, FailureReply>
{
    const auto *const service = this->findService(database);
    const auto *const customer = this->findCustomer(key);
    if (service != nullptr && (customer != nullptr || !service->requiresKey)) {
        return AccessGrant{service, customer == nullptr ? CustomerId() : customer->id};
    }
    // Without a current view the proxy cannot distinguish a newly added name or key from one that does not exist.
    if (!this->hasCurrentView()) {
        return FailureReply{Failure::Busy, "the proxy has no current view of the configuration", noViewRetryAfter};
    }
    if (service == nullptr) {
        return FailureReply{Failure::UnknownDatabase, "no service is called " + std::string(database), {}};
    }
    return FailureReply{Failure::Denied, "no customer holds this API key; use one of the configuration", {}};
}

auto SessionCore::recordOpenRefused(std::string_view database, const membership::KeyDigest &key, const FailureReply &why) -> void
{
    // A name that callers make up is not counted by name.
    this->parts.recorder->refused(ServiceId(this->findService(database) == nullptr ? std::string() : std::string(database)), why.failure);
    if (this->failureLines.tryTake(support::now())) {
        support::log(support::Event::SessionRefused,
                     {{"database", std::string(database)},
                      {"reason", name(why.failure)},
                      {"key_digest", shortDigest(key)},
                      {"revision", this->revision().value()},
                      {"lines_left_out", this->failureLines.takeDropped()}});
    }
}

auto SessionCore::findCustomer(const membership::KeyDigest &key) const -> const membership::CustomerView *
{
    const auto found = this->customersByKey.find(key);
    return found == this->customersByKey.end() ? nullptr : found->second;
}

auto SessionCore::hasCurrentView() const -> bool
{
    return this->view->configuration > Revision(0) && this->parts.views->leaseLive(support::now());
}

auto SessionCore::hasControlContact() const -> bool
{
    return support::now() - this->parts.views->lastContact() < contactTimeout;
}

auto SessionCore::revision() const -> Revision
{
    return this->view->revision;
}

auto SessionCore::primaryOf(const GroupId &group) const -> std::optional<Member>
{
    const auto *const found = this->findGroup(group);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto proven = this->search.foundFor(group, found->term);
    if (const auto *const member = proven ? found->findMember(*proven) : nullptr) {
        return Member{group, found->term, *member, true};
    }
    const auto *const primary = found->primaryMember();
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

auto SessionCore::awaitFirstView() -> asio::awaitable<void>
{
    const auto self = this->shared_from_this();
    const auto until = std::chrono::steady_clock::now() + firstViewWaitLimit;
    while (this->view->configuration == Revision(0) && std::chrono::steady_clock::now() < until) {
        co_await this->viewSignal.wait(until);
    }
}

auto SessionCore::awaitPrimary(GroupId group, std::optional<Member> stalePrimary, Duration waitLimit) -> asio::awaitable<std::optional<Member>>
{
    const auto self = this->shared_from_this();
    auto stalePrimaryId = std::optional<UpstreamId>();
    if (stalePrimary) {
        stalePrimaryId = stalePrimary->upstream.id;
        this->search.refute(group, *stalePrimaryId);
    }
    const auto began = std::chrono::steady_clock::now();
    const auto until = began + waitLimit;
    // A committed view arrives within some milliseconds. If it takes longer it may never arrive: this proxy may be partitioned off.
    auto searchAt = this->hasControlContact() ? began + PrimarySearch::viewWaitLimit : began;
    auto mayStillAppear = true;
    while (true) {
        auto primary = this->primaryOf(group);
        const auto isOther = primary && (!stalePrimary || stalePrimary->term != primary->term || stalePrimary->upstream.id != primary->upstream.id);
        if (isOther) {
            co_return primary;
        }
        const auto now = std::chrono::steady_clock::now();
        if (now >= until || !mayStillAppear) {
            co_return std::nullopt;
        }
        if (now >= searchAt) {
            co_await searchPrimary(self, group, stalePrimaryId);
            // Without control no view can name a primary here, while another proxy may be able to serve the statement.
            mayStillAppear = this->hasControlContact();
            searchAt = std::chrono::steady_clock::now() + PrimarySearch::viewWaitLimit;
            continue;
        }
        co_await this->viewSignal.wait(std::min(until, searchAt));
    }
}

auto SessionCore::awaitViewChange(Duration waitLimit) -> asio::awaitable<void>
{
    const auto self = this->shared_from_this();
    if (this->hasControlContact()) {
        co_await this->viewSignal.wait(std::chrono::steady_clock::now() + waitLimit);
    }
}

auto SessionCore::searchPrimary(std::shared_ptr<SessionCore> self, GroupId group, std::optional<UpstreamId> stalePrimary) -> asio::awaitable<void>
{
    const auto flight = self->searching.begin(group);
    if (flight == nullptr) {
        co_await self->searching.join(group);
        co_return;
    }
    if (!self->search.begin(group, support::now())) {
        co_return;
    }
    for (const auto &member : self->readersOf(group)) {
        if (stalePrimary && member.upstream.id == *stalePrimary) {
            continue;
        }
        const auto proof = co_await self->parts.pool->prove(group, member.upstream, Duration(0), proofTimeout);
        if (proof) {
            self->search.record(group, member.term, member.upstream.id);
            self->proofsOf(group).record(proof->sent, proof->position);
            support::log(support::Event::PrimaryFound,
                         {{"group", group.value()},
                          {"upstream", member.upstream.id.value()},
                          {"view_term", member.term.value()},
                          {"control_silent_ms", support::now() - self->parts.views->lastContact()}});
            self->viewSignal.notify();
            co_return;
        }
    }
}

auto SessionCore::suspect(const Member &member) -> void
{
    if (!member.isPrimary || this->parts.control == nullptr) {
        return;
    }
    const auto now = support::now();
    auto &last = this->lastSuspected[member.upstream.id];
    if (now - last < minSuspicionInterval) {
        return;
    }
    last = now;
    support::log(support::Event::PrimarySuspected, {{"group", member.group.value()}, {"upstream", member.upstream.id.value()}, {"term", member.term.value()}});
    this->parts.control->suspect({member.group, member.term, member.upstream.id});
    if (!this->hasControlContact()) {
        asio::co_spawn(this->parts.executor, searchPrimary(this->shared_from_this(), member.group, member.upstream.id), asio::detached);
    }
}

auto SessionCore::probe(const Member &member, bool thorough) -> void
{
    const auto now = support::now();
    auto &last = this->lastProbed[member.upstream.id];
    if (!member.isPrimary || (!thorough && now - last < minProbeInterval)) {
        return;
    }
    if (this->probing.insert(member.upstream.id).second) {
        last = now;
        asio::co_spawn(this->parts.executor, runProbe(this->shared_from_this(), member, thorough), asio::detached);
    }
}

auto SessionCore::runProbe(std::shared_ptr<SessionCore> self, Member member, bool thorough) -> asio::awaitable<void>
{
    const auto why = co_await self->parts.pool->probe(member.group, member.upstream, probeTimeout, thorough);
    self->probing.erase(member.upstream.id);
    if (why && why->failure == Failure::Unreachable) {
        self->suspect(member);
    }
}

auto SessionCore::exchange(const Member &member, UpstreamConnection &connection, std::span<const Command> commands, Duration limit)
    -> asio::awaitable<ExchangeResult>
{
    const auto self = this->shared_from_this();
    const auto upstream = member.upstream.id;
    if (member.isPrimary) {
        this->watch.sent(upstream, support::now());
        this->scheduleWatch();
    }
    auto result = co_await connection.exchange(commands, limit);
    if (member.isPrimary) {
        this->watch.ended(upstream, !result.results.empty(), support::now());
    }
    co_return result;
}

auto SessionCore::refreshProof(GroupId group, Duration readAge) -> asio::awaitable<void>
{
    const auto self = this->shared_from_this();
    const auto primary = this->primaryOf(group);
    if (!primary || support::now() < this->proofBackoffUntil[group]) {
        co_return;
    }
    const auto flight = this->proving.begin(group);
    if (flight == nullptr) {
        co_await this->proving.join(group);
        co_return;
    }
    const auto proof = co_await this->parts.pool->prove(group, primary->upstream, readAge / proofAgeingDivisor, proofTimeout);
    if (proof) {
        this->proofsOf(group).record(proof->sent, proof->position);
    } else {
        this->proofBackoffUntil[group] = support::now() + proofBackoff;
    }
}

auto SessionCore::refreshAgeingProof(const GroupId &group, Duration readAge) -> void
{
    if (this->isProofAgeing(group, readAge)) {
        asio::co_spawn(this->parts.executor, replaceAgeingProof(this->shared_from_this(), group, readAge), asio::detached);
    }
}

auto SessionCore::replaceAgeingProof(std::shared_ptr<SessionCore> self, GroupId group, Duration readAge) -> asio::awaitable<void>
{
    // Many statements may have found the same proof ageing; only the first of them replaces it.
    if (self->isProofAgeing(group, readAge)) {
        co_await self->refreshProof(std::move(group), readAge);
    }
}

auto SessionCore::isProofAgeing(const GroupId &group, Duration readAge) const -> bool
{
    const auto found = this->proofs.find(group);
    const auto newest = found == this->proofs.end() ? std::nullopt : found->second.newest();
    return newest && support::now() - newest->sent > readAge / proofAgeingDivisor;
}

auto SessionCore::scheduleWatch() -> void
{
    if (std::exchange(this->watchScheduled, true)) {
        return;
    }
    this->watchTimer.expires_after(watchInterval);
    this->watchTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || self == nullptr) {
            return;
        }
        self->watchScheduled = false;
        for (const auto &due : self->watch.due(support::now())) {
            if (const auto member = self->findMember(due.upstream)) {
                self->probe(*member, due.thorough);
            }
        }
        if (self->watch.isActive()) {
            self->scheduleWatch();
        }
    });
}

auto SessionCore::findMember(const UpstreamId &upstream) const -> std::optional<Member>
{
    for (const auto &group : this->view->groups) {
        if (const auto *const found = group.findMember(upstream)) {
            return memberOf(group, *found);
        }
    }
    return std::nullopt;
}

auto SessionCore::hasForwardingEnded() const -> bool
{
    return support::now() >= this->forwardingEnd;
}

auto SessionCore::whileForwarding(Duration limit) const -> Duration
{
    return std::clamp<Duration>(this->forwardingEnd - support::now(), Duration(0), limit);
}

auto SessionCore::proofsOf(const GroupId &group) -> PositionProofs &
{
    return this->proofs[group];
}

auto SessionCore::findGroup(const GroupId &group) const -> const membership::GroupView *
{
    return this->view->findGroup(group);
}

auto SessionCore::retireRemovedConnections(const membership::ClusterView &former) -> void
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
            // A leaving primary is the only member that accepts writes until another one is promoted.
            if (member.leaving && group.primary != member.id) {
                this->parts.pool->retire(member.id);
            }
        }
    }
}

} // namespace sapphirespool::interactive
