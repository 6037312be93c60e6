#include "model.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace sapphirespool::loadmodel
{

namespace
{

/// Time before the load starts, in which the share allocator's handover passes.
constexpr auto settling = std::chrono::seconds(9);
/// Part of the load that is not measured, so that estimates are warm.
constexpr auto warmUp = std::chrono::seconds(1);
constexpr auto sameZone = std::chrono::microseconds(200);
constexpr auto reportInterval = std::chrono::milliseconds(20);
constexpr std::size_t zones = 3;
constexpr std::size_t membersPerGroup = 3;

auto groupName(std::size_t group) -> GroupId
{
    return GroupId("g" + std::to_string(group));
}

auto zoneName(std::size_t zone) -> ZoneId
{
    return ZoneId("z" + std::to_string(zone % zones));
}

auto proxyName(std::size_t proxy) -> VmId
{
    return VmId("v" + std::to_string(proxy));
}

auto proxyIndex(const VmId &vm) -> std::size_t
{
    return std::stoul(vm.value().substr(1));
}

} // namespace

auto upstreamName(std::size_t group, std::size_t member) -> UpstreamId
{
    return UpstreamId("g" + std::to_string(group) + "u" + std::to_string(member));
}

Model::Model(const Scenario &scenario, const Policy &policy)
    : scenario(scenario)
    , policy(policy)
    , begin(this->events.now() + settling)
    , end(this->begin + scenario.length)
    , recorder(this->begin + warmUp, this->end)
    , random(scenario.seed)
{
    for (auto index = std::size_t{0}; index < scenario.callers.size(); ++index) {
        this->callers.push_back({scenario.callers[index], std::mt19937_64(scenario.seed * 1000 + index), {}});
    }
    this->groups.resize(scenario.groups);
    for (auto group = std::size_t{0}; group < scenario.groups; ++group) {
        auto groupView = membership::GroupView{.id = groupName(group), .term = Term(1), .primary = upstreamName(group, 0)};
        for (auto member = std::size_t{0}; member < membersPerGroup; ++member) {
            const auto id = upstreamName(group, member);
            this->upstreams[id] = std::make_unique<UpstreamModel>(this->events, scenario.slots);
            this->upstreamZones[id] = (group + member) % zones;
            groupView.members.push_back({.id = id, .zone = zoneName(group + member), .slots = scenario.slots, .connectionLimit = scenario.connections});
        }
        this->view.groups.push_back(std::move(groupView));
        auto service = membership::ServiceView{.id = ServiceId("s" + std::to_string(group)), .group = groupName(group)};
        if (policy.sharing == Sharing::Forwarding || policy.sharing == Sharing::ZoneOwners) {
            // The same room in all: what twelve proxies hold each, three owners hold together.
            service.queueLimit *= static_cast<std::uint32_t>(scenario.proxies / membersPerGroup);
        }
        const auto dependencies = scenario.dependsOn.find(service.id.value());
        if (dependencies != scenario.dependsOn.end()) {
            for (const auto &dependency : dependencies->second) {
                service.dependsOn.emplace_back(dependency);
            }
        }
        this->view.services.append(std::move(service));
    }
    for (auto index = std::size_t{0}; index < scenario.proxies; ++index) {
        this->view.proxies.push_back({.id = proxyName(index), .zone = zoneName(index), .incarnation = Incarnation(index + 1)});
        auto settings = policy.settings;
        settings.vm = proxyName(index);
        settings.zone = zoneName(index);
        settings.staticShares = policy.sharing == Sharing::StaticShares;
        auto proxy = Proxy{.dispatcher = decisions::makeDispatcher(settings)};
        if (policy.sharing == Sharing::Leases) {
            proxy.shares = std::make_unique<decisions::ShareTable>(proxyName(index), Incarnation(index + 1), policy.shares);
        }
        this->proxies.push_back(std::move(proxy));
    }
}

auto Model::run() -> Report
{
    this->publishView();
    this->reportPositions();
    this->scheduleFaults();
    for (auto index = std::size_t{0}; index < this->callers.size(); ++index) {
        const auto first = this->begin + this->partOfRun(this->callers[index].load.from);
        this->events.at(first, [this, index]() {
            this->scheduleArrival(index);
        });
    }
    this->events.runUntil(this->end + std::chrono::seconds(5));
    return this->recorder.report();
}

auto Model::partOfRun(double part) const -> Duration
{
    return std::chrono::duration_cast<Duration>(this->scenario.length * part);
}

auto Model::latency(std::size_t leftZone, std::size_t rightZone) const -> Duration
{
    return leftZone % zones == rightZone % zones ? Duration(sameZone) : Duration(this->scenario.zoneLatency);
}

auto Model::groupOwner(std::size_t group) const -> std::size_t
{
    return proxyIndex(decisions::grantorsOf(upstreamName(group, 0), this->view.proxies).front().vm);
}

auto Model::zoneOwner(const membership::UpstreamView &upstream) const -> std::size_t
{
    auto local = this->view.proxies;
    std::erase_if(local, [&upstream](const auto &proxy) {
        return proxy.zone != upstream.zone;
    });
    return proxyIndex(decisions::grantorsOf(upstream.id, local).front().vm);
}

auto Model::chooseOwner(Request &request) -> std::size_t
{
    switch (this->policy.sharing) {
    case Sharing::StaticShares:
    case Sharing::Leases:
        return request.entry;
    case Sharing::Forwarding:
        return this->groupOwner(request.group);
    case Sharing::ZoneOwners:
        break;
    }
    const auto &group = this->view.groups[request.group];
    const auto work = decisions::Work{.access = request.access, .maxAge = request.maxAge};
    auto &router = this->proxies[request.entry].router;
    request.target = router.choose(group, work, this->events.now());
    if (!request.target) {
        return this->groupOwner(request.group);
    }
    router.recordSent(*request.target);
    return this->zoneOwner(*group.findMember(*request.target));
}

auto Model::giveWholeShares() -> void
{
    const auto whole = decisions::Share{this->scenario.slots, this->scenario.connections};
    for (auto index = std::size_t{0}; index < this->proxies.size(); ++index) {
        for (auto group = std::size_t{0}; group < this->view.groups.size(); ++group) {
            for (const auto &member : this->view.groups[group].members) {
                const auto owner = this->policy.sharing == Sharing::Forwarding ? this->groupOwner(group) : this->zoneOwner(member);
                const auto share = owner == index ? whole : decisions::Share();
                this->apply(index, this->proxies[index].dispatcher->shareChanged(member.id, share, this->events.now()));
            }
        }
    }
}

auto Model::publishView() -> void
{
    this->view.revision = this->view.revision.next();
    const auto shared = std::make_shared<const membership::ClusterView>(this->view);
    for (auto index = std::size_t{0}; index < this->proxies.size(); ++index) {
        auto &proxy = this->proxies[index];
        this->apply(index, proxy.dispatcher->viewChanged(shared, this->events.now()));
        if (proxy.shares != nullptr) {
            this->applyShares(index, proxy.shares->viewChanged(this->view, this->events.now()));
        }
    }
    if (this->policy.sharing == Sharing::Forwarding || this->policy.sharing == Sharing::ZoneOwners) {
        this->giveWholeShares();
    }
}

auto Model::reportPositions() -> void
{
    const auto now = this->events.now();
    for (auto number = std::size_t{0}; number < this->groups.size(); ++number) {
        auto &group = this->groups[number];
        const auto seenUpTo = now - this->scenario.replicaLag;
        while (group.positions.size() > 1 && group.positions[1].first <= seenUpTo) {
            group.positions.pop_front();
        }
        const auto applied = group.positions.empty() || group.positions.front().first > seenUpTo ? 0 : group.positions.front().second;
        const auto &groupView = this->view.groups[number];
        for (const auto &member : groupView.members) {
            const auto primary = groupView.primary == member.id;
            const auto age = primary ? milliseconds(0) : std::chrono::ceil<milliseconds>(this->scenario.replicaLag);
            const auto observation = decisions::Observation{groupView.id, member.id, group.term, LogPosition(primary ? group.position : applied), age};
            for (auto index = std::size_t{0}; index < this->proxies.size(); ++index) {
                this->apply(index, this->proxies[index].dispatcher->observe(observation, now));
            }
        }
    }
    this->events.after(reportInterval, [this]() {
        this->reportPositions();
    });
}

auto Model::submit(Request request) -> void
{
    const auto owner = request.owner;
    request.submittedAt = this->events.now();
    ++this->lastId;
    const auto id = WorkId(this->lastId);
    const auto &load = this->callers[request.caller].load;
    auto work = decisions::Work{.id = id,
                                .service = ServiceId("s" + std::to_string(request.group)),
                                .caller = decisions::CallerId(load.name),
                                .access = request.access,
                                .deadline = request.deadline,
                                .maxAge = request.maxAge,
                                .needed = request.needed,
                                .attempt = request.attempt};
    if (request.access == Access::Write) {
        work.key = load.key;
    }
    this->requests.emplace(id, std::move(request));
    const auto actions = this->proxies[owner].dispatcher->submit(std::move(work), this->events.now());
    const auto refusedAtOnce = std::any_of(actions.begin(), actions.end(), [id](const decisions::Action &action) {
        const auto *const refusal = std::get_if<decisions::Refuse>(&action);
        return refusal != nullptr && refusal->id == id;
    });
    this->requests.at(id).accepted = !refusedAtOnce;
    this->apply(owner, actions);
}

auto Model::apply(std::size_t proxy, const decisions::Dispatcher::Actions &actions) -> void
{
    for (const auto &action : actions) {
        if (const auto *const start = std::get_if<decisions::Start>(&action)) {
            this->start(proxy, *start);
        } else {
            const auto &refusal = std::get<decisions::Refuse>(action);
            this->refuse(refusal.id, refusal);
        }
    }
    this->afterEvent(proxy);
}

auto Model::start(std::size_t proxy, const decisions::Start &start) -> void
{
    auto &request = this->requests.at(start.id);
    request.upstream = start.upstream;
    const auto way = this->latency(proxy, this->upstreamZones.at(start.upstream));
    auto key = request.access == Access::Write ? this->callers[request.caller].load.key : std::string();
    auto done = [this, proxy, id = start.id, way](bool served) {
        this->events.after(way, [this, proxy, id, served]() {
            this->ended(proxy, id, served);
        });
    };
    auto statement = Statement{request.service, std::move(key), std::move(done)};
    this->events.after(way, [this, upstream = start.upstream, statement = std::move(statement)]() mutable {
        this->upstreams.at(upstream)->arrive(std::move(statement));
    });
}

auto Model::ended(std::size_t proxy, WorkId id, bool served) -> void
{
    const auto outcome = served ? decisions::WorkOutcome::Answered : decisions::WorkOutcome::Failed;
    const auto actions = this->proxies[proxy].dispatcher->finished(id, outcome, this->events.now());
    this->answer(id, served);
    this->apply(proxy, actions);
}

auto Model::afterEvent(std::size_t proxy) -> void
{
    auto &state = this->proxies[proxy];
    const auto next = state.dispatcher->nextTick();
    if (next && (!state.tickAt || *next < *state.tickAt)) {
        state.tickAt = *next;
        this->events.at(*next, [this, proxy, at = *next]() {
            if (this->proxies[proxy].tickAt == at) {
                this->tick(proxy);
            }
        });
    }
    if (state.shares == nullptr) {
        return;
    }
    for (const auto &[upstream, model] : this->upstreams) {
        const auto demand = state.dispatcher->demand(upstream);
        auto &told = state.told[upstream];
        if (told == std::pair(demand.running, demand.wanted)) {
            continue;
        }
        told = {demand.running, demand.wanted};
        this->applyShares(proxy, state.shares->workChanged(upstream, demand.running, demand.wanted, this->events.now()));
    }
}

auto Model::tick(std::size_t proxy) -> void
{
    this->proxies[proxy].tickAt.reset();
    this->apply(proxy, this->proxies[proxy].dispatcher->tick(this->events.now()));
}

auto Model::applyShares(std::size_t proxy, decisions::ShareActions actions) -> void
{
    for (auto &message : actions.messages) {
        const auto target = proxyIndex(message.to);
        this->events.after(this->latency(proxy, target), [this, target, content = std::move(message.content)]() {
            auto &shares = *this->proxies[target].shares;
            const auto now = this->events.now();
            auto received = std::visit(
                [&shares, now](const auto &typed) {
                    return shares.receive(typed, now);
                },
                content);
            this->applyShares(target, std::move(received));
        });
    }
    for (const auto &change : actions.changes) {
        this->apply(proxy, this->proxies[proxy].dispatcher->shareChanged(change.upstream, change.share, this->events.now()));
    }
    this->scheduleShareTick(proxy);
}

auto Model::scheduleShareTick(std::size_t proxy) -> void
{
    auto &state = this->proxies[proxy];
    const auto next = state.shares->nextTick(this->events.now());
    if (!next || (state.shareTickAt && *state.shareTickAt <= *next)) {
        return;
    }
    state.shareTickAt = *next;
    // A tick that is due now and changes nothing must not come again at the same time without end.
    const auto when = std::max(*next, this->events.now() + std::chrono::microseconds(100));
    this->events.at(when, [this, proxy, at = *next]() {
        if (this->proxies[proxy].shareTickAt == at) {
            this->shareTick(proxy);
        }
    });
}

auto Model::shareTick(std::size_t proxy) -> void
{
    this->proxies[proxy].shareTickAt.reset();
    this->applyShares(proxy, this->proxies[proxy].shares->tick(this->events.now()));
}

auto run(const Scenario &scenario, const Policy &policy) -> Report
{
    return Model(scenario, policy).run();
}

auto capacity(const Scenario &scenario, milliseconds service) -> double
{
    const auto slots = static_cast<double>(scenario.slots * membersPerGroup * scenario.groups);
    return slots / std::chrono::duration<double>(service).count();
}

} // namespace sapphirespool::loadmodel
