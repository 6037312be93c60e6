// fakegroup.h: a simulated group of cores with fake disks, network and clocks; Raft invariants are checked after each step.
#pragma once

#include "sapphirespool/Consensus/core.h"
#include "sapphirespool/Consensus/departures.h"
#include "sapphirespool/Consensus/repair.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sapphirespool::consensus
{

/// The durable state on a fake disk.
struct FakeDisk
{
    HardState hard;
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<Entry> entries;
};

/// Whether the disk of a VM writes.
enum class DiskCondition {
    Works,
    /// Writes do not end; a crash may find some of them on the disk.
    Stalled,
    /// Writes are rejected; a crash finds none of them on the disk.
    Full,
};

/// One VM with its core while the process runs.
struct FakeVm
{
    VmId vm;
    ZoneId zone;
    ReplicaId replica;
    /// Rate of its clock relative to simulated time; within the drift bound of the settings.
    double clockRate = 1.0;
    std::unique_ptr<Core> core;
    FakeDisk synced;
    /// Unsynced writes in order. A crash may lose them.
    std::deque<Action> unsynced;
    DiskCondition diskCondition = DiskCondition::Works;
    /// Applied commands with their indexes; restored from snapshots.
    std::vector<std::pair<LogIndex, Bytes>> applied;
    LogIndex appliedIndex;
    bool isolated = false;
    /// Requests to end that reached this VM.
    Departures departures;
    /// Whether the process was asked to stop.
    bool stopping = false;
    /// Whether the VM was removed for good.
    bool removed = false;
};

/// Control VMs of a simulated group. If they are in zones, the group was found by seeds: its voters are spread over the zones, and learners
/// replace voters that are lost.
struct FakeLayout
{
    std::size_t size;
    /// Availability zones, to which the VMs belong in turn.
    std::size_t zones;
    /// Voters that the group should have. The first VMs are the initial voters; the others join as learners.
    std::size_t voters;
};

/// \return the layout of a group with a fixed list of \p size VMs: all are voters, and none is replaced
[[nodiscard]] auto fixedList(std::size_t size) -> FakeLayout;

/// A simulated group. Each function throws std::runtime_error if an invariant is violated.
class FakeGroup
{
public:
    FakeGroup(const FakeLayout &layout, std::uint64_t seed);

    auto advance(std::chrono::milliseconds time) -> void;
    auto deliver(std::size_t pick) -> void;
    auto deliverFirst() -> bool;
    auto drop(std::size_t pick) -> void;
    auto duplicate(std::size_t pick) -> void;
    auto syncDisk(std::size_t vm) -> void;
    auto setDisk(std::size_t vm, DiskCondition condition) -> void;
    /// Stalls or fills the leader's disk, proposes a command and runs up to about the time of the resignation, as derived from \p pick.
    auto stallLeader(std::size_t pick) -> void;
    /// Delivers all resignations again that were ever sent, as if they had been delayed in the receive buffers of paused VMs.
    auto repeatResignations() -> void;
    auto propose(std::size_t vm, std::uint8_t value) -> void;
    auto read(std::size_t vm) -> void;
    /// Ends the process. The first \p writesKept unsynced writes reach the disk; the others are lost.
    auto crash(std::size_t vm, std::size_t writesKept) -> void;
    auto restart(std::size_t vm) -> void;
    /// Simulates a power failure: crashes all VMs, or all but one, and restarts them in an order derived from \p pick.
    auto failPower(std::size_t pick) -> void;
    auto isolate(std::size_t vm) -> void;
    auto heal(std::size_t vm) -> void;
    /// Crashes the VM and restarts it with an empty disk and a new replica ID, unless the group would lose its quorum.
    auto loseDisk(std::size_t vm) -> void;
    /// Asks the process to stop. It ends once a leader lets it, in repair(), or with endStopping().
    auto stop(std::size_t vm) -> void;
    /// Ends the process if it was asked to stop, and removes the VM for good.
    auto endStopping(std::size_t vm) -> void;
    /// Crashes the VM and restarts it with an empty disk, whatever remains.
    auto destroyDisk(std::size_t vm) -> void;
    /// Passes on the requests of stopping VMs, and each leader proposes the membership change that nextMemberChange() returns.
    auto repair() -> void;
    auto takeSnapshot(std::size_t vm) -> void;

    /// Reconnects and restarts all VMs, frees their disks, advances the time, and requires that one leader commits on all VMs and that all
    /// are members again, with as many voters as the group should have.
    auto healAndCheck() -> void;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto vm(std::size_t index) -> FakeVm &;
    [[nodiscard]] auto leaderIndex() const -> std::optional<std::size_t>;
    [[nodiscard]] auto committedCount() const -> std::size_t;
    /// \return the number of messages by which leaders resigned
    [[nodiscard]] auto resignationCount() const -> std::size_t;
    [[nodiscard]] auto localTime(const FakeVm &vm) const -> TimePoint;
    /// Passes an event to a VM's core and performs the resulting actions.
    auto handle(FakeVm &vm, const CoreEvent &event) -> void;
    /// Runs without faults: delivers messages in order and syncs all disks, in small time steps.
    auto runWithoutFaults(std::chrono::milliseconds time) -> void;

private:
    struct InFlightMessage
    {
        ReplicaId from;
        ReplicaId to;
        Message message;
    };
    struct PendingRead
    {
        std::size_t vm;
        LogIndex required;
    };

    auto perform(FakeVm &vm, Action action) -> void;
    auto apply(FakeVm &vm, const Apply &apply) -> void;
    auto restore(FakeVm &vm, const Snapshot &snapshot) -> void;
    auto readReady(const FakeVm &vm, RequestNumber number) -> void;
    auto write(FakeVm &vm, const Action &action) -> void;
    auto fireTimers() -> void;
    auto start(FakeVm &vm) -> void;
    auto initialConfigurationEntry() const -> Entry;
    auto find(ReplicaId replica) -> FakeVm *;
    auto survivesLossOf(const FakeVm &vm) const -> bool;
    auto checkLeaders() -> void;
    auto checkLogs() const -> void;
    auto checkMembers(const Members &group) const -> void;
    auto checkHealedMembers(const Members &group) const -> void;
    auto asksToJoin(const FakeVm &vm) const -> bool;
    auto joinRequests() const -> std::vector<JoinRequest>;
    auto repairRules(const FakeVm &leader) const -> RepairRules;
    auto passOnDepartures() -> void;
    /// \return whether \p leader lets \p replica end
    auto mayEnd(FakeVm &leader, ReplicaId replica) -> bool;

    CoreSettings settings;
    std::size_t targetVoters;
    bool replacesVoters;
    std::mt19937_64 random;
    std::chrono::nanoseconds time{0};
    std::vector<FakeVm> vms;
    std::deque<InFlightMessage> network;
    std::set<ReplicaId> lostReplicas;
    std::uint64_t nextReplicaId = 1;
    std::uint64_t nextRequestNumber = 1;
    std::vector<InFlightMessage> resignations;
    std::map<RequestNumber, PendingRead> reads;
    std::map<ElectionTerm, ReplicaId> leaders;
    /// Each committed entry as the first VM applied it.
    std::map<LogIndex, Entry> committed;
};

} // namespace sapphirespool::consensus
