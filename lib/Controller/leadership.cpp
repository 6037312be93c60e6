#include "leadership.h"

#include "sapphirespool/Support/log.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::controller
{

namespace
{

/// Time after which a registration that has not changed the replicated state is proposed again, with the next heartbeat.
constexpr auto registrationRetry = std::chrono::milliseconds(1'000);

/// Interval of the search for members to eject. Meanwhile the successor at an address refuses statements that are meant for the replaced member.
constexpr auto ejectionInterval = std::chrono::milliseconds(200);

/// Interval of the search for silent VMs.
constexpr auto silenceInterval = std::chrono::milliseconds(100);
/// VMs that are marked as silent per search. A hundred that are partitioned at once are marked within a second, and the log has room for
/// other changes.
constexpr auto marksAtOnce = std::size_t{10};

auto viewOf(const control::VmHeartbeat &heartbeat) -> membership::ProxyView
{
    return {heartbeat.vm, heartbeat.zone, heartbeat.incarnation, heartbeat.callers, heartbeat.peers, heartbeat.leaving, false, heartbeat.firstStart};
}

auto viewOf(const platform::Announcement &announcement) -> membership::UpstreamView
{
    auto view = membership::UpstreamView();
    view.id = UpstreamId(announcement.id);
    view.endpoint = {announcement.address, announcement.port};
    view.zone = ZoneId(announcement.zone);
    view.incarnation = Incarnation(announcement.incarnation);
    view.slots = announcement.slots;
    view.connectionLimit = announcement.connectionLimit;
    view.leaving = announcement.leaving;
    return view;
}

auto isSame(const membership::ProxyView &left, const membership::ProxyView &right) -> bool
{
    return left.zone == right.zone && left.incarnation == right.incarnation && left.callers == right.callers && left.peers == right.peers
        && left.leaving == right.leaving && left.silent == right.silent;
}

auto isSame(const membership::UpstreamView &left, const membership::UpstreamView &right) -> bool
{
    return left.endpoint == right.endpoint && left.zone == right.zone && left.incarnation == right.incarnation && left.slots == right.slots
        && left.connectionLimit == right.connectionLimit && left.leaving == right.leaving;
}

/// \return why the replicated state ignored the proposal; nothing if it did not, or if that is not known
auto ignoredReasonIn(const consensus::ProposalOutcome &outcome) -> std::optional<state::IgnoredReason>
{
    const auto *const bytes = std::get_if<consensus::Bytes>(&outcome);
    const auto result = bytes == nullptr ? std::nullopt : state::decodeResult(*bytes);
    const auto *const ignored = result ? std::get_if<state::Ignored>(&*result) : nullptr;
    return ignored == nullptr ? std::nullopt : std::optional(ignored->reason);
}

/// \return the term in which the group of a promotion's \p command was for the proposer; nothing for other commands
auto proposedInTerm(const state::Command &command) -> std::optional<Term>
{
    if (const auto *const term = std::get_if<state::BeginTerm>(&command)) {
        return term->previous;
    }
    const auto *const choice = std::get_if<state::ChoosePrimary>(&command);
    return choice == nullptr ? std::nullopt : std::optional(choice->term);
}

} // namespace

Leadership::Leadership(const ControllerParts &parts, PromotionDuty &duty)
    : parts(parts)
    , duty(duty)
    , since(parts.clock())
    , number(parts.log.leadershipNumber())
    , vms(parts.state.vms(), this->since)
    , promoter(parts.state, this->since, promotion::contactTimeoutFor(parts.announcementInterval))
    , registry(this->since)
    , leadershipAuthority(std::make_shared<ExpiringAuthority>(parts.clock))
    , dutyAuthority(std::make_shared<ExpiringAuthority>(parts.clock))
{
}

auto Leadership::isCurrent(TimePoint now) const -> bool
{
    return this->parts.log.holdsLeaderLease(now) && this->parts.log.leadershipNumber() == this->number;
}

auto Leadership::tick() -> void
{
    const auto now = this->parts.clock();
    this->updateProxies(now);
    this->updateDuty(now);
    this->markSilentVms(now);
    this->settleVms(now);
    this->ejectSilentVms();
    this->ejectUpstreams(now);
    this->carryOut(this->promoter.tick(now));
}

auto Leadership::heartbeat(const control::VmHeartbeat &heartbeat, std::function<void(control::HeartbeatOutcome)> done) -> void
{
    if (!this->vms.note(heartbeat, this->parts.clock())) {
        done(NotRun{RefusalReason::StaleView, "a later process of VM " + heartbeat.vm.value() + " has taken its place"});
        return;
    }
    this->registerVm(heartbeat);
    for (const auto &announcement : heartbeat.announcements) {
        if (!this->isRelevant(announcement)) {
            continue;
        }
        this->registerUpstream(announcement);
        this->handle(promotion::Announced{announcement});
    }
    for (const auto &suspicion : heartbeat.suspicions) {
        this->suspected(heartbeat.vm, heartbeat.zone, suspicion);
    }
    // The next leader derives the possible leases from the replicated list of VMs. If a VM that is not in the list held a lease, a change
    // would be reported in force while that VM still served under the former configuration.
    if (this->parts.state.findVm(heartbeat.vm) == nullptr) {
        done(NotRun{RefusalReason::StaleView, "VM " + heartbeat.vm.value() + " is not registered yet"});
        return;
    }
    done(this->grant());
}

auto Leadership::status() const -> membership::ClusterStatus
{
    const auto now = this->parts.clock();
    const auto view = this->parts.state.view();
    auto status = membership::ClusterStatus();
    status.leader = this->parts.vm;
    status.revision = view->revision;
    status.configuration = view->configuration;
    status.inForce = this->vms.inForce(view->configuration, now);
    for (const auto &vm : this->parts.state.vms()) {
        status.vms.push_back(this->vms.status(vm, now));
    }
    return status;
}

auto Leadership::updateProxies(TimePoint now) -> void
{
    this->promoter.setProxies(this->vms.standing(this->parts.state.revision(), now));
}

auto Leadership::grant() const -> control::LeaseGrant
{
    return {leaseLength, this->parts.state.revision()};
}

auto Leadership::registerVm(const control::VmHeartbeat &heartbeat) -> void
{
    const auto wanted = viewOf(heartbeat);
    const auto *const known = this->parts.state.findVm(heartbeat.vm);
    if ((known != nullptr && isSame(*known, wanted)) || !this->tryRegister("vm " + heartbeat.vm.value())) {
        return;
    }
    this->propose(state::RegisterVm{wanted}, {});
}

auto Leadership::registerUpstream(const platform::Announcement &announcement) -> void
{
    if (announcement.gone) {
        this->ejectUpstream(GroupId(announcement.group), UpstreamId(announcement.id));
        return;
    }
    const auto wanted = viewOf(announcement);
    const auto *const group = this->parts.state.findGroup(GroupId(announcement.group));
    if (group == nullptr) {
        return;
    }
    const auto *const known = group->view.findMember(wanted.id);
    const auto full = known == nullptr && !group->selfReplicating && group->view.members.size() >= group->size;
    if (full || (known != nullptr && isSame(*known, wanted)) || !this->tryRegister("upstream " + announcement.id)) {
        return;
    }
    this->propose(state::RegisterUpstream{group->view.id, wanted}, group->view.id);
}

auto Leadership::isRelevant(const platform::Announcement &announcement) -> bool
{
    const auto *const group = this->parts.state.findGroup(GroupId(announcement.group));
    return group == nullptr || !group->selfReplicating || this->registry.note(announcement, this->parts.clock());
}

auto Leadership::ejectUpstream(const GroupId &group, const UpstreamId &upstream) -> void
{
    const auto *const record = this->parts.state.findGroup(group);
    const auto *const known = record == nullptr ? nullptr : record->view.findMember(upstream);
    if (known != nullptr && this->tryRegister("gone " + upstream.value())) {
        this->propose(state::ForgetUpstream{group, upstream, known->incarnation}, group);
    }
}

auto Leadership::ejectUpstreams(TimePoint now) -> void
{
    if (now - this->lastEjectionSearch < ejectionInterval) {
        return;
    }
    this->lastEjectionSearch = now;
    for (const auto &group : this->parts.state.groups()) {
        if (!group.selfReplicating) {
            continue;
        }
        for (const auto &upstream : this->registry.membersToEject(group, now)) {
            this->ejectUpstream(group.view.id, upstream);
        }
    }
}

auto Leadership::markSilentVms(TimePoint now) -> void
{
    if (now - this->lastSilenceSearch < silenceInterval) {
        return;
    }
    this->lastSilenceSearch = now;
    auto marked = std::size_t{0};
    for (auto &vm : this->vms.silentFor(silentAfter, this->parts.state.vms(), now)) {
        if (vm.silent || !this->tryRegister("mark " + vm.id.value())) {
            continue;
        }
        vm.silent = true;
        this->propose(state::RegisterVm{vm}, {});
        if (++marked == marksAtOnce) {
            return;
        }
    }
}

auto Leadership::settleVms(TimePoint now) -> void
{
    // VMs are settled even without customers, so that quota can be allocated as soon as the first customer is configured.
    for (auto &vm : this->settling.due(this->parts.state.vms(), now)) {
        if (this->tryRegister("settle " + vm.id.value())) {
            vm.settled = true;
            this->propose(state::RegisterVm{std::move(vm)}, {});
        }
    }
}

auto Leadership::ejectSilentVms() -> void
{
    for (const auto &vm : this->vms.silentFor(ejectAfter, this->parts.state.vms(), this->parts.clock())) {
        if (this->tryRegister("silent " + vm.id.value())) {
            this->propose(state::ForgetVm{vm.id, vm.incarnation}, {});
        }
    }
}

auto Leadership::suspected(const VmId &vm, const ZoneId &zone, const membership::Suspicion &suspicion) -> void
{
    const auto credible = this->observers.note(vm, suspicion.group, this->parts.state.groups().size(), this->parts.clock());
    this->handle(promotion::Suspected{zone, suspicion, credible});
    // Proxies of other zones detect a failure by their own statements, up to half a second later. A probe from this VM is faster.
    if (credible && zone != this->parts.zone) {
        this->probePrimary(suspicion);
    }
}

auto Leadership::probePrimary(const membership::Suspicion &suspicion) -> void
{
    const auto *const group = this->parts.state.findGroup(suspicion.group);
    const auto *const member = group == nullptr || group->view.primary != suspicion.upstream ? nullptr : group->view.primaryMember();
    if (member == nullptr || !this->probesInFlight.insert(member->id).second) {
        return;
    }
    const auto done = [weak = this->weak_from_this(), post = this->parts.post, suspicion](bool reached) {
        post([weak, suspicion, reached] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->probesInFlight.erase(suspicion.upstream);
            if (!reached) {
                support::log(support::Event::PrimarySuspected,
                             {{"group", suspicion.group.value()}, {"upstream", suspicion.upstream.value()}, {"term", suspicion.term.value()}});
                self->handle(promotion::Suspected{self->parts.zone, suspicion});
            }
        });
    };
    this->parts.groupOperator->look(this->addressOf(suspicion.group, member->id, member->endpoint), done);
}

auto Leadership::handle(const promotion::Event &event) -> void
{
    const auto now = this->parts.clock();
    // Work posted to this thread may run after leadership is lost and before its loss is detected.
    if (!this->isCurrent(now)) {
        return;
    }
    this->updateProxies(now);
    this->updateDuty(now);
    this->carryOut(this->promoter.handle(event, now));
}

auto Leadership::propose(const state::Command &command, const GroupId &group) -> void
{
    const auto done = [weak = this->weak_from_this(), post = this->parts.post, group, command](const consensus::ProposalOutcome &outcome) {
        post([weak, group, command, reason = ignoredReasonIn(outcome)] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (reason) {
                self->recordIgnored(command, group, *reason);
            }
            // The replicated state shows whether the proposal took effect; a lost one is repeated.
            const auto term = proposedInTerm(command);
            self->handle(reason && term ? promotion::Event(promotion::ProposalIgnored{group, *term}) : promotion::GroupChanged{group});
        });
    };
    this->parts.log.propose(encode(command), done);
}

auto Leadership::recordIgnored(const state::Command &command, const GroupId &group, state::IgnoredReason reason) -> void
{
    ++this->ignoredProposals;
    // Repeated registrations change nothing; that is no reason to look at the log.
    if (reason != state::IgnoredReason::Unchanged && this->ignoredLines.tryTake(this->parts.clock())) {
        support::log(support::Event::ProposalIgnored,
                     {{"command", state::name(command)}, {"group", group.value()}, {"reason", state::name(reason)}, {"ignored", this->ignoredProposals}});
    }
}

auto Leadership::tryRegister(const std::string &name) -> bool
{
    const auto now = this->parts.clock();
    const auto found = this->registrations.find(name);
    if (found != this->registrations.end() && now - found->second < registrationRetry) {
        return false;
    }
    this->registrations.insert_or_assign(name, now);
    return true;
}

} // namespace sapphirespool::controller
