#include "Consensus/fakegroup.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

/// Keeps few log entries and limits messages to a few bytes, so that short schedules transfer snapshots in several chunks.
auto testSettings(std::size_t size) -> CoreSettings
{
    auto settings = CoreSettings();
    settings.entriesKept = 3;
    settings.appendBytes = 150;
    settings.appendsInFlight = 2;
    settings.chunkBytes = 40;
    settings.foundingVoters = size;
    return settings;
}

auto require(bool holds, const std::string &invariant) -> void
{
    if (!holds) {
        throw std::runtime_error("invariant violated: " + invariant);
    }
}

auto encodeState(const std::vector<std::pair<LogIndex, Bytes>> &applied) -> Bytes
{
    auto state = Bytes();
    for (const auto &[index, command] : applied) {
        state.push_back(static_cast<std::byte>(index.value() & 0xff));
        state.push_back(static_cast<std::byte>(index.value() >> 8));
        state.push_back(command.at(0));
    }
    return state;
}

auto decodeState(const Bytes &state) -> std::vector<std::pair<LogIndex, Bytes>>
{
    auto applied = std::vector<std::pair<LogIndex, Bytes>>();
    for (auto at = std::size_t(0); at + 2 < state.size(); at += 3) {
        const auto index = std::to_integer<std::uint64_t>(state[at]) | (std::to_integer<std::uint64_t>(state[at + 1]) << 8);
        applied.emplace_back(LogIndex(index), Bytes{state[at + 2]});
    }
    return applied;
}

/// Shorter than in operation, so that short schedules contain replacements, but longer than an election takes.
constexpr auto replacementTimeout = std::chrono::milliseconds(1'000);

auto voterCount(const Members &group) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(group.members.begin(), group.members.end(), [](const ControlMember &member) {
        return member.voter;
    }));
}

} // namespace

auto fixedList(std::size_t size) -> FakeLayout
{
    return {size, 0, size};
}

FakeGroup::FakeGroup(const FakeLayout &layout, std::uint64_t seed)
    : settings(testSettings(layout.voters))
    , targetVoters(layout.voters)
    , replacesVoters(layout.zones > 0)
    , random(seed)
{
    // Within the drift bound of 10 % between any two.
    auto rates = std::uniform_real_distribution<double>(0.96, 1.04);
    for (auto index = std::size_t(0); index < layout.size; ++index) {
        auto vm = FakeVm();
        vm.vm = VmId("vm" + std::to_string(index));
        vm.zone = ZoneId("zone" + std::to_string(layout.zones > 0 ? index % layout.zones : 0));
        vm.replica = ReplicaId(this->nextReplicaId++);
        vm.clockRate = rates(this->random);
        this->vms.push_back(std::move(vm));
    }
    const auto first = this->initialConfigurationEntry();
    for (auto index = std::size_t(0); index < layout.size; ++index) {
        auto &vm = this->vms[index];
        if (index < layout.voters) {
            vm.synced.hard.term = ElectionTerm(1);
            vm.synced.entries.push_back(first);
        }
        this->start(vm);
    }
}

auto FakeGroup::initialConfigurationEntry() const -> Entry
{
    auto group = Members{{}, true};
    for (auto index = std::size_t(0); index < this->targetVoters; ++index) {
        const auto &vm = this->vms[index];
        group.members.push_back(ControlMember{vm.vm, Endpoint(), true, vm.replica, vm.zone});
    }
    return Entry{LogIndex(1), ElectionTerm(1), std::move(group)};
}

auto FakeGroup::start(FakeVm &vm) -> void
{
    vm.applied.clear();
    vm.appliedIndex = LogIndex();
    if (vm.synced.snapshot != nullptr) {
        this->restore(vm, *vm.synced.snapshot);
    }
    const auto recovered = Recovered{vm.synced.hard, vm.synced.snapshot, vm.synced.entries};
    vm.core = std::make_unique<Core>(vm.replica, this->settings, recovered, this->random(), this->localTime(vm));
}

auto FakeGroup::size() const -> std::size_t
{
    return this->vms.size();
}

