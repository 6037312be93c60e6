// capacity.cpp: what control costs against the number of nodes and databases; the slopes of docs/CAPACITY.md come from here.
#include "codec.h"

#include "sapphirespool/Controller/vmtable.h"
#include "sapphirespool/Membership/viewdelta.h"
#include "sapphirespool/Promotion/promoter.h"
#include "sapphirespool/State/clusterstate.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <unistd.h>
#include <utility>

namespace sapphirespool
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto membersOfGroup = 3;
constexpr auto zones = 19;

/// A size of the fleet; databases stand to nodes as in the target, 7,500 to 5,400.
struct Size
{
    std::uint32_t nodes;
    std::uint32_t databases;
};

auto zoneOf(std::uint32_t number) -> ZoneId
{
    return ZoneId("zone-" + std::to_string(number % zones));
}

auto groupName(std::uint32_t number) -> GroupId
{
    return GroupId("database-" + std::to_string(number));
}

auto memberOf(std::uint32_t group, std::uint32_t place) -> membership::UpstreamView
{
    auto member = membership::UpstreamView();
    member.id = UpstreamId("upstream-" + std::to_string(group) + "-" + std::to_string(place));
    member.endpoint = {"127.1.0.1", static_cast<std::uint16_t>(10'000 + place)};
    member.zone = zoneOf(group + place);
    member.incarnation = Incarnation(1);
    member.slots = 5;
    member.connectionLimit = 40;
    return member;
}

auto nodeOf(std::uint32_t number) -> membership::ProxyView
{
    return {VmId("node-" + std::to_string(number)), zoneOf(number), Incarnation(1), {"127.2.0.1", 8480}, {"127.2.0.1", 8481}, false};
}

auto configurationOf(const Size &size) -> state::ChangeConfiguration
{
    auto change = state::ChangeConfiguration();
    change.change = ChangeId("fill");
    for (auto number = std::uint32_t{0}; number < size.databases; ++number) {
        auto service = membership::ServiceView();
        service.id = ServiceId("service-" + std::to_string(number));
        service.group = groupName(number);
        change.content.services.push_back(service);
        change.content.groups.push_back({groupName(number), membersOfGroup});
    }
    return change;
}

auto fill(state::ClusterState &state, const Size &size) -> void
{
    state.execute(configurationOf(size));
    for (auto number = std::uint32_t{0}; number < size.databases; ++number) {
        for (auto place = std::uint32_t{0}; place < membersOfGroup; ++place) {
            state.execute(state::RegisterUpstream{groupName(number), memberOf(number, place)});
        }
        state.execute(state::BeginTerm{groupName(number), Term(0), Term(1)});
        state.execute(state::ChoosePrimary{groupName(number), Term(1), memberOf(number, 0).id, Incarnation(1), LogPosition(0)});
    }
    for (auto number = std::uint32_t{0}; number < size.nodes; ++number) {
        state.execute(state::RegisterVm{nodeOf(number)});
    }
}

auto residentBytes() -> std::uint64_t
{
    auto file = std::ifstream("/proc/self/statm");
    auto total = std::uint64_t{0};
    auto resident = std::uint64_t{0};
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

/// \return microseconds for one run of \p work, the mean of \p rounds
template <typename Work>
auto timeOf(std::uint32_t rounds, Work work) -> double
{
    const auto begin = Clock::now();
    for (auto round = std::uint32_t{0}; round < rounds; ++round) {
        work(round);
    }
    return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / rounds;
}

auto heartbeatOf(std::uint32_t node) -> control::VmHeartbeat
{
    const auto view = nodeOf(node);
    auto heartbeat = control::VmHeartbeat();
    heartbeat.vm = view.id;
    heartbeat.zone = view.zone;
    heartbeat.incarnation = view.incarnation;
    heartbeat.callers = view.callers;
    heartbeat.peers = view.peers;
    heartbeat.confirmed = Revision(1'000'000);
    return heartbeat;
}

auto announcementOf(std::uint32_t group, std::uint32_t place) -> platform::Announcement
{
    const auto member = memberOf(group, place);
    auto announcement = platform::Announcement();
    announcement.group = groupName(group).value();
    announcement.id = member.id.value();
    announcement.address = member.endpoint.address;
    announcement.port = member.endpoint.port;
    announcement.zone = member.zone.value();
    announcement.incarnation = 1;
    announcement.term = 1;
    announcement.role = place == 0 ? platform::Role::Primary : platform::Role::Replica;
    return announcement;
}

auto bytesOf(const control::VmHeartbeat &heartbeat) -> std::size_t
{
    auto message = capnp::MallocMessageBuilder();
    control::write(heartbeat, message.initRoot<schema::VmHeartbeat>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

auto bytesOf(const membership::ViewDelta &delta) -> std::size_t
{
    auto message = capnp::MallocMessageBuilder();
    control::write(delta, message.initRoot<schema::ViewDelta>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

auto bytesOf(const membership::ClusterView &view) -> std::size_t
{
    auto message = capnp::MallocMessageBuilder();
    control::write(view, message.initRoot<schema::ClusterView>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

auto restarted(std::uint32_t node, std::uint32_t times) -> state::RegisterVm
{
    auto view = nodeOf(node);
    view.incarnation = Incarnation(2 + times);
    return {view};
}

auto measure(const Size &size) -> void
{
    constexpr auto rounds = std::uint32_t{50};
    const auto before = residentBytes();
    auto state = state::ClusterState();
    fill(state, size);
    const auto grown = residentBytes() - before;
    const auto now = TimePoint(std::chrono::hours(1));

    const auto changeTime = timeOf(rounds, [&](std::uint32_t round) {
        state.execute(restarted(0, round));
    });
    const auto from = membership::viewFor(*state.view(), {});
    state.execute(restarted(1, rounds));
    const auto to = membership::viewFor(*state.view(), {});
    const auto delta = membership::computeDelta(from, to);
    const auto deltaTime = timeOf(rounds, [&](std::uint32_t) {
        static_cast<void>(membership::computeDelta(from, to));
    });
    const auto applyTime = timeOf(rounds, [&](std::uint32_t) {
        static_cast<void>(membership::applyDelta(from, delta));
    });
    auto snapshotBytes = std::size_t{0};
    const auto snapshotTime = timeOf(3, [&](std::uint32_t) {
        snapshotBytes = state.snapshot().size();
    });

    auto vms = controller::VmTable(state.view()->proxies, now);
    const auto heartbeatTime = timeOf(size.nodes, [&](std::uint32_t node) {
        vms.note(heartbeatOf(node), now);
    });
    const auto standingTime = timeOf(rounds, [&](std::uint32_t) {
        static_cast<void>(vms.standing(state.view()->revision, now));
    });
    auto promoter = promotion::Promoter(state, now);
    promoter.setProxies(vms.standing(state.view()->revision, now));
    const auto announceTime = timeOf(size.databases * membersOfGroup, [&](std::uint32_t number) {
        promoter.handle(promotion::Announced{announcementOf(number / membersOfGroup, number % membersOfGroup)}, now);
    });
    const auto tickTime = timeOf(rounds, [&](std::uint32_t) {
        promoter.tick(now);
    });

    auto full = heartbeatOf(0);
    full.announcements.push_back(announcementOf(0, 0));
    std::cout << std::setw(6) << size.nodes << std::setw(10) << size.databases << std::setw(12) << grown / 1024 << std::setw(12) << snapshotBytes / 1024
              << std::setw(13) << snapshotTime << std::setw(11) << changeTime << std::setw(10) << deltaTime << std::setw(10) << applyTime << std::setw(11)
              << bytesOf(delta) << std::setw(11) << bytesOf(to) / 1024 << std::setw(10) << heartbeatTime << std::setw(10) << standingTime << std::setw(10)
              << announceTime << std::setw(9) << tickTime << std::setw(9) << bytesOf(heartbeatOf(0)) << std::setw(9) << bytesOf(full) - bytesOf(heartbeatOf(0))
              << "\n";
}

} // namespace

} // namespace sapphirespool

/// One size in one process, since memory that an earlier size has given back would hide what a later one takes.
auto main(int argc, char **argv) -> int
{
    const auto nodes = argc > 1 ? static_cast<std::uint32_t>(std::stoul(argv[1])) : 54U;
    std::cout << std::fixed << std::setprecision(1) << "times in microseconds; memory, snapshot and view in KiB; delta, heartbeat and announcement in bytes\n"
              << " nodes databases      memory    snapshot snapshot-us  change-us  delta-us  apply-us    delta-B   view-KiB   beat-us  lease-us  hear-us  "
                 "tick-us   beat-B   hear-B\n";
    sapphirespool::measure({nodes, nodes * 7'500 / 5'400});
    return 0;
}
