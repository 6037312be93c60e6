#include "codec.h"

#include "sapphirespool/Rpc/listlength.h"
#include "sapphirespool/Support/compression.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <string>

namespace sapphirespool::control
{

namespace
{

/// Bytes that a view or a text may take once unpacked: several times what 10,000 services and as many VMs need.
constexpr auto unpackedLimit = std::size_t{64} * 1024 * 1024;

auto text(capnp::Text::Reader in) -> std::string
{
    return {in.begin(), in.end()};
}

using rpc::ofSaneLength;

template <typename Elements, typename List>
auto writeEach(const Elements &elements, List list) -> void
{
    for (auto index = 0U; index < list.size(); ++index) {
        write(elements[index], list[index]);
    }
}

template <typename Ids, typename List>
auto writeIds(const Ids &ids, List list) -> void
{
    for (auto index = 0U; index < list.size(); ++index) {
        list.set(index, ids[index].value());
    }
}

template <typename Id>
auto readIds(capnp::List<capnp::Text>::Reader in) -> std::vector<Id>
{
    auto ids = std::vector<Id>();
    for (const auto id : ofSaneLength(in)) {
        ids.emplace_back(text(id));
    }
    return ids;
}

template <typename Elements>
auto sizeOf(const Elements &elements) -> unsigned
{
    return static_cast<unsigned>(elements.size());
}

auto reasonOf(const std::string &label) -> RefusalReason
{
    const auto descriptions = refusalDescriptions();
    const auto found = std::find_if(descriptions.begin(), descriptions.end(), [&label](const RefusalDescription &description) {
        return description.label == label;
    });
    return found == descriptions.end() ? RefusalReason::Internal : found->reason;
}

auto writeReason(RefusalReason reason, const std::string &detail, schema::Refusal::Builder out) -> void
{
    out.setReason(std::string(describe(reason).label));
    out.setDetail(detail);
}

template <typename Schema, typename Content>
auto packMessage(const Content &content) -> PackedView
{
    auto message = capnp::MallocMessageBuilder();
    write(content, message.initRoot<Schema>());
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return support::compress(std::as_bytes(std::span(bytes.begin(), bytes.size())));
}

template <typename Schema>
auto unpackMessage(capnp::Data::Reader packed)
{
    const auto bytes = support::decompress(rpc::bytesOf(packed), unpackedLimit);
    KJ_REQUIRE(bytes.has_value(), "a compressed view cannot be read");
    const auto words = rpc::align(*bytes);
    auto options = capnp::ReaderOptions();
    options.traversalLimitInWords = unpackedLimit;
    auto message = capnp::FlatArrayMessageReader(words, options);
    return read(message.template getRoot<Schema>());
}

} // namespace

auto write(const membership::UpstreamView &member, schema::UpstreamView::Builder out) -> void
{
    out.setId(member.id.value());
    write(member.endpoint, out.initEndpoint());
    out.setZone(member.zone.value());
    out.setIncarnation(member.incarnation.value());
    out.setSlots(member.slots);
    out.setConnectionLimit(member.connectionLimit);
    out.setLeaving(member.leaving);
}

auto read(schema::UpstreamView::Reader in) -> membership::UpstreamView
{
    return {UpstreamId(text(in.getId())),
            read(in.getEndpoint()),
            ZoneId(text(in.getZone())),
            Incarnation(in.getIncarnation()),
            in.getSlots(),
            in.getConnectionLimit(),
            in.getLeaving()};
}

auto write(const membership::TermStart &start, schema::TermStart::Builder out) -> void
{
    out.setTerm(start.term.value());
    out.setKeptUpTo(start.keptUpTo.value());
}

auto write(const membership::GroupView &group, schema::GroupView::Builder out) -> void
{
    out.setId(group.id.value());
    out.setTerm(group.term.value());
    out.setPrimary(group.primary ? group.primary->value() : std::string());
    writeEach(group.history, out.initHistory(sizeOf(group.history)));
    writeEach(group.members, out.initMembers(sizeOf(group.members)));
    out.setConnectionLimit(group.connectionLimit);
}

auto read(schema::GroupView::Reader in) -> membership::GroupView
{
    auto group = membership::GroupView{GroupId(text(in.getId())), Term(in.getTerm())};
    if (in.getPrimary().size() > 0) {
        group.primary = UpstreamId(text(in.getPrimary()));
    }
    for (const auto start : ofSaneLength(in.getHistory())) {
        group.history.push_back({Term(start.getTerm()), LogPosition(start.getKeptUpTo())});
    }
    for (const auto member : ofSaneLength(in.getMembers())) {
        group.members.push_back(read(member));
    }
    group.connectionLimit = in.getConnectionLimit();
    return group;
}

auto write(const membership::ServiceView &service, schema::ServiceView::Builder out) -> void
{
    out.setId(service.id.value());
    out.setGroup(service.group.value());
    writeIds(service.dependsOn, out.initDependsOn(sizeOf(service.dependsOn)));
    out.setReadAgeMs(static_cast<std::uint64_t>(service.readAge.count()));
    out.setTimeoutMs(static_cast<std::uint64_t>(service.timeout.count()));
    out.setQueueLimit(service.queueLimit);
    out.setRetryRatio(service.retryRatio);
    out.setConsistency(static_cast<std::uint8_t>(service.consistency));
    out.setObjectiveMs(static_cast<std::uint64_t>(service.objective.count()));
    out.setPriority(service.priority);
    out.setTransactionIdleMs(static_cast<std::uint64_t>(service.transactionIdle.count()));
    out.setRequiresKey(service.requiresKey);
}

auto read(schema::ServiceView::Reader in) -> membership::ServiceView
{
    return {ServiceId(text(in.getId())),
            GroupId(text(in.getGroup())),
            readIds<ServiceId>(in.getDependsOn()),
            std::chrono::milliseconds(in.getReadAgeMs()),
            std::chrono::milliseconds(in.getTimeoutMs()),
            in.getQueueLimit(),
            in.getRetryRatio(),
            membership::consistencyOf(in.getConsistency()),
            std::chrono::milliseconds(in.getObjectiveMs()),
            in.getPriority(),
            std::chrono::milliseconds(in.getTransactionIdleMs()),
            in.getRequiresKey()};
}

auto write(const membership::CustomerView &customer, schema::CustomerView::Builder out) -> void
{
    out.setId(customer.id.value());
    auto keys = out.initKeys(sizeOf(customer.keys));
    auto index = 0U;
    for (const auto &key : customer.keys) {
        keys.set(index, toData(key.value()));
        ++index;
    }
    out.setLimited(customer.quota.has_value());
    out.setRatePerSecond(customer.quota ? customer.quota->ratePerSecond : 0);
    out.setBurst(customer.quota ? customer.quota->burst : 0);
    out.setPriority(customer.priority);
}

auto read(schema::CustomerView::Reader in) -> membership::CustomerView
{
    auto customer = membership::CustomerView();
    customer.id = CustomerId(text(in.getId()));
    for (const auto key : ofSaneLength(in.getKeys())) {
        customer.keys.emplace_back(rpc::toString(key));
    }
    if (in.getLimited()) {
        customer.quota = membership::Quota{in.getRatePerSecond(), in.getBurst()};
    }
    customer.priority = in.getPriority();
    return customer;
}

auto write(const membership::ProxyView &proxy, schema::ProxyView::Builder out) -> void
{
    out.setId(proxy.id.value());
    out.setZone(proxy.zone.value());
    out.setIncarnation(proxy.incarnation.value());
    write(proxy.callers, out.initCallers());
    write(proxy.peers, out.initPeers());
    out.setLeaving(proxy.leaving);
    out.setSilent(proxy.silent);
    out.setSettled(proxy.settled);
}

auto read(schema::ProxyView::Reader in) -> membership::ProxyView
{
    return {VmId(text(in.getId())),
            ZoneId(text(in.getZone())),
            Incarnation(in.getIncarnation()),
            read(in.getCallers()),
            read(in.getPeers()),
            in.getLeaving(),
            in.getSilent(),
            in.getSettled()};
}

auto write(const platform::Announcement &announcement, schema::Announcement::Builder out) -> void
{
    out.setGroup(announcement.group);
    out.setId(announcement.id);
    out.setAddress(announcement.address);
    out.setPort(announcement.port);
    out.setZone(announcement.zone);
    out.setIncarnation(announcement.incarnation);
    out.setTerm(announcement.term);
    out.setRole(static_cast<std::uint8_t>(announcement.role));
    out.setLastTerm(announcement.lastTerm);
    out.setPosition(announcement.position);
    out.setSlots(announcement.slots);
    out.setConnectionLimit(announcement.connectionLimit);
    out.setLeaving(announcement.leaving);
    out.setGone(announcement.gone);
    out.setSequence(announcement.sequence);
}

auto read(schema::Announcement::Reader in) -> platform::Announcement
{
    return {text(in.getGroup()),
            text(in.getId()),
            text(in.getAddress()),
            in.getPort(),
            text(in.getZone()),
            in.getIncarnation(),
            in.getTerm(),
            static_cast<platform::Role>(in.getRole()),
            in.getLastTerm(),
            in.getPosition(),
            in.getSlots(),
            in.getConnectionLimit(),
            in.getLeaving(),
            in.getGone(),
            in.getSequence()};
}

auto write(const membership::Suspicion &suspicion, schema::Suspicion::Builder out) -> void
{
    out.setGroup(suspicion.group.value());
    out.setTerm(suspicion.term.value());
    out.setUpstream(suspicion.upstream.value());
}

auto write(const membership::VmStatus &status, schema::VmStatus::Builder out) -> void
{
    out.setVm(status.vm.value());
    out.setZone(status.zone.value());
    out.setConfirmed(status.confirmed.value());
    out.setConfiguration(status.configuration.value());
    out.setLive(status.live);
}

auto write(const Endpoint &endpoint, schema::Endpoint::Builder out) -> void
{
    out.setAddress(endpoint.address);
    out.setPort(endpoint.port);
}

auto read(schema::Endpoint::Reader in) -> Endpoint
{
    return {text(in.getAddress()), in.getPort()};
}

auto writeEndpoints(std::span<const Endpoint> endpoints, capnp::List<schema::Endpoint>::Builder out) -> void
{
    writeEach(endpoints, out);
}

auto readEndpoints(capnp::List<schema::Endpoint>::Reader in) -> std::vector<Endpoint>
{
    auto endpoints = std::vector<Endpoint>();
    for (const auto endpoint : ofSaneLength(in)) {
        endpoints.push_back(read(endpoint));
    }
    return endpoints;
}

auto write(const KnownControlVm &known, schema::KnownControlVm::Builder out) -> void
{
    out.setVm(known.entry.vm.value());
    out.setZone(known.entry.zone.value());
    write(known.entry.endpoint, out.initEndpoint());
    out.setReplica(known.entry.replica.value());
    out.setGroupSize(known.entry.groupSize);
    out.setLeads(known.entry.leads);
    out.setAgeMs(static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(known.age).count()));
}