auto FakeGroup::vm(std::size_t index) -> FakeVm &
{
    return this->vms[index % this->vms.size()];
}

auto FakeGroup::committedCount() const -> std::size_t
{
    return this->committed.size();
}

auto FakeGroup::resignationCount() const -> std::size_t
{
    return this->resignations.size();
}

auto FakeGroup::localTime(const FakeVm &vm) const -> TimePoint
{
    const auto local = static_cast<double>(this->time.count()) * vm.clockRate;
    // Each clock has another offset.
    const auto offset = std::chrono::hours(vm.vm.value().back() - '0' + 1);
    return TimePoint(offset + std::chrono::nanoseconds(static_cast<std::int64_t>(local)));
}

auto FakeGroup::leaderIndex() const -> std::optional<std::size_t>
{
    auto best = std::optional<std::size_t>();
    for (auto index = std::size_t(0); index < this->vms.size(); ++index) {
        const auto &core = this->vms[index].core;
        if (core == nullptr || core->role() != CoreRole::Leader) {
            continue;
        }
        if (!best || this->vms[*best].core->term() < core->term()) {
            best = index;
        }
    }
    return best;
}

auto FakeGroup::find(ReplicaId replica) -> FakeVm *
{
    const auto found = std::find_if(this->vms.begin(), this->vms.end(), [replica](const FakeVm &vm) {
        return vm.replica == replica;
    });
    return found == this->vms.end() ? nullptr : &*found;
}

auto FakeGroup::handle(FakeVm &vm, const CoreEvent &event) -> void
{
    if (vm.core == nullptr) {
        return;
    }
    for (auto &action : vm.core->handle(event, this->localTime(vm))) {
        this->perform(vm, std::move(action));
    }
    require(vm.appliedIndex == vm.core->commitIndex(), "committed entries are applied at once");
    this->checkLeaders();
}

auto FakeGroup::perform(FakeVm &vm, Action action) -> void
{
    if (const auto *const send = std::get_if<Send>(&action)) {
        if (std::holds_alternative<Resigned>(send->message)) {
            this->resignations.push_back(InFlightMessage{vm.replica, send->to, send->message});
        }
        this->network.push_back(InFlightMessage{vm.replica, send->to, send->message});
    } else if (const auto *const applied = std::get_if<Apply>(&action)) {
        this->apply(vm, *applied);
    } else if (const auto *const restored = std::get_if<Restore>(&action)) {
        this->restore(vm, *restored->snapshot);
    } else if (const auto *const ready = std::get_if<ReadReady>(&action)) {
        this->readReady(vm, ready->number);
    } else if (const auto *const failed = std::get_if<Failed>(&action)) {
        this->reads.erase(failed->number);
    } else {
        vm.unsynced.push_back(std::move(action));
    }
}

auto FakeGroup::apply(FakeVm &vm, const Apply &apply) -> void
{
    const auto &entry = apply.entry;
    require(entry.index == vm.appliedIndex.next(), "entries are applied in order");
    vm.appliedIndex = entry.index;
    const auto [known, added] = this->committed.emplace(entry.index, entry);
    require(added || known->second == entry, "a committed entry is never lost or changed, index " + std::to_string(entry.index.value()));
    if (const auto *const command = std::get_if<Command>(&entry.content)) {
        vm.applied.emplace_back(entry.index, command->bytes);
    }
    if (const auto *const members = std::get_if<Members>(&entry.content)) {
        this->checkMembers(*members);
    }
}

auto FakeGroup::restore(FakeVm &vm, const Snapshot &snapshot) -> void
{
    vm.applied = decodeState(snapshot.state);
    vm.appliedIndex = snapshot.index;
    auto expected = std::vector<std::pair<LogIndex, Bytes>>();
    for (const auto &[index, entry] : this->committed) {
        const auto *const command = std::get_if<Command>(&entry.content);
        if (index <= snapshot.index && command != nullptr) {
            expected.emplace_back(index, command->bytes);
        }
    }
    require(vm.applied == expected, "a snapshot holds all commands committed up to its index");
}

