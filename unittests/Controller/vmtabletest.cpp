#include "sapphirespool/Controller/vmtable.h"

#include <catch2/catch.hpp>

#include <string>

namespace sapphirespool::controller
{

namespace
{

using namespace std::chrono_literals;

const auto start = TimePoint(1h);

auto heartbeatOf(const std::string &vm, const std::string &zone, std::uint64_t revision) -> control::VmHeartbeat
{
    auto heartbeat = control::VmHeartbeat{VmId(vm), ZoneId(zone), Incarnation(1), {"127.0.0.1", 1}, {"127.0.0.1", 2}};
    heartbeat.confirmed = Revision(revision);
    heartbeat.configuration = Revision(revision);
    return heartbeat;
}

auto directoryOf(const std::string &vm, const std::string &zone, std::uint64_t revision) -> control::VmHeartbeat
{
    auto heartbeat = heartbeatOf(vm, zone, revision);
    heartbeat.callers = Endpoint();
    return heartbeat;
}

} // namespace

// Failure: a configuration is reported in force late, and a promotion waits, for a VM that serves no statements.
TEST_CASE("neither a configuration nor a promotion waits for the views of directories")
{
    auto table = VmTable({}, start);
    table.note(heartbeatOf("proxy", "a", 2), start);
    table.note(directoryOf("directory", "b", 1), start);
    CHECK(table.leaseLive(VmId("directory"), start));
    CHECK(table.inForce(Revision(2), start));
    CHECK_FALSE(table.inForce(Revision(3), start));
    const auto standing = table.standing(Revision(2), start);
    CHECK(standing.oldestServed == Revision(2));
    CHECK(standing.zones == 1);
}

// Failure: a new leader waits for the leases of directories that a former leader may have granted.
TEST_CASE("directories of the replicated state do not delay a configuration after a change of the leader")
{
    const auto directory = membership::ProxyView{VmId("directory"), ZoneId("b"), Incarnation(1), {}, {"127.0.0.1", 2}};
    const auto proxy = membership::ProxyView{VmId("proxy"), ZoneId("b"), Incarnation(1), {"127.0.0.1", 1}, {"127.0.0.1", 2}};
    CHECK(VmTable(std::span(&directory, 1), start).inForce(Revision(1), start));
    CHECK_FALSE(VmTable(std::span(&proxy, 1), start).inForce(Revision(1), start));
}

} // namespace sapphirespool::controller