auto read(schema::KnownControlVm::Reader in) -> KnownControlVm
{
    // Bounded, since a larger number would overflow as a duration.
    const auto age = std::min<std::uint64_t>(in.getAgeMs(), std::chrono::milliseconds(DirectoryTable::entryLifetime).count());
    return {
        {VmId(text(in.getVm())), ZoneId(text(in.getZone())), read(in.getEndpoint()), consensus::ReplicaId(in.getReplica()), in.getGroupSize(), in.getLeads()},
        std::chrono::milliseconds(age)};
}

auto writeKnown(std::span<const KnownControlVm> known, capnp::List<schema::KnownControlVm>::Builder out) -> void
{
    writeEach(known, out);
}

auto readKnown(capnp::List<schema::KnownControlVm>::Reader in) -> std::vector<KnownControlVm>
{
    auto known = std::vector<KnownControlVm>();
    for (const auto one : ofSaneLength(in)) {
        known.push_back(read(one));
    }
    return known;
}

auto write(const membership::ClusterView &view, schema::ClusterView::Builder out) -> void
{
    out.setRevision(view.revision.value());
    out.setConfiguration(view.configuration.value());
    writeEach(view.services, out.initServices(sizeOf(view.services)));
    writeEach(view.groups, out.initGroups(sizeOf(view.groups)));
    writeEach(view.proxies, out.initProxies(sizeOf(view.proxies)));
    writeEach(view.customers, out.initCustomers(sizeOf(view.customers)));
}

