#include "sapphirespool/Decisions/dependencyguard.h"
#include "sapphirespool/Decisions/factory.h"
#include "sapphirespool/Decisions/groupscheduler.h"
#include "sapphirespool/Decisions/retrybudget.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <utility>

namespace sapphirespool::decisions
{

namespace
{

/// \return whether \p reason means that the service cannot serve its work now; other reasons are no sign of overload
auto isOverload(RefusalReason reason) -> bool
{
    switch (reason) {
    case RefusalReason::QueueFull:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::DeadlineExceeded:
    case RefusalReason::NoPrimary:
    case RefusalReason::NoUpstream:
    case RefusalReason::DependencyRefusing:
        return true;
    default:
        return false;
    }
}

/// Overload detection and retry budget of one service.
struct ServiceState
{
    ServiceState(const DispatcherSettings &settings, double retryRatio)
        : guard(settings.dependency)
        , budget(retryRatio)
    {
    }

    DependencyGuard guard;
    RetryBudget budget;
};

/// Delegates to one scheduler per database group, and applies the checks across services: dependencies and retry budgets.
class LoadDispatcher : public Dispatcher
{
public:
    explicit LoadDispatcher(DispatcherSettings settings);

    auto submit(Work work, TimePoint now) -> Actions override;
    auto finished(WorkId id, WorkOutcome outcome, TimePoint now) -> Actions override;
    auto cancel(WorkId id, TimePoint now) -> Actions override;
    auto observe(const Observation &observation, TimePoint now) -> Actions override;
    auto viewChanged(std::shared_ptr<const membership::ClusterView> view, TimePoint now) -> Actions override;
    auto shareChanged(const UpstreamId &upstream, Share share, TimePoint now) -> Actions override;
    auto tick(TimePoint now) -> Actions override;
    [[nodiscard]] auto nextTick() const -> std::optional<TimePoint> override;
    [[nodiscard]] auto demand(const UpstreamId &upstream) const -> SlotDemand override;

private:
    /// Converts a scheduler's decisions to actions and counts them per service.
    class Sink : public DecisionSink
    {
    public:
        Sink(LoadDispatcher &owner, TimePoint now);

        auto start(const Work &work, const UpstreamId &upstream) -> void override;
        auto refuse(const Work &work, RefusalReason reason, std::optional<Duration> retryAfter) -> void override;

        Actions actions;

    private:
        LoadDispatcher &owner;
        TimePoint now;
    };

    auto serviceState(const ServiceId &service) -> ServiceState &;
    [[nodiscard]] auto refusingDependency(const membership::ServiceView &service, TimePoint now) -> ServiceState *;