auto FakeGroup::readReady(const FakeVm &vm, RequestNumber number) -> void
{
    const auto found = this->reads.find(number);
    if (found == this->reads.end()) {
        return;
    }
    require(vm.appliedIndex >= found->second.required, "a linearizable read is never stale");
    this->reads.erase(found);
}

auto FakeGroup::write(FakeVm &vm, const Action &action) -> void
{
    auto &disk = vm.synced;
    if (const auto *const persist = std::get_if<Persist>(&action)) {
        if (persist->hard) {
            disk.hard = *persist->hard;
        }
        if (persist->cutFrom) {
            std::erase_if(disk.entries, [&persist](const Entry &entry) {
                return entry.index >= *persist->cutFrom;
            });
        }
        disk.entries.insert(disk.entries.end(), persist->entries.begin(), persist->entries.end());
        return;
    }
    const auto &save = std::get<SaveSnapshot>(action);
    disk = FakeDisk{save.hard, save.snapshot, save.entries};
}

auto FakeGroup::syncDisk(std::size_t index) -> void
{
    auto &vm = this->vm(index);
    if (vm.core == nullptr || vm.unsynced.empty() || vm.diskCondition != DiskCondition::Works) {
        return;
    }
    auto token = PersistToken();
    for (const auto &action : vm.unsynced) {
        this->write(vm, action);
        const auto *const persist = std::get_if<Persist>(&action);
        token = persist != nullptr ? persist->token : std::get<SaveSnapshot>(action).token;
    }
    vm.unsynced.clear();
    this->handle(vm, DiskSynced{token});
}

auto FakeGroup::setDisk(std::size_t index, DiskCondition condition) -> void
{
    this->vm(index).diskCondition = condition;
}

auto FakeGroup::stallLeader(std::size_t pick) -> void
{
    const auto leader = this->leaderIndex();
    if (!leader) {
        return;
    }
    this->setDisk(*leader, pick % 2 == 0 ? DiskCondition::Full : DiskCondition::Stalled);
    this->propose(*leader, static_cast<std::uint8_t>(pick));
    this->runWithoutFaults(std::chrono::milliseconds(400 + pick % 150));
}

auto FakeGroup::repeatResignations() -> void
{
    this->network.insert(this->network.begin(), this->resignations.begin(), this->resignations.end());
    const auto count = this->resignations.size();
    for (auto message = std::size_t(0); message < count; ++message) {
        this->deliverFirst();
    }
}

auto FakeGroup::fireTimers() -> void
{
    for (auto &vm : this->vms) {
        if (vm.core != nullptr && this->localTime(vm) >= vm.core->deadline()) {
            this->handle(vm, Timer());
        }
    }
}

auto FakeGroup::advance(std::chrono::milliseconds step) -> void
{
    this->time += step;
    this->fireTimers();
    this->checkLeaders();
}

auto FakeGroup::deliver(std::size_t pick) -> void
{
    if (this->network.empty()) {
        return;
    }
    const auto at = this->network.begin() + static_cast<std::ptrdiff_t>(pick % this->network.size());
    const auto message = std::move(*at);
    this->network.erase(at);
    auto *const to = this->find(message.to);
    const auto *const from = this->find(message.from);
    if (to == nullptr || to->core == nullptr || to->isolated || (from != nullptr && from->isolated)) {
        return;
    }
    to->departures.recordMessage(message.from, this->localTime(*to));
    this->handle(*to, Received{message.from, message.message});
}

auto FakeGroup::deliverFirst() -> bool
{
    this->deliver(0);
    return !this->network.empty();
}

auto FakeGroup::drop(std::size_t pick) -> void
{
    if (!this->network.empty()) {
        this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(pick % this->network.size()));
    }
}

auto FakeGroup::duplicate(std::size_t pick) -> void
{
    if (!this->network.empty()) {
        this->network.push_back(this->network[pick % this->network.size()]);
    }
}

auto FakeGroup::propose(std::size_t index, std::uint8_t value) -> void
{
    this->handle(this->vm(index), Proposed{RequestNumber(this->nextRequestNumber++), Bytes{static_cast<std::byte>(value)}});
}