auto read(schema::ClusterView::Reader in) -> membership::ClusterView
{
    auto view = membership::ClusterView{Revision(in.getRevision()), Revision(in.getConfiguration())};
    for (const auto service : ofSaneLength(in.getServices())) {
        view.services.append(read(service));
    }
    for (const auto group : ofSaneLength(in.getGroups())) {
        view.groups.push_back(read(group));
    }
    for (const auto proxy : ofSaneLength(in.getProxies())) {
        view.proxies.push_back(read(proxy));
    }
    for (const auto customer : ofSaneLength(in.getCustomers())) {
        view.customers.append(read(customer));
    }
    return view;
}

auto write(const membership::ViewDelta &delta, schema::ViewDelta::Builder out) -> void
{
    out.setBase(delta.base.value());
    write(membership::ClusterView{delta.revision, delta.configuration, delta.services, delta.groups, delta.proxies, delta.customers}, out.initChanged());
    writeIds(delta.removedServices, out.initRemovedServices(sizeOf(delta.removedServices)));
    writeIds(delta.removedGroups, out.initRemovedGroups(sizeOf(delta.removedGroups)));
    writeIds(delta.removedProxies, out.initRemovedProxies(sizeOf(delta.removedProxies)));
    writeIds(delta.removedCustomers, out.initRemovedCustomers(sizeOf(delta.removedCustomers)));
}

auto read(schema::ViewDelta::Reader in) -> membership::ViewDelta
{
    auto changed = read(in.getChanged());
    return {Revision(in.getBase()),
            changed.revision,
            changed.configuration,
            std::move(changed.services),
            std::move(changed.groups),
            std::move(changed.proxies),
            readIds<ServiceId>(in.getRemovedServices()),
            readIds<GroupId>(in.getRemovedGroups()),
            readIds<VmId>(in.getRemovedProxies()),
            std::move(changed.customers),
            readIds<CustomerId>(in.getRemovedCustomers())};
}

