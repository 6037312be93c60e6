// fakegroup.h: cores with fake disks and a fake network under a virtual clock, and the promises checked after each step.
#pragma once

#include "sapphirespool/Consensus/core.h"
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

/// What is on a fake disk.
struct FakeDisk
{
    HardState hard;
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<Entry> entries;
};

/// One VM with its core while the process runs.
struct FakeVm
{
    VmId vm;
    ReplicaId replica;
    /// Rate of its clock; within the drift bound of the settings.
    double clockRate = 1.0;
    std::unique_ptr<Core> core;
    FakeDisk synced;
    /// Writes that a crash may lose, in order.
    std::deque<Action> unsynced;
    /// Commands applied, by index; restored from snapshots.
    std::vector<std::pair<LogIndex, Bytes>> applied;
    LogIndex appliedIndex;
    bool isolated = false;
};

/// A group under test. Each function throws std::runtime_error if a promise is broken.
class FakeGroup
{
public:
    FakeGroup(std::size_t size, std::uint64_t seed);

    auto advance(std::chrono::milliseconds time) -> void;
    auto deliver(std::size_t pick) -> void;
    auto deliverFirst() -> bool;
    auto drop(std::size_t pick) -> void;
    auto duplicate(std::size_t pick) -> void;
    auto syncDisk(std::size_t vm) -> void;
    auto propose(std::size_t vm, std::uint8_t value) -> void;
    auto read(std::size_t vm) -> void;
    /// Ends the process; of the writes that are not synced the first \p kept reach the disk.
    auto crash(std::size_t vm, std::size_t kept) -> void;
    auto restart(std::size_t vm) -> void;
    /// Ends the processes of all VMs, or of all but one, and starts them again in some order.
    auto loseSeveral(std::size_t pick) -> void;
    auto isolate(std::size_t vm) -> void;
    auto heal(std::size_t vm) -> void;
    /// Empties the disk, unless the group could not survive that.
    auto loseDisk(std::size_t vm) -> void;
    /// Lets each leader propose the change that repair.h chooses.
    auto repair() -> void;
    auto takeSnapshot(std::size_t vm) -> void;

    /// Heals and restarts all, lets time pass, and requires that one leader commits on all VMs and all are voters again.
    auto settle() -> void;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto vm(std::size_t index) -> FakeVm &;
    [[nodiscard]] auto leaderIndex() const -> std::optional<std::size_t>;
    [[nodiscard]] auto committedCount() const -> std::size_t;
    [[nodiscard]] auto localTime(const FakeVm &vm) const -> TimePoint;
    /// Runs an event through a VM's core and its actions.
    auto handle(FakeVm &vm, const CoreEvent &event) -> void;
    /// Messages and syncs in order, in small steps of time.
    auto runCalmly(std::chrono::milliseconds time) -> void;

private:
    struct InFlight
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
    auto founding() const -> Entry;
    auto find(ReplicaId replica) -> FakeVm *;
    auto survivesLossOf(const FakeVm &vm) const -> bool;
    auto checkLeaders() -> void;
    auto checkLogs() const -> void;
    auto joinRequests() const -> std::vector<JoinRequest>;

    CoreSettings settings;
    std::mt19937_64 random;
    std::chrono::nanoseconds time{0};
    std::vector<FakeVm> vms;
    std::deque<InFlight> network;
    std::set<ReplicaId> lost;
    std::uint64_t nextReplica = 1;
    std::uint64_t nextNumber = 1;
    std::map<RequestNumber, PendingRead> reads;
    std::map<ElectionTerm, ReplicaId> leaders;
    /// Each entry as it was first applied anywhere.
    std::map<LogIndex, Entry> committed;
};

} // namespace sapphirespool::consensus