    DispatcherSettings settings;
    std::shared_ptr<const membership::ClusterView> view = std::make_shared<const membership::ClusterView>();
    std::unordered_map<GroupId, std::unique_ptr<GroupScheduler>> groups;
    std::unordered_map<ServiceId, ServiceState> services;
    /// Scheduler of each piece of work that is waiting or running.
    std::unordered_map<WorkId, GroupScheduler *> owners;
    /// Time of the latest event, for nextTick(), which has no time parameter.
    TimePoint latestTime{};
};

LoadDispatcher::Sink::Sink(LoadDispatcher &owner, TimePoint now)
    : owner(owner)
    , now(now)
{
    owner.latestTime = std::max(owner.latestTime, now);
}

auto LoadDispatcher::Sink::start(const Work &work, const UpstreamId &upstream) -> void
{
    this->owner.serviceState(work.service).guard.recordAdmitted(this->now);
    this->actions.emplace_back(Start{work.id, upstream});
}

auto LoadDispatcher::Sink::refuse(const Work &work, RefusalReason reason, std::optional<Duration> retryAfter) -> void
{
    this->owner.owners.erase(work.id);
    if (isOverload(reason)) {
        this->owner.serviceState(work.service).guard.recordRefused(this->now, retryAfter.value_or(Duration::zero()));
    }
    auto rounded = std::optional<std::chrono::milliseconds>();
    if (retryAfter) {
        // Rounds up: a caller that retried a fraction of a millisecond early would find its retry reservation not yet due.
        rounded = std::chrono::ceil<std::chrono::milliseconds>(*retryAfter);
    }
    this->actions.emplace_back(Refuse{work.id, reason, rounded});
}

LoadDispatcher::LoadDispatcher(DispatcherSettings settings)
    : settings(std::move(settings))
{
}

auto LoadDispatcher::serviceState(const ServiceId &service) -> ServiceState &
{
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        return found->second;
    }
    const auto *const known = this->view->findService(service);
    const auto ratio = known == nullptr ? 0.0 : known->retryRatio;
    return this->services.emplace(service, ServiceState(this->settings, ratio)).first->second;
}

auto LoadDispatcher::refusingDependency(const membership::ServiceView &service, TimePoint now) -> ServiceState *
{
    for (const auto &dependency : service.dependsOn) {
        auto &state = this->serviceState(dependency);
        if (state.guard.isRefusing(now) && !state.guard.tryProbe()) {
            return &state;
        }
    }
    return nullptr;
}

auto LoadDispatcher::submit(Work work, TimePoint now) -> Actions
{
    auto sink = Sink(*this, now);
    const auto *const service = this->view->findService(work.service);
    if (service == nullptr) {
        sink.refuse(work, RefusalReason::UnknownService, std::nullopt);
        return std::move(sink.actions);
    }
    const auto group = this->groups.find(service->group);
    if (group == this->groups.end()) {
        sink.refuse(work, RefusalReason::NoUpstream, std::nullopt);
        return std::move(sink.actions);
    }
    if (const auto *const overloaded = this->refusingDependency(*service, now)) {
        sink.refuse(work, RefusalReason::DependencyRefusing, overloaded->guard.retryAfter());
        return std::move(sink.actions);
    }
    auto &state = this->serviceState(work.service);
    if (work.attempt == 0) {
        state.budget.recordFirstAttempt();
    } else if (this->settings.retryBudget && !state.budget.trySpend()) {
        sink.refuse(work, RefusalReason::RetryBudgetSpent, std::nullopt);
        return std::move(sink.actions);
    }
    this->owners.emplace(work.id, group->second.get());
    group->second->submit(std::move(work), service->queueLimit, now, sink);
    return std::move(sink.actions);
}

auto LoadDispatcher::finished(WorkId id, WorkOutcome outcome, TimePoint now) -> Actions
{
    auto sink = Sink(*this, now);
    const auto owner = this->owners.find(id);
    assert(owner != this->owners.end() && "the work is waiting or running");
    auto *const group = owner->second;
    this->owners.erase(owner);
    const auto wasRunning = group->finished(id, outcome, now, sink);
    assert(wasRunning && "only started work can end");
    static_cast<void>(wasRunning);
    return std::move(sink.actions);
}

auto LoadDispatcher::cancel(WorkId id, TimePoint now) -> Actions
{
    auto sink = Sink(*this, now);
    const auto owner = this->owners.find(id);
    // Work that was refused or started in the meantime is no longer waiting.
    if (owner != this->owners.end() && owner->second->cancel(id, now, sink)) {
        this->owners.erase(id);
    }
    return std::move(sink.actions);
}

auto LoadDispatcher::observe(const Observation &observation, TimePoint now) -> Actions
{
    auto sink = Sink(*this, now);
    const auto group = this->groups.find(observation.group);
    if (group != this->groups.end()) {
        group->second->observe(observation, now, sink);
    }
    return std::move(sink.actions);
}

auto LoadDispatcher::viewChanged(std::shared_ptr<const membership::ClusterView> view, TimePoint now) -> Actions
{
    assert(view != nullptr && "the view is set");
    auto sink = Sink(*this, now);
    this->view = std::move(view);
    for (const auto &service : this->view->services) {
        this->serviceState(service.id).budget.setRatio(service.retryRatio);
    }
    const auto proxies = static_cast<std::size_t>(std::count_if(this->view->proxies.begin(), this->view->proxies.end(), [](const auto &proxy) {
        return !proxy.leaving;
    }));
    for (const auto &group : this->view->groups) {
        auto &scheduler = this->groups[group.id];
        if (scheduler == nullptr) {
            scheduler = std::make_unique<GroupScheduler>(this->settings);
        }
        scheduler->groupChanged(group, proxies, now, sink);
    }
    for (const auto &[id, scheduler] : this->groups) {
        if (this->view->findGroup(id) == nullptr) {
            // The scheduler is kept for its running work; without members it starts none.
            scheduler->groupChanged(membership::GroupView{.id = id}, proxies, now, sink);
        }
    }
    return std::move(sink.actions);
}

auto LoadDispatcher::shareChanged(const UpstreamId &upstream, Share share, TimePoint now) -> Actions
{
    auto sink = Sink(*this, now);
    for (const auto &[id, scheduler] : this->groups) {
        if (scheduler->shareChanged(upstream, share, now, sink)) {
            break;
        }
    }
    return std::move(sink.actions);
}

auto LoadDispatcher::tick(TimePoint now) -> Actions
{
    auto sink = Sink(*this, now);
    for (const auto &[id, scheduler] : this->groups) {
        scheduler->tick(now, sink);
    }
    return std::move(sink.actions);
}

auto LoadDispatcher::nextTick() const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &[id, scheduler] : this->groups) {
        const auto candidate = scheduler->nextTick(this->latestTime);
        if (candidate && (!next || *candidate < *next)) {
            next = candidate;
        }
    }
    return next;
}

auto LoadDispatcher::demand(const UpstreamId &upstream) const -> SlotDemand
{
    for (const auto &[id, scheduler] : this->groups) {
        if (const auto found = scheduler->demand(upstream)) {
            return *found;
        }
    }
    return {};
}

} // namespace

auto makeDispatcher(DispatcherSettings settings) -> std::unique_ptr<Dispatcher>
{
    return std::make_unique<LoadDispatcher>(std::move(settings));
}

auto makeFifoDispatcher(VmId vm, ZoneId zone) -> std::unique_ptr<Dispatcher>
{
    auto settings = fifoSettings();
    settings.vm = std::move(vm);
    settings.zone = std::move(zone);
    return makeDispatcher(std::move(settings));
}

} // namespace sapphirespool::decisions