auto pack(const membership::ClusterView &view) -> PackedView
{
    return packMessage<schema::ClusterView>(view);
}

auto pack(const membership::ViewDelta &delta) -> PackedView
{
    return packMessage<schema::ViewDelta>(delta);
}

auto unpackView(capnp::Data::Reader packed) -> membership::ClusterView
{
    return unpackMessage<schema::ClusterView>(packed);
}

auto unpackDelta(capnp::Data::Reader packed) -> membership::ViewDelta
{
    return unpackMessage<schema::ViewDelta>(packed);
}

auto packText(std::string_view text) -> std::vector<std::byte>
{
    return support::compress(text);
}

auto unpackText(capnp::Data::Reader packed) -> std::string
{
    auto text = support::decompressText(rpc::bytesOf(packed), unpackedLimit);
    KJ_REQUIRE(text.has_value(), "a compressed text cannot be read");
    return *std::move(text);
}

auto write(const VmHeartbeat &heartbeat, schema::VmHeartbeat::Builder out) -> void
{
    out.setVm(heartbeat.vm.value());
    out.setZone(heartbeat.zone.value());
    out.setIncarnation(heartbeat.incarnation.value());
    write(heartbeat.callers, out.initCallers());
    write(heartbeat.peers, out.initPeers());
    out.setLeaving(heartbeat.leaving);
    out.setConfirmed(heartbeat.confirmed.value());
    out.setConfiguration(heartbeat.configuration.value());
    writeEach(heartbeat.announcements, out.initAnnouncements(sizeOf(heartbeat.announcements)));
    writeEach(heartbeat.suspicions, out.initSuspicions(sizeOf(heartbeat.suspicions)));
    out.setFirstStart(heartbeat.firstStart);
}

auto read(schema::VmHeartbeat::Reader in) -> VmHeartbeat
{
    auto heartbeat = VmHeartbeat{VmId(text(in.getVm())),
                                 ZoneId(text(in.getZone())),
                                 Incarnation(in.getIncarnation()),
                                 read(in.getCallers()),
                                 read(in.getPeers()),
                                 in.getLeaving(),
                                 Revision(in.getConfirmed()),
                                 Revision(in.getConfiguration())};
    for (const auto announcement : ofSaneLength(in.getAnnouncements())) {
        heartbeat.announcements.push_back(read(announcement));
    }
    for (const auto suspicion : ofSaneLength(in.getSuspicions())) {
        heartbeat.suspicions.push_back({GroupId(text(suspicion.getGroup())), Term(suspicion.getTerm()), UpstreamId(text(suspicion.getUpstream()))});
    }
    heartbeat.firstStart = in.getFirstStart();
    return heartbeat;
}

auto write(const membership::ClusterStatus &status, schema::ClusterStatus::Builder out) -> void
{
    out.setLeader(status.leader.value());
    out.setRevision(status.revision.value());
    out.setConfiguration(status.configuration.value());
    out.setInForce(status.inForce);
    writeEach(status.vms, out.initVms(sizeOf(status.vms)));
}

auto read(schema::ClusterStatus::Reader in) -> membership::ClusterStatus
{
    auto status = membership::ClusterStatus{VmId(text(in.getLeader())), Revision(in.getRevision()), Revision(in.getConfiguration()), in.getInForce()};
    for (const auto vm : ofSaneLength(in.getVms())) {
        status.vms.push_back({VmId(text(vm.getVm())), ZoneId(text(vm.getZone())), Revision(vm.getConfirmed()), Revision(vm.getConfiguration()), vm.getLive()});
    }
    return status;
}

auto write(const NotRun &refusal, schema::Refusal::Builder out) -> void
{
    writeReason(refusal.reason, refusal.detail, out);
    out.setRetryAfterMs(refusal.retryAfter ? static_cast<std::uint64_t>(refusal.retryAfter->count()) : 0);
}

auto write(const OutcomeUnknown &unknown, schema::Refusal::Builder out) -> void
{
    writeReason(unknown.reason, unknown.detail, out);
}

auto readNotRun(schema::Refusal::Reader in) -> NotRun
{
    auto refusal = NotRun{reasonOf(text(in.getReason())), text(in.getDetail())};
    if (in.getRetryAfterMs() > 0) {
        refusal.retryAfter = std::chrono::milliseconds(in.getRetryAfterMs());
    }
    return refusal;
}

auto readUnknown(schema::Refusal::Reader in) -> OutcomeUnknown
{
    return {reasonOf(text(in.getReason())), text(in.getDetail())};
}

} // namespace sapphirespool::control