auto FakeGroup::read(std::size_t index) -> void
{
    if (this->vm(index).core == nullptr) {
        return;
    }
    const auto number = RequestNumber(this->nextRequestNumber++);
    const auto newest = this->committed.empty() ? LogIndex() : this->committed.rbegin()->first;
    this->reads[number] = PendingRead{index % this->vms.size(), newest};
    this->handle(this->vm(index), ReadRequested{number});
}

auto FakeGroup::crash(std::size_t index, std::size_t writesKept) -> void
{
    auto &vm = this->vm(index);
    if (vm.core == nullptr) {
        return;
    }
    const auto reached = vm.diskCondition == DiskCondition::Full ? 0 : std::min(writesKept, vm.unsynced.size());
    for (auto at = std::size_t(0); at < reached; ++at) {
        this->write(vm, vm.unsynced[at]);
    }
    vm.unsynced.clear();
    vm.core.reset();
    std::erase_if(this->reads, [this, index](const auto &read) {
        return read.second.vm == index % this->vms.size();
    });
}

auto FakeGroup::restart(std::size_t index) -> void
{
    auto &vm = this->vm(index);
    if (vm.core != nullptr || vm.removed) {
        return;
    }
    vm.stopping = false;
    this->start(vm);
    const auto replica = vm.replica;
    for (auto &other : this->vms) {
        if (other.core != nullptr && other.replica != replica) {
            this->handle(other, Reached{replica});
            this->handle(this->vm(index), Reached{other.replica});
        }
    }
}

auto FakeGroup::failPower(std::size_t pick) -> void
{
    const auto count = this->vms.size();
    const auto survivor = pick % (count + 1);
    for (auto index = std::size_t(0); index < count; ++index) {
        if (index != survivor) {
            this->crash(index, (pick / 8 + index) % 4);
        }
    }
    for (auto turn = std::size_t(0); turn < count; ++turn) {
        this->restart(pick / 32 + turn);
    }
}

auto FakeGroup::isolate(std::size_t index) -> void
{
    this->vm(index).isolated = true;
}

auto FakeGroup::heal(std::size_t index) -> void
{
    this->vm(index).isolated = false;
}

auto FakeGroup::survivesLossOf(const FakeVm &vm) const -> bool
{
    auto gone = this->lostReplicas;
    gone.insert(vm.replica);
    const auto survives = [&gone](const Members &group) {
        const auto voters = std::count_if(group.members.begin(), group.members.end(), [](const ControlMember &member) {
            return member.voter;
        });
        const auto left = std::count_if(group.members.begin(), group.members.end(), [&gone](const ControlMember &member) {
            return member.voter && !gone.contains(member.replica);
        });
        return left >= voters / 2 + 1;
    };
    return std::all_of(this->vms.begin(), this->vms.end(), [&survives](const FakeVm &other) {
        if (other.core == nullptr) {
            return false;
        }
        return other.core->members().members.empty() || survives(other.core->members());
    });
}

auto FakeGroup::loseDisk(std::size_t index) -> void
{
    if (this->survivesLossOf(this->vm(index))) {
        this->destroyDisk(index);
    }
}

auto FakeGroup::destroyDisk(std::size_t index) -> void
{
    auto &vm = this->vm(index);
    this->crash(index, 0);
    this->lostReplicas.insert(vm.replica);
    vm.replica = ReplicaId(this->nextReplicaId++);
    vm.synced = FakeDisk();
    vm.diskCondition = DiskCondition::Works;
    this->start(vm);
}

auto FakeGroup::asksToJoin(const FakeVm &vm) const -> bool
{
    if (vm.core == nullptr) {
        return false;
    }
    // A removed replica does not receive the entry that removes it.
    const auto isSilent = vm.core->role() != CoreRole::Leader && this->localTime(vm) - vm.core->lastLeaderContactTime() > replacementTimeout;
    return vm.core->needsToJoin() || (this->replacesVoters && isSilent);
}

auto FakeGroup::joinRequests() const -> std::vector<JoinRequest>
{
    auto requests = std::vector<JoinRequest>();
    for (const auto &vm : this->vms) {
        if (this->asksToJoin(vm)) {
            requests.push_back(JoinRequest{vm.vm, Endpoint(), vm.replica, vm.zone});
        }
    }
    return requests;
}

