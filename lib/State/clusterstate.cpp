#include "sapphirespool/State/clusterstate.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace sapphirespool::state
{

namespace
{

using membership::ClusterView;
using membership::ProxyView;
using membership::UpstreamView;

auto sameUpstream(const UpstreamView &left, const UpstreamView &right) -> bool
{
    return left.endpoint == right.endpoint && left.zone == right.zone && left.incarnation == right.incarnation && left.slots == right.slots
        && left.connectionLimit == right.connectionLimit && left.leaving == right.leaving;
}

auto sameVm(const ProxyView &left, const ProxyView &right) -> bool
{
    return left.zone == right.zone && left.incarnation == right.incarnation && left.callers == right.callers && left.peers == right.peers
        && left.leaving == right.leaving && left.silent == right.silent && left.settled == right.settled;
}

/// \param elements sorted by id
/// \param idOf returns the id of an element
/// \return the element with id \p id, or the position where it would be inserted
template <typename Elements, typename Id, typename IdOf>
auto lowerBoundById(Elements &elements, const Id &id, IdOf idOf)
{
    return std::lower_bound(elements.begin(), elements.end(), id, [&idOf](const auto &element, const Id &sought) {
        return idOf(element) < sought;
    });
}

auto upstreamIdOf(const UpstreamView &upstream) -> const UpstreamId &
{
    return upstream.id;
}

auto vmIdOf(const ProxyView &vm) -> const VmId &
{
    return vm.id;
}

auto groupIdOf(const GroupRecord &group) -> const GroupId &
{
    return group.view.id;
}

auto applyConfiguration(GroupRecord &record, const configuration::GroupConfiguration &group) -> void
{
    record.size = group.size;
    record.selfReplicating = group.selfReplicating;
    record.changeConfirmations(group.confirmations);
    record.view.connectionLimit = group.connectionLimit;
}

/// \return the elements sorted by id, as views list them, so that all views share one list
template <typename Element>
auto sortedById(std::vector<Element> elements) -> support::SharedList<Element>
{
    std::sort(elements.begin(), elements.end(), [](const Element &left, const Element &right) {
        return left.id < right.id;
    });
    return elements;
}

auto erasePaused(GroupRecord &record, const UpstreamId &member) -> void
{
    std::erase_if(record.paused, [&member](const PausedMember &paused) {
        return paused.id == member;
    });
}

auto digestOf(const std::string &text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

ClusterState::ClusterState()
    : content(changeLogLimit)
{
}

ClusterState::~ClusterState() = default;

auto ClusterState::apply(consensus::LogIndex, std::span<const std::byte> command) -> consensus::Bytes
{
    const auto decoded = decodeCommand(command);
    return encode(decoded ? this->execute(*decoded) : Result(Ignored()));
}

auto ClusterState::snapshot() const -> consensus::Bytes
{
    return encode(this->content);
}

auto ClusterState::restore(std::span<const std::byte> snapshot) -> void
{
    this->content = decodeContent(snapshot, changeLogLimit);
    this->invalidateView();
}

auto ClusterState::execute(const Command &command) -> Result
{
    return std::visit(
        [this](const auto &concrete) {
            return this->run(concrete);
        },
        command);
}

auto ClusterState::view() const -> std::shared_ptr<const ClusterView>
{
    if (this->builtView == nullptr) {
        this->builtView = this->buildView();
        ++this->builtViews;
    }
    return this->builtView;
}

auto ClusterState::viewsBuilt() const -> std::uint64_t
{
    return this->builtViews;
}

auto ClusterState::onChange(std::function<void()> newListener) -> void
{
    this->listener = std::move(newListener);
}

auto ClusterState::revision() const -> Revision
{
    return this->content.revision;
}

auto ClusterState::configuration() const -> Revision
{
    return this->content.configuration;
}

auto ClusterState::vms() const -> std::span<const ProxyView>
{
    return this->content.vms;
}

auto ClusterState::findVm(const VmId &vm) const -> const ProxyView *
{
    const auto position = lowerBoundById(this->content.vms, vm, vmIdOf);
    return position == this->content.vms.end() || position->id != vm ? nullptr : &*position;
}

auto ClusterState::text() const -> const std::string &
{
    return this->content.text;
}

auto ClusterState::groups() const -> std::span<const GroupRecord>
{
    return this->content.groups;
}

auto ClusterState::findGroup(const GroupId &group) const -> const GroupRecord *
{
    const auto position = lowerBoundById(this->content.groups, group, groupIdOf);
    return position == this->content.groups.end() || position->view.id != group ? nullptr : &*position;
}

auto ClusterState::promotionDuty() const -> const DutyGrant &
{
    return this->content.duty;
}

auto ClusterState::run(const ChangeConfiguration &command) -> Result
{
    if (command.content.version) {
        return this->applyVersioned(command);
    }
    // An operator who lost the response resends the change. Evaluated again, the change would conflict with the revision that it
    // produced itself, and the operator would apply it a second time on the new base. Return the first result, kept by change id.
    if (const auto *const recorded = this->content.changes.find(command.change)) {
        const auto same = recorded->base == command.base && recorded->digest == digestOf(command.text);
        return same ? recorded->result : Result(ChangeIdReused());
    }
    const auto result = this->applyToBase(command);
    this->recordResult(command, result);
    return result;
}

auto ClusterState::applyVersioned(const ChangeConfiguration &command) -> Result
{
    // Two operators may give the same version to different texts, and an older text may be resent. Only a higher version replaces the
    // configuration, so that it never goes back and doesn't depend on which copy arrives last. A text with a lower or equal version
    // counts as accepted, because its operator need not resend it.
    if (*command.content.version > this->content.version) {
        this->content.version = *command.content.version;
        this->installConfiguration(command);
    }
    return Accepted{this->content.configuration};
}

auto ClusterState::applyToBase(const ChangeConfiguration &command) -> Result
{
    if (command.base != this->content.configuration) {
        return Conflict{this->content.configuration};
    }
    this->installConfiguration(command);
    return Accepted{this->content.configuration};
}

auto ClusterState::installConfiguration(const ChangeConfiguration &command) -> void
{
    this->content.configuration = this->content.configuration.next();
    this->content.text = command.text;
    this->content.services = sortedById(command.content.services);
    this->content.customers = sortedById(command.content.customers);
    for (const auto &group : command.content.groups) {
        const auto position = lowerBoundById(this->content.groups, group.id, groupIdOf);
        if (position != this->content.groups.end() && position->view.id == group.id) {
            applyConfiguration(*position, group);
            continue;
        }
        auto record = GroupRecord();
        record.view.id = group.id;
        applyConfiguration(record, group);
        this->content.groups.insert(position, std::move(record));
    }
    this->advanceRevision();
}

auto ClusterState::recordResult(const ChangeConfiguration &command, const Result &result) -> void
{
    // Revisions only increase, so a change on an outdated base conflicts whenever it is evaluated; its result need not be kept. A conflict
    // on a base that has not been reached yet must be kept, or the resent change could be accepted later.
    const auto *const conflict = std::get_if<Conflict>(&result);
    if (conflict == nullptr || command.base > conflict->current) {
        this->content.changes.add({command.change, command.base, digestOf(command.text), result});
    }
}

auto ClusterState::run(const RegisterUpstream &command) -> Result
{
    auto *const record = this->group(command.group);
    if (record == nullptr) {
        return Ignored{IgnoredReason::UnknownGroup};
    }
    auto &members = record->view.members;
    const auto position = lowerBoundById(members, command.upstream.id, upstreamIdOf);
    if (position != members.end() && position->id == command.upstream.id) {
        if (sameUpstream(*position, command.upstream)) {
            return Ignored{IgnoredReason::Unchanged};
        }
        *position = command.upstream;
        return this->advanceRevision();
    }
    // With more members than the configured size, a quorum might not intersect the set of members that acknowledged a write: a write that
    // is only on the extra member and one other could be lost.
    if (members.size() >= record->size && !record->selfReplicating) {
        return Ignored{IgnoredReason::GroupFull};
    }
    members.insert(position, command.upstream);
    // A member that comes back has its log.
    std::erase(record->departed, command.upstream.id);
    return this->advanceRevision();
}

auto ClusterState::run(const BeginTerm &command) -> Result
{
    auto *const record = this->group(command.group);
    if (record == nullptr) {
        return Ignored{IgnoredReason::UnknownGroup};
    }
    if (record->view.term != command.previous || command.next <= command.previous) {
        return Ignored{IgnoredReason::OtherTerm};
    }
    record->view.term = command.next;
    record->view.primary.reset();
    record->primaryIncarnation = Incarnation();
    return this->advanceRevision();
}

auto ClusterState::run(const ChoosePrimary &command) -> Result
{
    auto *const record = this->group(command.group);
    if (record == nullptr) {
        return Ignored{IgnoredReason::UnknownGroup};
    }
    if (record->view.term != command.term) {
        return Ignored{IgnoredReason::OtherTerm};
    }
    // Two successive control leaders may fence different majorities in the same term and choose different primaries. Only the first
    // choice committed for a term takes effect, and only the member that it names is promoted, so a term never has two primaries.
    if (record->view.primary) {
        return Ignored{IgnoredReason::PrimaryChosen};
    }
    if (record->view.findMember(command.primary) == nullptr) {
        return Ignored{IgnoredReason::UnknownMember};
    }
    // The former primary is a replica like others from now on.
    if (record->lastPrimary != UpstreamId() && record->view.findMember(record->lastPrimary) == nullptr) {
        record->noteDeparture(record->lastPrimary);
    }
    record->view.primary = command.primary;
    record->primaryIncarnation = command.incarnation;
    record->lastPrimary = command.primary;
    record->notePaused(command.paused);
    auto &history = record->view.history;
    history.push_back({command.term, command.keptUpTo});
    if (history.size() > termHistoryLimit) {
        history.erase(history.begin());
    }
    return this->advanceRevision();
}

auto ClusterState::run(const NoteResume &command) -> Result
{
    auto *const record = this->group(command.group);
    if (record == nullptr) {
        return Ignored{IgnoredReason::UnknownGroup};
    }
    const auto found = std::find_if(record->paused.begin(), record->paused.end(), [&command](const PausedMember &member) {
        return member.id == command.member;
    });
    if (found == record->paused.end()) {
        return Ignored{IgnoredReason::Unchanged};
    }
    if (command.phase == ResumePhase::Done) {
        record->paused.erase(found);
    } else {
        found->mayResume = true;
    }
    return Applied();
}

auto ClusterState::run(const GrantDuty &command) -> Result
{
    // A proposal of a former leader that is committed late names a grant that has been superseded.
    auto &duty = this->content.duty;
    if (command.previous != duty.number || command.leadership < duty.leadership) {
        return Ignored{IgnoredReason::OtherGrant};
    }
    duty = {command.holder, command.leadership, command.previous + 1};
    return Applied();
}

auto ClusterState::run(const RegisterVm &command) -> Result
{
    auto &vms = this->content.vms;
    const auto position = lowerBoundById(vms, command.vm.id, vmIdOf);
    auto vm = command.vm;
    if (position == vms.end() || position->id != vm.id) {
        // Before the first configuration no proxy can have allocated any quota.
        vm.settled = vm.settled || this->content.configuration == Revision(0);
        vms.insert(position, std::move(vm));
        return this->advanceRevision();
    }
    // A restarted process takes up the parts of the one before it, which has ended.
    vm.settled = vm.settled || position->settled;
    if (sameVm(*position, vm)) {
        return Ignored{IgnoredReason::Unchanged};
    }
    *position = std::move(vm);
    return this->advanceRevision();
}

auto ClusterState::run(const ForgetVm &command) -> Result
{
    auto &vms = this->content.vms;
    const auto position = lowerBoundById(vms, command.vm, vmIdOf);
    if (position == vms.end() || position->id != command.vm) {
        return Ignored{IgnoredReason::UnknownVm};
    }
    if (position->incarnation != command.incarnation) {
        return Ignored{IgnoredReason::FormerProcess};
    }
    vms.erase(position);
    return this->advanceRevision();
}

auto ClusterState::run(const ForgetUpstream &command) -> Result
{
    auto *const record = this->group(command.group);
    if (record == nullptr) {
        return Ignored{IgnoredReason::UnknownGroup};
    }
    auto &members = record->view.members;
    const auto position = lowerBoundById(members, command.upstream, upstreamIdOf);
    if (position == members.end() || position->id != command.upstream) {
        return Ignored{IgnoredReason::UnknownMember};
    }
    if (position->incarnation != command.incarnation) {
        return Ignored{IgnoredReason::FormerProcess};
    }
    members.erase(position);
    erasePaused(*record, command.upstream);
    if (command.upstream != record->lastPrimary) {
        record->noteDeparture(command.upstream);
    }
    return this->advanceRevision();
}

auto ClusterState::group(const GroupId &id) -> GroupRecord *
{
    const auto position = lowerBoundById(this->content.groups, id, groupIdOf);
    return position == this->content.groups.end() || position->view.id != id ? nullptr : &*position;
}

auto ClusterState::advanceRevision() -> Applied
{
    this->content.revision = this->content.revision.next();
    this->invalidateView();
    return Applied();
}

auto ClusterState::invalidateView() -> void
{
    this->builtView.reset();
    if (this->listener) {
        this->listener();
    }
}

auto ClusterState::buildView() const -> std::shared_ptr<const ClusterView>
{
    auto view = ClusterView();
    view.revision = this->content.revision;
    view.configuration = this->content.configuration;
    view.services = this->content.services;
    // Directories serve no statements. Whoever counted them as proxies would keep connections, quota or keys for them.
    std::copy_if(this->content.vms.begin(), this->content.vms.end(), std::back_inserter(view.proxies), [](const ProxyView &vm) {
        return !vm.isDirectory();
    });
    view.customers = this->content.customers;
    auto named = std::set<GroupId>();
    for (const auto &service : view.services) {
        named.insert(service.group);
    }
    for (const auto &record : this->content.groups) {
        if (named.contains(record.view.id)) {
            view.groups.push_back(record.view);
        }
    }
    return std::make_shared<const ClusterView>(std::move(view));
}

} // namespace sapphirespool::state
