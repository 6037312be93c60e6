#include "recordcodec.h"

#include <capnp/serialize.h>

#include <cstring>

#include <utility>

namespace sapphirespool::state
{

auto write(schema::Endpoint::Builder to, const Endpoint &from) -> void
{
    to.setAddress(from.address);
    to.setPort(from.port);
}

auto write(schema::Service::Builder to, const membership::ServiceView &from) -> void
{
    to.setId(from.id.value());
    to.setGroup(from.group.value());
    auto dependsOn = to.initDependsOn(static_cast<unsigned>(from.dependsOn.size()));
    auto index = 0U;
    for (const auto &dependency : from.dependsOn) {
        dependsOn.set(index, dependency.value());
        ++index;
    }
    to.setReadAgeMs(static_cast<std::uint64_t>(from.readAge.count()));
    to.setTimeoutMs(static_cast<std::uint64_t>(from.timeout.count()));
    to.setQueueLimit(from.queueLimit);
    to.setRetryRatio(from.retryRatio);
    to.setConsistency(static_cast<std::uint8_t>(from.consistency));
    to.setObjectiveMs(static_cast<std::uint64_t>(from.objective.count()));
    to.setPriority(from.priority);
    to.setTransactionIdleMs(static_cast<std::uint64_t>(from.transactionIdle.count()));
    to.setRequiresKey(from.requiresKey);
}

auto write(schema::Customer::Builder to, const membership::CustomerView &from) -> void
{
    to.setId(from.id.value());
    auto keys = to.initKeys(static_cast<unsigned>(from.keys.size()));
    auto index = 0U;
    for (const auto &key : from.keys) {
        keys.set(index, rpc::toData(key.value()));
        ++index;
    }
    to.setLimited(from.quota.has_value());
    to.setRatePerSecond(from.quota ? from.quota->ratePerSecond : 0);
    to.setBurst(from.quota ? from.quota->burst : 0);
    to.setPriority(from.priority);
}

auto write(schema::Upstream::Builder to, const membership::UpstreamView &from) -> void
{
    to.setId(from.id.value());
    write(to.initEndpoint(), from.endpoint);
    to.setZone(from.zone.value());
    to.setIncarnation(from.incarnation.value());
    to.setSlots(from.slots);
    to.setConnectionLimit(from.connectionLimit);
    to.setLeaving(from.leaving);
}

auto write(schema::Vm::Builder to, const membership::ProxyView &from) -> void
{
    to.setId(from.id.value());
    to.setZone(from.zone.value());
    to.setIncarnation(from.incarnation.value());
    write(to.initCallers(), from.callers);
    write(to.initPeers(), from.peers);
    to.setLeaving(from.leaving);
    to.setSilent(from.silent);
    to.setSettled(from.settled);
}

namespace
{

struct ResultWriter
{
    schema::Result::Builder to;

    auto operator()(const Accepted &result) -> void
    {
        this->to.setAccepted(result.revision.value());
    }

    auto operator()(const Conflict &result) -> void
    {
        this->to.setConflict(result.current.value());
    }

    auto operator()(const ChangeIdReused &) -> void
    {
        this->to.setChangeIdReused();
    }

    auto operator()(const Applied &) -> void
    {
        this->to.setApplied();
    }

    auto operator()(const Ignored &ignored) -> void
    {
        this->to.setIgnored();
        this->to.setIgnoredReason(static_cast<std::uint8_t>(ignored.reason));
    }
};

/// \return the reason encoded as \p number; Unreadable for the number of a later build
auto ignoredReasonOf(std::uint8_t number) -> IgnoredReason
{
    return number <= static_cast<std::uint8_t>(IgnoredReason::Unchanged) ? static_cast<IgnoredReason>(number) : IgnoredReason::Unreadable;
}

} // namespace

auto write(schema::Result::Builder to, const Result &from) -> void
{
    std::visit(ResultWriter{to}, from);
}

auto read(schema::Endpoint::Reader from) -> Endpoint
{
    return {read(from.getAddress()), from.getPort()};
}

auto read(schema::Service::Reader from) -> membership::ServiceView
{
    auto service = membership::ServiceView();
    service.id = ServiceId(read(from.getId()));
    service.group = GroupId(read(from.getGroup()));
    for (const auto dependency : from.getDependsOn()) {
        service.dependsOn.emplace_back(read(dependency));
    }
    service.readAge = std::chrono::milliseconds(from.getReadAgeMs());
    service.timeout = std::chrono::milliseconds(from.getTimeoutMs());
    service.queueLimit = from.getQueueLimit();
    service.retryRatio = from.getRetryRatio();
    service.consistency = membership::consistencyOf(from.getConsistency());
    service.objective = std::chrono::milliseconds(from.getObjectiveMs());
    service.priority = from.getPriority();
    service.transactionIdle = std::chrono::milliseconds(from.getTransactionIdleMs());
    service.requiresKey = from.getRequiresKey();
    return service;
}

auto read(schema::Customer::Reader from) -> membership::CustomerView
{
    auto customer = membership::CustomerView();
    customer.id = CustomerId(read(from.getId()));
    for (const auto key : from.getKeys()) {
        customer.keys.emplace_back(rpc::toString(key));
    }
    if (from.getLimited()) {
        customer.quota = membership::Quota{from.getRatePerSecond(), from.getBurst()};
    }
    customer.priority = from.getPriority();
    return customer;
}

auto read(schema::Upstream::Reader from) -> membership::UpstreamView
{
    auto upstream = membership::UpstreamView();
    upstream.id = UpstreamId(read(from.getId()));
    upstream.endpoint = read(from.getEndpoint());
    upstream.zone = ZoneId(read(from.getZone()));
    upstream.incarnation = Incarnation(from.getIncarnation());
    upstream.slots = from.getSlots();
    upstream.connectionLimit = from.getConnectionLimit();
    upstream.leaving = from.getLeaving();
    return upstream;
}

auto read(schema::Vm::Reader from) -> membership::ProxyView
{
    auto vm = membership::ProxyView();
    vm.id = VmId(read(from.getId()));
    vm.zone = ZoneId(read(from.getZone()));
    vm.incarnation = Incarnation(from.getIncarnation());
    vm.callers = read(from.getCallers());
    vm.peers = read(from.getPeers());
    vm.leaving = from.getLeaving();
    vm.silent = from.getSilent();
    vm.settled = from.getSettled();
    return vm;
}

auto read(schema::Result::Reader from) -> Result
{
    switch (from.which()) {
    case schema::Result::ACCEPTED:
        return Accepted{Revision(from.getAccepted())};
    case schema::Result::CONFLICT:
        return Conflict{Revision(from.getConflict())};
    case schema::Result::CHANGE_ID_REUSED:
        return ChangeIdReused();
    case schema::Result::APPLIED:
        return Applied();
    case schema::Result::IGNORED:
        return Ignored{ignoredReasonOf(from.getIgnoredReason())};
    }
    return Ignored();
}

auto flatten(capnp::MessageBuilder &message) -> consensus::Bytes
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    auto copy = consensus::Bytes(bytes.size());
    std::memcpy(copy.data(), bytes.begin(), bytes.size());
    return copy;
}

} // namespace sapphirespool::state