auto FakeGroup::repairRules(const FakeVm &leader) const -> RepairRules
{
    auto rules = RepairRules();
    if (!this->replacesVoters) {
        return rules;
    }
    rules.voters = this->targetVoters;
    rules.members = 2 * this->targetVoters;
    rules.spreadOverZones = true;
    rules.leader = leader.replica;
    rules.lost = [&leader](ReplicaId replica) {
        return replica != leader.replica && leader.core->timeSinceContact(replica) > replacementTimeout;
    };
    rules.stopping = [this, &leader](ReplicaId replica) {
        return leader.departures.isStopping(replica, this->localTime(leader));
    };
    rules.ended = [this, &leader](ReplicaId replica) {
        return leader.departures.hasEnded(replica, leader.core->timeSinceContact(replica), this->localTime(leader));
    };
    return rules;
}

auto FakeGroup::stop(std::size_t index) -> void
{
    auto &vm = this->vm(index);
    if (vm.core != nullptr && !std::exchange(vm.stopping, true)) {
        this->handle(vm, Departing());
    }
}

auto FakeGroup::endStopping(std::size_t index) -> void
{
    auto &vm = this->vm(index);
    if (vm.stopping && vm.core != nullptr) {
        this->crash(index, vm.unsynced.size());
        vm.removed = true;
    }
}

auto FakeGroup::mayEnd(FakeVm &leader, ReplicaId replica) -> bool
{
    leader.departures.recordRequest(replica, this->localTime(leader));
    if (!leader.core->acceptsMemberChange() || !leader.core->holdsLeaderLease(this->localTime(leader))) {
        return false;
    }
    const auto responds = [this, &leader](ReplicaId other) {
        return other == leader.replica || leader.core->timeSinceContact(other) < this->settings.maximumElectionTimeout;
    };
    auto presence = Presence();
    presence.certain = [&leader, &responds](ReplicaId other) {
        const auto hasReplied = other == leader.replica || leader.core->hasReplied(other);
        return hasReplied && responds(other) && !leader.departures.isReleased(other);
    };
    presence.possible = [this, &leader, &responds](ReplicaId other) {
        return responds(other) && !leader.departures.isStopping(other, this->localTime(leader)) && !leader.departures.isReleased(other);
    };
    const auto may = mayDepart(replica, leader.core->members(), this->joinRequests(), presence, this->repairRules(leader));
    if (may) {
        leader.departures.recordRelease(replica);
    }
    return may;
}

auto FakeGroup::passOnDepartures() -> void
{
    for (auto index = std::size_t(0); index < this->vms.size(); ++index) {
        auto &vm = this->vms[index];
        if (vm.core == nullptr || !vm.stopping || vm.isolated) {
            continue;
        }
        auto released = !vm.core->mayVote(vm.replica);
        for (auto &other : this->vms) {
            if (other.core != nullptr && !other.isolated) {
                released = this->mayEnd(other, vm.replica) || released;
            }
        }
        if (released) {
            this->endStopping(index);
        }
    }
}

auto FakeGroup::repair() -> void
{
    this->passOnDepartures();
    for (auto &vm : this->vms) {
        if (vm.core == nullptr || !vm.core->acceptsMemberChange()) {
            continue;
        }
        const auto caughtUp = [&vm](ReplicaId replica) {
            return vm.core->caughtUp(replica);
        };
        const auto change = nextMemberChange(vm.core->members(), this->joinRequests(), caughtUp, this->repairRules(vm));
        if (change) {
            this->handle(vm, MembersProposed{RequestNumber(this->nextRequestNumber++), *change});
        }
    }
}

auto FakeGroup::takeSnapshot(std::size_t index) -> void
{
    auto &vm = this->vm(index);
    if (vm.core == nullptr || vm.appliedIndex == LogIndex()) {
        return;
    }
    this->handle(vm, SnapshotTaken{vm.appliedIndex, encodeState(vm.applied)});
}

