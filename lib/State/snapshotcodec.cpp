#include "recordcodec.h"

#include "sapphirespool/State/records.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <limits>
#include <stdexcept>
#include <utility>

namespace sapphirespool::state
{

namespace
{

auto write(schema::TermStart::Builder to, const membership::TermStart &from) -> void
{
    to.setTerm(from.term.value());
    to.setKeptUpTo(from.keptUpTo.value());
}

auto write(schema::Group::Builder to, const GroupRecord &from) -> void
{
    to.setId(from.view.id.value());
    to.setSize(from.size);
    to.setTerm(from.view.term.value());
    to.setPrimary(from.view.primary.value_or(UpstreamId()).value());
    to.setPrimaryIncarnation(from.primaryIncarnation.value());
    auto history = to.initHistory(static_cast<unsigned>(from.view.history.size()));
    auto index = 0U;
    for (const auto &start : from.view.history) {
        write(history[index], start);
        ++index;
    }
    to.setConnectionLimit(from.view.connectionLimit);
    to.setSelfReplicating(from.selfReplicating);
    to.setConfirmations(from.confirmations);
    to.setLastPrimary(from.lastPrimary.value());
    auto departed = to.initDeparted(static_cast<unsigned>(from.departed.size()));
    auto place = 0U;
    for (const auto &member : from.departed) {
        departed.set(place, member.value());
        ++place;
    }
    auto paused = to.initPaused(static_cast<unsigned>(from.paused.size()));
    for (auto index = 0U; index < paused.size(); ++index) {
        paused[index].setId(from.paused[index].id.value());
        paused[index].setMayResume(from.paused[index].mayResume);
    }
    writeAll(to.initMembers(static_cast<unsigned>(from.view.members.size())), from.view.members);
}

auto write(schema::Change::Builder to, const ChangeRecord &from) -> void
{
    to.setId(from.id.value());
    to.setBase(from.base.value());
    to.setDigest(from.digest);
    state::write(to.initResult(), from.result);
}

auto write(schema::DutyGrant::Builder to, const DutyGrant &from) -> void
{
    to.setHolder(from.holder.value());
    to.setLeadership(from.leadership);
    to.setNumber(from.number);
}

auto read(schema::DutyGrant::Reader from) -> DutyGrant
{
    return {VmId(state::read(from.getHolder())), from.getLeadership(), from.getNumber()};
}

auto read(schema::Group::Reader from) -> GroupRecord
{
    auto group = GroupRecord();
    group.view.id = GroupId(state::read(from.getId()));
    group.size = from.getSize();
    group.view.term = Term(from.getTerm());
    if (from.getPrimary().size() > 0) {
        group.view.primary = UpstreamId(state::read(from.getPrimary()));
    }
    group.primaryIncarnation = Incarnation(from.getPrimaryIncarnation());
    for (const auto start : from.getHistory()) {
        group.view.history.push_back({Term(start.getTerm()), LogPosition(start.getKeptUpTo())});
    }
    group.view.connectionLimit = from.getConnectionLimit();
    group.selfReplicating = from.getSelfReplicating();
    group.confirmations = from.getConfirmations();
    // Snapshots of earlier builds name the primary of the present term only.
    group.lastPrimary = from.hasLastPrimary() ? UpstreamId(state::read(from.getLastPrimary())) : group.view.primary.value_or(UpstreamId());
    for (const auto member : from.getDeparted()) {
        group.departed.emplace_back(state::read(member));
    }
    for (const auto member : from.getPaused()) {
        group.paused.push_back({UpstreamId(state::read(member.getId())), member.getMayResume()});
    }
    group.view.members = readAll<membership::UpstreamView>(from.getMembers());
    return group;
}

auto read(schema::Change::Reader from) -> ChangeRecord
{
    return {ChangeId(state::read(from.getId())), Revision(from.getBase()), from.getDigest(), state::read(from.getResult())};
}

auto read(schema::Snapshot::Reader from, std::size_t changeLimit) -> StateContent
{
    auto content = StateContent(changeLimit);
    content.revision = Revision(from.getRevision());
    content.configuration = Revision(from.getConfiguration());
    content.version = ConfigurationVersion(from.getVersion());
    content.text = state::read(from.getText());
    content.services = readAll<membership::ServiceView>(from.getServices());
    content.customers = readAll<membership::CustomerView>(from.getCustomers());
    for (const auto group : from.getGroups()) {
        content.groups.push_back(read(group));
    }
    content.vms = readAll<membership::ProxyView>(from.getVms());
    content.duty = read(from.getDuty());
    for (const auto change : from.getChanges()) {
        content.changes.add(read(change));
    }
    return content;
}

} // namespace

auto encode(const StateContent &content) -> consensus::Bytes
{
    auto message = capnp::MallocMessageBuilder();
    auto root = message.initRoot<schema::Snapshot>();
    root.setRevision(content.revision.value());
    root.setConfiguration(content.configuration.value());
    root.setVersion(content.version.value());
    root.setText(content.text);
    writeAll(root.initServices(static_cast<unsigned>(content.services.size())), content.services);
    writeAll(root.initCustomers(static_cast<unsigned>(content.customers.size())), content.customers);
    auto groups = root.initGroups(static_cast<unsigned>(content.groups.size()));
    for (auto index = 0U; index < content.groups.size(); ++index) {
        write(groups[index], content.groups[index]);
    }
    writeAll(root.initVms(static_cast<unsigned>(content.vms.size())), content.vms);
    write(root.initDuty(), content.duty);
    const auto &records = content.changes.records();
    auto changes = root.initChanges(static_cast<unsigned>(records.size()));
    for (auto index = 0U; index < records.size(); ++index) {
        write(changes[index], records[index]);
    }
    return flatten(message);
}

auto decodeContent(std::span<const std::byte> bytes, std::size_t changeLimit) -> StateContent
{
    // The traversal limit guards against malicious messages. It is lifted here because a snapshot may be large and comes from a trusted
    // source: this VM's disk or the leader.
    auto options = capnp::ReaderOptions();
    options.traversalLimitInWords = std::numeric_limits<std::uint64_t>::max();
    auto content = StateContent(changeLimit);
    const auto failure = kj::runCatchingExceptions([&] {
        const auto words = align(bytes);
        auto message = capnp::FlatArrayMessageReader(words, options);
        content = read(message.getRoot<schema::Snapshot>(), changeLimit);
    });
    if (failure != nullptr) {
        throw std::runtime_error("the snapshot of the replicated state cannot be read; restore this VM's data folder from another control VM");
    }
    return content;
}

} // namespace sapphirespool::state
