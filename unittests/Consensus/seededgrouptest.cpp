#include "Consensus/replicafixture.h"

#include <catch2/catch.hpp>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

namespace sapphirespool::consensus
{

namespace
{

using std::chrono::milliseconds;

/// Copies the log lines of the process to a file while it exists.
class LogCapture
{
public:
    explicit LogCapture(std::filesystem::path file)
        : file(std::move(file))
        , appender(std::make_shared<log4cxx::FileAppender>(std::make_shared<log4cxx::PatternLayout>("%m%n"), this->file.string(), false))
    {
        log4cxx::Logger::getRootLogger()->addAppender(this->appender);
    }

    ~LogCapture()
    {
        log4cxx::Logger::getRootLogger()->removeAppender(this->appender);
    }

    LogCapture(const LogCapture &) = delete;
    auto operator=(const LogCapture &) -> LogCapture & = delete;

    /// \return the first line that begins with \p start; empty if there is none
    [[nodiscard]] auto line(const std::string &start) const -> std::string
    {
        auto in = std::ifstream(this->file);
        for (auto text = std::string(); std::getline(in, text);) {
            if (text.starts_with(start)) {
                return text;
            }
        }
        return {};
    }

private:
    std::filesystem::path file;
    log4cxx::AppenderPtr appender;
};

auto votersPerZone(const Replica &replica) -> std::map<ZoneId, std::size_t>
{
    auto counts = std::map<ZoneId, std::size_t>();
    for (const auto &member : replica.members()) {
        counts[member.zone] += member.voter ? 1 : 0;
    }
    return counts;
}

auto lists(const Replica &replica, const VmId &vm) -> bool
{
    const auto members = replica.members();
    return std::any_of(members.begin(), members.end(), [&vm](const ControlMember &member) {
        return member.vm == vm;
    });
}

} // namespace

TEST_CASE("with three seeds and two promised losses, commands are accepted with five voters, spread over the zones")
{
    // Failure: the group accepts a configuration with three voters, and two lost disks lose it.
    auto group = ReplicaFixture(6, 2);
    group.startAll();
    REQUIRE(group.commit(1, milliseconds(10'000)));
    REQUIRE(group.leader() != nullptr);
    CHECK(group.voters() == 5);
    for (const auto &[zone, voters] : votersPerZone(*group.leader()->replica)) {
        CHECK(voters <= 2);
    }
    CHECK(group.leader()->replica->isInGroup());
    CHECK(group.runUntil(
        [&group] {
            return group.leader() != nullptr && group.leader()->replica->survivedLosses() == std::size_t(2);
        },
        milliseconds(3'000)));
}

TEST_CASE("with fewer control VMs than voters are wanted, the first command is acknowledged within five seconds, and the shortfall is logged")
{
    // Failure: two losses are promised, four control VMs exist, and no configuration is ever accepted; or it is, and nobody is told that
    // the second loss stops the group.
    auto group = ReplicaFixture(4, 2);
    std::filesystem::create_directories(group.root);
    const auto log = LogCapture(group.root / "log");
    const auto begin = std::chrono::steady_clock::now();
    group.startAll();
    REQUIRE(group.commit(1, milliseconds(10'000)));
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(5));
    CHECK(group.voters() == 4);
    CHECK(group.runUntil(
        [&log] {
            return !log.line("SP2007").empty();
        },
        milliseconds(8'000)));
    CHECK(log.line("SP2007") == "SP2007 losses tolerated by control promised=2 survived=1 voters=4 zones=3");
}

TEST_CASE("a group with a fixed list has no commands accepted before all listed VMs vote, and reports no shortfall")
{
    // Failure: a system whose control VMs are listed in the settings accepts its first configuration on fewer disks after an update.
    auto group = ReplicaFixture(5);
    std::filesystem::create_directories(group.root);
    const auto log = LogCapture(group.root / "log");
    group.startAll();
    REQUIRE(group.commit(1, milliseconds(10'000)));
    CHECK(group.voters() == 5);
    group.runUntil(
        [] {
            return false;
        },
        milliseconds(6'000));
    CHECK(log.line("SP2007").empty());
}

TEST_CASE("a voter that was replaced while it was away joins again with its disk")
{
    // Failure: a VM was partitioned for some seconds and replaced; it waits for a leader forever and can replace no lost voter.
    auto group = ReplicaFixture(4, 1);
    group.startAll();
    REQUIRE(group.commit(1, milliseconds(10'000)));
    const auto isLeader = [&group](const ControlVm &vm) {
        return &vm == group.leader();
    };
    const auto away = std::find_if(group.vms.begin(), group.vms.end(), [&group, &isLeader](const ControlVm &vm) {
        const auto members = group.leader()->replica->members();
        return !isLeader(vm) && std::any_of(members.begin(), members.end(), [&vm](const ControlMember &member) {
            return member.vm == vm.vm && member.voter;
        });
    });
    REQUIRE(away != group.vms.end());
    group.stop(*away);
    REQUIRE(group.runUntil(
        [&group, &away] {
            return group.leader() != nullptr && !lists(*group.leader()->replica, away->vm) && group.voters() == 3;
        },
        milliseconds(10'000)));
    group.start(*away);
    CHECK(group.runUntil(
        [&group, &away] {
            return group.leader() != nullptr && lists(*group.leader()->replica, away->vm);
        },
        milliseconds(10'000)));
}

} // namespace sapphirespool::consensus
