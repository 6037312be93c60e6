#include "sapphirespool/Consensus/replica.h"

#include "applyqueue.h"
#include "codec.h"
#include "diskthread.h"
#include "formation.h"
#include "leadershiplogger.h"
#include "peerlink.h"
#include "sapphirespool/Consensus/core.h"
#include "sapphirespool/Consensus/departures.h"
#include "sapphirespool/Consensus/faulttolerance.h"
#include "sapphirespool/Consensus/replicastore.h"
#include "sapphirespool/Storage/folder.h"
#include "sapphirespool/Support/clock.h"
#include "sapphirespool/Support/log.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <map>
#include <random>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

/// How often a VM without a group requests to join, and a leader checks whether the group needs a membership change.
constexpr auto membershipInterval = std::chrono::milliseconds(100);
/// Entries after which a snapshot is taken: their replay at a restart takes less than a second.
constexpr auto snapshotEntries = std::uint64_t(10'000);
/// Bytes of commands after which a snapshot is taken, so that large commands do not exhaust memory.
constexpr auto snapshotBytes = std::size_t(8 * 1024 * 1024);

/// A voter that is unresponsive for this long is replaced by a learner, if there is one. A VM that restarts is reachable again within
/// this time; one that returns later joins again as a learner.
constexpr auto voterReplacementTimeout = std::chrono::milliseconds(4'000);

/// How often a VM that is about to stop asks whether it may: a small part of a grace of some seconds.
constexpr auto departureInterval = std::chrono::milliseconds(50);

/// A member that has not responded for this long is not counted on: more than the maximum election timeout, so that a late reply changes
/// nothing.
constexpr auto responseTimeout = std::chrono::milliseconds(1'000);

using ProposalDone = std::function<void(ProposalOutcome)>;
using ReadDone = std::function<void(std::optional<ProposalFailure>)>;

auto toKj(Duration duration) -> kj::Duration
{
    return std::max<std::int64_t>(0, std::chrono::nanoseconds(duration).count()) * kj::NANOSECONDS;
}

auto clockNow() -> TimePoint
{
    return support::now();
}

class ReplicaNode : public Replica, private kj::TaskSet::ErrorHandler
{
public:
    ReplicaNode(rpc::LoopContext &context,
                ReplicaSettings settings,
                StateMachine &machine,
                std::unique_ptr<storage::Folder> folder,
                std::unique_ptr<ReplicaStore> store);
    ~ReplicaNode() noexcept override = default;
    ReplicaNode(const ReplicaNode &) = delete;
    auto operator=(const ReplicaNode &) -> ReplicaNode & = delete;

    auto propose(Bytes command, ProposalDone done) -> void override;
    auto confirmRead(ReadDone done) -> void override;
    [[nodiscard]] auto leaderLeaseEnd() const -> TimePoint override;
    auto onLeadershipLost(std::function<void()> callback) -> void override;
    [[nodiscard]] auto leadershipNumber() const -> std::uint64_t override;
    [[nodiscard]] auto timeSinceContact(const VmId &vm) const -> Duration override;
    [[nodiscard]] auto leader() const -> std::optional<VmId> override;
    auto addLearner(ControlMember member, ProposalDone done) -> void override;
    auto promoteLearner(VmId vm, ProposalDone done) -> void override;
    auto removeMember(VmId vm, ProposalDone done) -> void override;
    [[nodiscard]] auto members() const -> std::vector<ControlMember> override;
    [[nodiscard]] auto survivedLosses() const -> std::optional<std::size_t> override;
    [[nodiscard]] auto selfMember() const -> ControlMember override;
    [[nodiscard]] auto isInGroup() const -> bool override;
    auto suspendCommands(TimePoint until) -> void override;
    auto peerCapability() -> capnp::Capability::Client override;
    auto depart(std::function<void()> mayEnd) -> void override;
    auto start() -> void override;

    /// Handles a message from another control VM.
    auto onMessage(schema::Message::Reader message) -> void;

    /// Records the request of \p member to join the group.
    /// \return whether this VM belongs to no group either
    auto onJoinRequest(const ControlMember &member) -> bool;

    /// Records that \p replica is about to stop.
    /// \return whether it may, as far as this VM can decide it: only the leader can
    auto onLeaveRequest(ReplicaId replica) -> bool;

private:
    auto taskFailed(kj::Exception &&exception) -> void override;
    auto handle(const CoreEvent &event) -> void;
    auto perform(Action action) -> void;
    auto sendMessage(const Send &send) -> void;
    /// Applies what is committed, for a bounded time, and has the rest applied later.
    auto applyCommitted() -> void;
    auto onApplied(const ApplyQueue::Work &work, Bytes result) -> void;
    auto onEntryApplied(const Apply &apply, Bytes result) -> void;
    auto fail(const Failed &failed) -> void;
    auto startWriting() -> void;
    auto onDiskOutcome(const DiskOutcome &outcome) -> void;
    auto armTimer() -> void;
    auto snapshotIfDue() -> void;
    auto updateMembership() -> void;
    /// Proposes the next membership change that the group needs, if there is one.
    auto changeMembers() -> void;
    /// \return whether the group should accept commands although it has fewer voters than it should have
    [[nodiscard]] auto isComplete() const -> bool;
    /// \return whether this replica belongs to no group, or may have been removed from its group without learning about it
    [[nodiscard]] auto shouldRequestToJoin() const -> bool;
    auto requestToJoin() -> void;
    auto askToLeave() -> void;
    auto endDeparture() -> void;
    [[nodiscard]] auto responds(ReplicaId replica) const -> bool;
    [[nodiscard]] auto currentTolerance() const -> FaultTolerance;
    /// Logs if the group tolerates fewer losses than promised for some time.
    auto reportShortfall() -> void;
    /// Logs once if this VM would found a group but all seeds are directories.
    auto reportLackOfControlSeed() -> void;
    [[nodiscard]] auto repairRules() const -> RepairRules;
    auto proposeMembers(std::vector<ControlMember> members, ProposalDone done, bool complete = false) -> void;
    auto linkTo(const VmId &vm) -> PeerLink *;
    /// Notifies the core that the connection to \p vm is established.
    auto onConnected(const VmId &vm) -> void;
    auto keepLinksOpen() -> void;
    auto vmOf(ReplicaId replica) const -> std::optional<VmId>;
    [[nodiscard]] auto isSuspended() const -> bool;
    auto logLeaderChange() -> void;

    rpc::LoopContext &context;
    ReplicaSettings settings;
    StateMachine &machine;
    ApplyQueue applyQueue;
    bool applyScheduled = false;
    std::unique_ptr<storage::Folder> folder;
    ReplicaId self;
    /// Until when another group that was found keeps this VM from accepting commands.
    TimePoint suspendedUntil = TimePoint::min();
    std::unique_ptr<Core> core;
    GroupFormation formation;
    Departures departures;
    /// Set while this VM is about to stop.
    std::function<void()> departed;
    /// Members of the group as reported in answers to join requests, while this VM belongs to no group.
    std::vector<ControlMember> reportedMembers;
    std::unique_ptr<DiskThread> disk;

    std::vector<DiskWrite> pendingWrites;
    bool writeInProgress = false;
    std::map<VmId, std::unique_ptr<PeerLink>> links;
    std::map<ReplicaId, VmId> vmsByReplica;
    std::function<void()> leadershipLost = [] {};
    std::uint64_t lastRequestNumber = 0;
    std::map<RequestNumber, ProposalDone> proposals;
    std::map<RequestNumber, ReadDone> reads;
    std::uint64_t entriesSinceSnapshot = 0;
    std::size_t bytesSinceSnapshot = 0;
    std::optional<ReplicaId> loggedLeader;
    bool controlSeedLackReported = false;
    LeadershipLogger leadershipLogger;
    std::optional<TimePoint> leadsSince;
    ShortfallMonitor shortfall;
    kj::Maybe<kj::Promise<void>> timerTask;
    std::optional<TimePoint> timerDeadline;
    kj::TaskSet tasks;
};

/// RPC server for messages and join requests from other control VMs.
class PeerServer final : public schema::ConsensusPeer::Server
{
public:
    explicit PeerServer(ReplicaNode &node)
        : node(node)
    {
    }

    auto deliver(DeliverContext call) -> kj::Promise<void> override
    {
        this->node.onMessage(call.getParams().getMessage());
        return kj::READY_NOW;
    }

    auto join(JoinContext call) -> kj::Promise<void> override
    {
        auto answer = call.getResults();
        answer.setEmpty(this->node.onJoinRequest(read(call.getParams().getMember())));
        const auto members = this->node.members();
        auto list = answer.initMembers(static_cast<unsigned>(members.size()));
        for (auto position = 0U; position < list.size(); ++position) {
            write(members[position], list[position]);
        }
        return kj::READY_NOW;
    }

    auto leave(LeaveContext call) -> kj::Promise<void> override
    {
        const auto replica = ReplicaId(call.getParams().getReplica());
        call.getResults().setMayEnd(this->node.onLeaveRequest(replica));
        return kj::READY_NOW;
    }

private:
    ReplicaNode &node;
};

ReplicaNode::ReplicaNode(
    rpc::LoopContext &context, ReplicaSettings settings, StateMachine &machine, std::unique_ptr<storage::Folder> folder, std::unique_ptr<ReplicaStore> store)
    : context(context)
    , settings(std::move(settings))
    , machine(machine)
    , applyQueue(machine,
                 [this](const ApplyQueue::Work &work, Bytes result) {
                     this->onApplied(work, std::move(result));
                 })
    , folder(std::move(folder))
    , self(store->replica())
    , formation(this->settings.vm, this->settings.initialMembers, this->settings.mayFound, this->settings.openToOthers)
    , shortfall((this->settings.voters - 1) / 2)
    , tasks(*this)
{
    auto coreSettings = CoreSettings();
    // The seeds are only some of the control VMs, and may be fewer than the voters that the promised losses need.
    coreSettings.foundingVoters = this->settings.openToOthers ? this->settings.voters : std::max<std::size_t>(1, this->settings.initialMembers.size());
    auto recovered = store->takeRecovered();
    if (recovered.snapshot != nullptr) {
        this->machine.restore(recovered.snapshot->state);
    }
    this->core = std::make_unique<Core>(this->self, coreSettings, std::move(recovered), this->settings.seed, clockNow());
    this->disk = std::make_unique<DiskThread>(std::move(store), this->context.lowLevel, std::make_unique<DiskLogger>());
}

auto ReplicaNode::taskFailed(kj::Exception &&exception) -> void
{
    support::log(support::Event::ConsensusTaskFailed, {{"detail", exception.getDescription().cStr()}});
}

auto ReplicaNode::start() -> void
{
    this->armTimer();
    this->updateMembership();
}

auto ReplicaNode::handle(const CoreEvent &event) -> void
{
    const auto wasLeader = this->core->role() == CoreRole::Leader;
    auto actions = this->core->handle(event, clockNow());
    if (wasLeader && this->core->role() != CoreRole::Leader) {
        this->leadershipLost();
    }
    for (auto &action : actions) {
        this->perform(std::move(action));
    }
    this->startWriting();
    this->applyCommitted();
    this->armTimer();
    this->logLeaderChange();
    this->leadershipLogger.update(*this->core, clockNow());
}

auto ReplicaNode::perform(Action action) -> void
{
    if (const auto *const send = std::get_if<Send>(&action)) {
        this->sendMessage(*send);
    } else if (auto *const persist = std::get_if<Persist>(&action)) {
        this->pendingWrites.emplace_back(std::move(*persist));
    } else if (auto *const save = std::get_if<SaveSnapshot>(&action)) {
        this->pendingWrites.emplace_back(std::move(*save));
    } else if (auto *const applied = std::get_if<Apply>(&action)) {
        this->applyQueue.push(std::move(*applied));
    } else if (auto *const restored = std::get_if<Restore>(&action)) {
        this->applyQueue.push(std::move(*restored));
    } else if (const auto *const ready = std::get_if<ReadReady>(&action)) {
        this->applyQueue.push(*ready);
    } else {
        this->fail(std::get<Failed>(action));
    }
}

auto ReplicaNode::sendMessage(const Send &send) -> void
{
    const auto vm = this->vmOf(send.to);
    auto *const link = vm ? this->linkTo(*vm) : nullptr;
    if (link == nullptr) {
        return;
    }
    link->deliver([this, &send](schema::Message::Builder out) {
        write(send.message, out);
        out.setFrom(this->self.value());
        out.setTo(send.to.value());
        out.setFromVm(this->settings.vm.value());
    });
}

auto ReplicaNode::applyCommitted() -> void
{
    this->applyQueue.run(clockNow);
    this->snapshotIfDue();
    if (this->applyQueue.empty() || std::exchange(this->applyScheduled, true)) {
        return;
    }
    // By a timer, as the loop would do work that is merely put off before it looks at its sockets.
    this->tasks.add(this->context.timer.afterDelay(0 * kj::MILLISECONDS).then([this] {
        this->applyScheduled = false;
        this->applyCommitted();
    }));
}

auto ReplicaNode::onApplied(const ApplyQueue::Work &work, Bytes result) -> void
{
    if (const auto *const applied = std::get_if<Apply>(&work)) {
        this->onEntryApplied(*applied, std::move(result));
    } else if (const auto *const ready = std::get_if<ReadReady>(&work)) {
        if (auto found = this->reads.extract(ready->number)) {
            found.mapped()(std::nullopt);
        }
    } else {
        this->entriesSinceSnapshot = 0;
        this->bytesSinceSnapshot = 0;
    }
}

auto ReplicaNode::onEntryApplied(const Apply &apply, Bytes result) -> void
{
    ++this->entriesSinceSnapshot;
    if (const auto *const command = std::get_if<Command>(&apply.entry.content)) {
        this->bytesSinceSnapshot += command->bytes.size();
    }
    if (!apply.number) {
        return;
    }
    if (auto found = this->proposals.extract(*apply.number)) {
        found.mapped()(std::move(result));
    }
}

auto ReplicaNode::fail(const Failed &failed) -> void
{
    if (auto found = this->proposals.extract(failed.number)) {
        found.mapped()(failed.failure);
    } else if (auto read = this->reads.extract(failed.number)) {
        read.mapped()(failed.failure);
    }
}

auto ReplicaNode::startWriting() -> void
{
    if (this->writeInProgress || this->pendingWrites.empty()) {
        return;
    }
    this->writeInProgress = true;
    this->tasks.add(this->disk->run(std::exchange(this->pendingWrites, {})).then([this](const DiskOutcome &outcome) {
        this->writeInProgress = false;
        this->onDiskOutcome(outcome);
    }));
}

auto ReplicaNode::onDiskOutcome(const DiskOutcome &outcome) -> void
{
    if (const auto *const token = std::get_if<PersistToken>(&outcome)) {
        this->handle(DiskSynced{*token});
        return;
    }
    support::log(support::Event::StorageFailed, {{"detail", std::get<storage::StorageError>(outcome).detail}});
    this->handle(DiskFailed());
}

auto ReplicaNode::armTimer() -> void
{
    const auto deadline = this->core->deadline();
    if (this->timerDeadline == deadline) {
        return;
    }
    this->timerDeadline = deadline;
    this->timerTask = this->context.timer.afterDelay(toKj(deadline - clockNow()))
                          .then([this] {
                              // Deferred, as the next armTimer() replaces the task that runs here.
                              this->tasks.add(kj::evalLater([this] {
                                  this->timerDeadline.reset();
                                  this->handle(Timer());
                              }));
                          })
                          .eagerlyEvaluate(nullptr);
}

auto ReplicaNode::snapshotIfDue() -> void
{
    // The state is that of the commit index only when nothing waits.
    const auto isDue = this->entriesSinceSnapshot >= snapshotEntries || this->bytesSinceSnapshot >= snapshotBytes;
    if (!isDue || !this->applyQueue.empty()) {
        return;
    }
    this->entriesSinceSnapshot = 0;
    this->bytesSinceSnapshot = 0;
    for (auto &action : this->core->handle(SnapshotTaken{this->core->commitIndex(), this->machine.snapshot()}, clockNow())) {
        this->perform(std::move(action));
    }
    this->startWriting();
}

auto ReplicaNode::updateMembership() -> void
{
    this->leadsSince = this->core->role() == CoreRole::Leader ? std::optional(this->leadsSince.value_or(clockNow())) : std::nullopt;
    this->keepLinksOpen();
    if (this->shouldRequestToJoin()) {
        this->requestToJoin();
        if (this->core->members().members.empty() && this->formation.shouldFound(clockNow())) {
            support::log(support::Event::GroupFounded, {{"vm", this->settings.vm.value()}});
            this->handle(Founded{this->selfMember()});
        }
        this->reportLackOfControlSeed();
    } else if (this->core->acceptsMemberChange() && !this->isSuspended()) {
        this->changeMembers();
    }
    this->reportShortfall();
    this->tasks.add(this->context.timer.afterDelay(toKj(membershipInterval)).then([this] {
        this->updateMembership();
    }));
}

auto ReplicaNode::reportLackOfControlSeed() -> void
{
    const auto lacks = this->core->members().members.empty() && this->formation.lacksControlSeed(clockNow());
    if (lacks && !std::exchange(this->controlSeedLackReported, true)) {
        support::log(support::Event::ControlSeedMissing, {{"vm", this->settings.vm.value()}});
    }
}

auto ReplicaNode::changeMembers() -> void
{
    const auto requests = this->formation.requests(clockNow());
    const auto caughtUp = [this](ReplicaId replica) {
        return this->core->caughtUp(replica);
    };
    const auto change = nextMemberChange(this->core->members(), requests, caughtUp, this->repairRules());
    if (change) {
        this->proposeMembers(*change, [](const ProposalOutcome &) {});
    } else if (this->isComplete()) {
        this->proposeMembers(
            this->members(), [](const ProposalOutcome &) {}, true);
    }
}

auto ReplicaNode::isComplete() const -> bool
{
    if (!this->settings.openToOthers || this->core->members().formed || !this->leadsSince) {
        return false;
    }
    const auto responding = [this](ReplicaId replica) {
        return this->responds(replica);
    };
    return this->formation.isComplete(this->core->members(), responding, *this->leadsSince, clockNow());
}

auto ReplicaNode::shouldRequestToJoin() const -> bool
{
    if (this->core->needsToJoin()) {
        return true;
    }
    // A removed replica does not receive the entry that removes it: it would wait for a leader forever, and the group would lack a VM
    // that could replace the next lost voter.
    const auto silence = clockNow() - this->core->lastLeaderContactTime();
    return this->settings.openToOthers && this->core->role() != CoreRole::Leader && silence > voterReplacementTimeout;
}

auto ReplicaNode::requestToJoin() -> void
{
    auto contacts = this->settings.initialMembers;
    contacts.insert(contacts.end(), this->reportedMembers.begin(), this->reportedMembers.end());
    if (this->settings.openToOthers) {
        // A VM that was removed while it was down may know more of the group than its seeds.
        const auto former = this->members();
        contacts.insert(contacts.end(), former.begin(), former.end());
    }
    for (const auto &member : contacts) {
        if (member.vm == this->settings.vm) {
            continue;
        }
        this->linkTo(member.vm)->join(this->selfMember(), [this, vm = member.vm](JoinAnswer answer) {
            this->formation.recordAnswer(vm, answer, clockNow());
            // Only the leader admits VMs, and the settings may not list it.
            if (!answer.members.empty()) {
                this->reportedMembers = std::move(answer.members);
            }
        });
    }
}

auto ReplicaNode::repairRules() const -> RepairRules
{
    auto rules = RepairRules();
    rules.voters = this->settings.voters;
    rules.leader = this->self;
    if (this->settings.openToOthers) {
        rules.members = 2 * this->settings.voters;
        rules.spreadOverZones = true;
        rules.lost = [this](ReplicaId replica) {
            return replica != this->self && this->core->timeSinceContact(replica) > voterReplacementTimeout;
        };
        rules.stopping = [this](ReplicaId replica) {
            return this->departures.isStopping(replica, clockNow());
        };
        rules.ended = [this](ReplicaId replica) {
            return this->departures.hasEnded(replica, this->core->timeSinceContact(replica), clockNow());
        };
    }
    return rules;
}

auto ReplicaNode::depart(std::function<void()> mayEnd) -> void
{
    this->departed = std::move(mayEnd);
    const auto members = this->members();
    const auto hasOthers = std::any_of(members.begin(), members.end(), [this](const ControlMember &member) {
        return member.replica != this->self;
    });
    if (!hasOthers || !this->core->mayVote(this->self)) {
        this->endDeparture();
        return;
    }
    this->handle(Departing());
    this->askToLeave();
}

auto ReplicaNode::askToLeave() -> void
{
    if (!this->departed) {
        return;
    }
    if (!this->core->mayVote(this->self) || this->onLeaveRequest(this->self)) {
        this->endDeparture();
        return;
    }
    // All others are told, as the next leader has to know of it too.
    for (const auto &member : this->members()) {
        auto *const link = member.vm == this->settings.vm ? nullptr : this->linkTo(member.vm);
        if (link == nullptr) {
            continue;
        }
        link->leave(this->self, [this](bool mayEnd) {
            if (mayEnd) {
                this->endDeparture();
            }
        });
    }
    this->tasks.add(this->context.timer.afterDelay(toKj(departureInterval)).then([this] {
        this->askToLeave();
    }));
}

auto ReplicaNode::endDeparture() -> void
{
    if (const auto done = std::exchange(this->departed, nullptr)) {
        done();
    }
}

auto ReplicaNode::onLeaveRequest(ReplicaId replica) -> bool
{
    const auto now = clockNow();
    this->departures.recordRequest(replica, now);
    if (!this->core->acceptsMemberChange() || !this->core->holdsLeaderLease(now) || this->isSuspended()) {
        return false;
    }
    auto presence = Presence();
    presence.certain = [this](ReplicaId other) {
        const auto hasReplied = other == this->self || this->core->hasReplied(other);
        return hasReplied && this->responds(other) && !this->departures.isReleased(other);
    };
    presence.possible = [this, now](ReplicaId other) {
        return this->responds(other) && !this->departures.isStopping(other, now) && !this->departures.isReleased(other);
    };
    if (mayDepart(replica, this->core->members(), this->formation.requests(now), presence, this->repairRules())) {
        this->departures.recordRelease(replica);
        support::log(support::Event::ControlVmReleased,
                     {{"vm", this->vmOf(replica).value_or(VmId()).value()}, {"voter", this->core->mayVote(replica) ? "yes" : "no"}});
        return true;
    }
    this->changeMembers();
    return false;
}

auto ReplicaNode::responds(ReplicaId replica) const -> bool
{
    return replica == this->self || this->core->timeSinceContact(replica) < responseTimeout;
}

auto ReplicaNode::currentTolerance() const -> FaultTolerance
{
    return toleranceOf(this->core->members().members, [this](ReplicaId replica) {
        return this->responds(replica);
    });
}

auto ReplicaNode::reportShortfall() -> void
{
    if (!this->settings.openToOthers || this->core->role() != CoreRole::Leader) {
        this->shortfall.reset();
        return;
    }
    const auto tolerance = this->currentTolerance();
    if (this->shortfall.update(tolerance.survived, clockNow())) {
        support::log(support::Event::ToleranceReduced,
                     {{"promised", std::uint64_t{(this->settings.voters - 1) / 2}},
                      {"survived", std::uint64_t{tolerance.survived}},
                      {"voters", std::uint64_t{tolerance.voters}},
                      {"zones", std::uint64_t{tolerance.zones}}});
    }
}

auto ReplicaNode::onJoinRequest(const ControlMember &member) -> bool
{
    this->formation.recordRequest(JoinRequest{member.vm, member.endpoint, member.replica, member.zone}, this->core->members(), clockNow());
    this->vmsByReplica.insert_or_assign(member.replica, member.vm);
    // A VM runs one control process at a time, so a request with a new replica identity proves that the process of the former identity
    // has ended.
    for (const auto &known : this->members()) {
        if (known.vm == member.vm && known.replica != member.replica) {
            this->handle(Ended{known.replica});
        }
    }
    return !this->isInGroup();
}

auto ReplicaNode::onMessage(schema::Message::Reader message) -> void
{
    if (ReplicaId(message.getTo()) != this->self) {
        return;
    }
    const auto from = ReplicaId(message.getFrom());
    this->vmsByReplica.insert_or_assign(from, VmId(message.getFromVm().cStr()));
    this->departures.recordMessage(from, clockNow());
    this->handle(Received{from, read(message)});
}

auto ReplicaNode::vmOf(ReplicaId replica) const -> std::optional<VmId>
{
    for (const auto &member : this->core->members().members) {
        if (member.replica == replica) {
            return member.vm;
        }
    }
    const auto found = this->vmsByReplica.find(replica);
    return found == this->vmsByReplica.end() ? std::nullopt : std::optional(found->second);
}

auto ReplicaNode::linkTo(const VmId &vm) -> PeerLink *
{
    if (const auto found = this->links.find(vm); found != this->links.end()) {
        return found->second.get();
    }
    auto candidates = this->core->members().members;
    candidates.insert(candidates.end(), this->settings.initialMembers.begin(), this->settings.initialMembers.end());
    candidates.insert(candidates.end(), this->reportedMembers.begin(), this->reportedMembers.end());
    for (const auto &member : candidates) {
        if (member.vm == vm) {
            const auto onConnected = [this, vm] {
                this->onConnected(vm);
            };
            return this->links.emplace(vm, std::make_unique<PeerLink>(this->context, member.endpoint, onConnected)).first->second.get();
        }
    }
    return nullptr;
}

auto ReplicaNode::onConnected(const VmId &vm) -> void
{
    for (const auto &member : this->members()) {
        if (member.vm == vm) {
            this->handle(Reached{member.replica});
        }
    }
}

auto ReplicaNode::keepLinksOpen() -> void
{
    const auto currentMembers = this->members();
    for (const auto &member : currentMembers) {
        if (member.vm != this->settings.vm) {
            this->linkTo(member.vm);
        }
    }
    for (const auto &[vm, link] : this->links) {
        const auto isMember = std::any_of(currentMembers.begin(), currentMembers.end(), [&vm](const ControlMember &member) {
            return member.vm == vm;
        });
        link->keepOpen(isMember);
    }
}

auto ReplicaNode::selfMember() const -> ControlMember
{
    return {this->settings.vm, this->settings.endpoint, true, this->self, this->settings.zone};
}

auto ReplicaNode::isInGroup() const -> bool
{
    return !this->core->members().members.empty();
}

auto ReplicaNode::suspendCommands(TimePoint until) -> void
{
    this->suspendedUntil = until;
}

auto ReplicaNode::isSuspended() const -> bool
{
    return clockNow() < this->suspendedUntil;
}

auto ReplicaNode::logLeaderChange() -> void
{
    if (this->core->leader() == this->loggedLeader) {
        return;
    }
    this->loggedLeader = this->core->leader();
    const auto vm = this->leader();
    support::log(support::Event::ControlLeaderChanged, {{"leader", vm ? vm->value() : "none"}, {"term", this->core->term().value()}});
}

auto ReplicaNode::propose(Bytes command, ProposalDone done) -> void
{
    if (this->isSuspended()) {
        done(ProposalFailure::NotLeader);
        return;
    }
    const auto number = RequestNumber(++this->lastRequestNumber);
    this->proposals.emplace(number, std::move(done));
    this->handle(Proposed{number, std::move(command)});
}

auto ReplicaNode::confirmRead(ReadDone done) -> void
{
    if (this->isSuspended()) {
        done(ProposalFailure::NotLeader);
        return;
    }
    const auto number = RequestNumber(++this->lastRequestNumber);
    this->reads.emplace(number, std::move(done));
    this->handle(ReadRequested{number});
}

auto ReplicaNode::leaderLeaseEnd() const -> TimePoint
{
    if (this->isSuspended()) {
        return TimePoint::min();
    }
    // A leader that has not applied what earlier leaders committed would decide by an old state.
    return this->applyQueue.lacksEntriesBefore(this->core->term()) ? TimePoint::min() : this->core->leaderLeaseEnd();
}

auto ReplicaNode::onLeadershipLost(std::function<void()> callback) -> void
{
    this->leadershipLost = std::move(callback);
}

auto ReplicaNode::leadershipNumber() const -> std::uint64_t
{
    return this->core->term().value();
}

auto ReplicaNode::timeSinceContact(const VmId &vm) const -> Duration
{
    for (const auto &member : this->core->members().members) {
        if (member.vm == vm) {
            return this->core->timeSinceContact(member.replica);
        }
    }
    return Duration::max();
}

auto ReplicaNode::leader() const -> std::optional<VmId>
{
    const auto replica = this->core->leader();
    return replica ? this->vmOf(*replica) : std::nullopt;
}

auto ReplicaNode::proposeMembers(std::vector<ControlMember> members, ProposalDone done, bool complete) -> void
{
    const auto number = RequestNumber(++this->lastRequestNumber);
    this->proposals.emplace(number, std::move(done));
    this->handle(MembersProposed{number, std::move(members), complete});
}

auto ReplicaNode::addLearner(ControlMember member, ProposalDone done) -> void
{
    for (const auto &request : this->formation.requests(clockNow())) {
        if (member.replica == ReplicaId() && request.vm == member.vm) {
            member.replica = request.replica;
        }
    }
    if (member.replica == ReplicaId()) {
        done(ProposalFailure::ChangeInProgress);
        return;
    }
    member.voter = false;
    auto next = this->members();
    next.push_back(std::move(member));
    this->proposeMembers(std::move(next), std::move(done));
}

auto ReplicaNode::promoteLearner(VmId vm, ProposalDone done) -> void
{
    auto next = this->members();
    for (auto &member : next) {
        member.voter = member.voter || member.vm == vm;
    }
    this->proposeMembers(std::move(next), std::move(done));
}

auto ReplicaNode::removeMember(VmId vm, ProposalDone done) -> void
{
    auto next = this->members();
    std::erase_if(next, [&vm](const ControlMember &member) {
        return member.vm == vm;
    });
    this->proposeMembers(std::move(next), std::move(done));
}

auto ReplicaNode::members() const -> std::vector<ControlMember>
{
    return this->core->members().members;
}

auto ReplicaNode::survivedLosses() const -> std::optional<std::size_t>
{
    return this->core->role() == CoreRole::Leader ? std::optional(this->currentTolerance().survived) : std::nullopt;
}

auto ReplicaNode::peerCapability() -> capnp::Capability::Client
{
    return capnp::Capability::Client(kj::heap<PeerServer>(*this));
}

} // namespace

auto openReplica(rpc::LoopContext &context, ReplicaSettings settings, StateMachine &machine) -> boost::leaf::result<std::unique_ptr<Replica>>
{
    BOOST_LEAF_AUTO(folder, storage::openPosixFolder(settings.dataFolder));
    auto random = std::mt19937_64(settings.seed);
    BOOST_LEAF_AUTO(store, ReplicaStore::open(*folder, settings.vm, ReplicaId(random() | 1)));
    return std::unique_ptr<Replica>(std::make_unique<ReplicaNode>(context, std::move(settings), machine, std::move(folder), std::move(store)));
}

} // namespace sapphirespool::consensus