auto FakeGroup::runWithoutFaults(std::chrono::milliseconds span) -> void
{
    constexpr auto step = std::chrono::milliseconds(10);
    for (auto passed = std::chrono::milliseconds(0); passed < span; passed += step) {
        const auto waiting = this->network.size();
        for (auto message = std::size_t(0); message < waiting; ++message) {
            this->deliverFirst();
        }
        for (auto index = std::size_t(0); index < this->vms.size(); ++index) {
            this->syncDisk(index);
        }
        this->advance(step);
    }
}

auto FakeGroup::healAndCheck() -> void
{
    for (auto index = std::size_t(0); index < this->vms.size(); ++index) {
        this->heal(index);
        this->setDisk(index, DiskCondition::Works);
        this->restart(index);
    }
    // Without replacement each VM needs three changes at most; with it, removed voters join again and voters move between zones.
    const auto rounds = this->replacesVoters ? 80 : 30;
    for (auto round = 0; round < rounds; ++round) {
        this->runWithoutFaults(std::chrono::milliseconds(200));
        this->repair();
    }
    const auto leader = this->leaderIndex();
    require(leader.has_value(), "a healed group has a leader");
    this->propose(*leader, 0xff);
    this->read(*leader);
    this->runWithoutFaults(std::chrono::milliseconds(1000));
    const auto present = std::count_if(this->vms.begin(), this->vms.end(), [](const FakeVm &vm) {
        return !vm.removed;
    });
    for (const auto &vm : this->vms) {
        if (vm.removed) {
            continue;
        }
        require(vm.appliedIndex == this->committed.rbegin()->first, "all VMs of a healed group apply all committed entries");
        require(vm.core->isMember(), "all VMs of a healed group are members");
        require(vm.core->members().members.size() == static_cast<std::size_t>(present), "replicas whose disks were lost are removed from the group");
        this->checkHealedMembers(vm.core->members());
    }
    require(this->reads.empty(), "a healed group answers reads");
    this->checkLogs();
}

auto FakeGroup::checkMembers(const Members &group) const -> void
{
    require(voterCount(group) <= this->targetVoters + 1, "a group has at most one voter too many");
    for (const auto &vm : this->vms) {
        const auto voters = std::count_if(group.members.begin(), group.members.end(), [&vm](const ControlMember &member) {
            return member.voter && member.vm == vm.vm;
        });
        require(voters <= 1, "a VM is one voter at most");
    }
}

auto FakeGroup::checkHealedMembers(const Members &group) const -> void
{
    require(voterCount(group) == this->targetVoters, "a healed group has all its voters");
    if (!this->replacesVoters) {
        return;
    }
    auto voters = std::map<ZoneId, std::size_t>();
    for (const auto &member : group.members) {
        voters[member.zone] += member.voter ? 1 : 0;
    }
    const auto [fewest, most] = std::minmax_element(voters.begin(), voters.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    require(most->second - fewest->second <= 1, "the voters of a healed group are spread over its zones");
}

auto FakeGroup::checkLeaders() -> void
{
    const FakeVm *leaseHolder = nullptr;
    for (const auto &vm : this->vms) {
        if (vm.core == nullptr || vm.core->role() != CoreRole::Leader) {
            continue;
        }
        const auto [known, added] = this->leaders.emplace(vm.core->term(), vm.replica);
        require(added || known->second == vm.replica, "at most one leader per term");
        if (vm.core->holdsLeaderLease(this->localTime(vm))) {
            require(leaseHolder == nullptr, "at most one VM holds the leader lease");
            leaseHolder = &vm;
        }
    }
    for (const auto &vm : this->vms) {
        const auto leads = vm.core != nullptr && vm.core->role() == CoreRole::Leader;
        require(leaseHolder == nullptr || !leads || vm.core->term() <= leaseHolder->core->term(), "no VM is elected while another one holds the leader lease");
    }
}

auto FakeGroup::checkLogs() const -> void
{
    for (const auto &vm : this->vms) {
        if (vm.core == nullptr) {
            continue;
        }
        const auto &log = vm.core->log();
        for (auto index = log.baseIndex().next(); index <= vm.core->commitIndex(); index = index.next()) {
            require(this->committed.at(index) == log.at(index), "committed log entries match");
        }
    }
}

} // namespace sapphirespool::consensus
