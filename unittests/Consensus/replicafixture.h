// replicafixture.h: control VMs on one event loop, with real sockets and disks.
#pragma once

#include "sapphirespool/Consensus/replica.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <chrono>
#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <span>

namespace sapphirespool::consensus
{

/// A state machine that records all commands in the order of the log.
class RecordingStateMachine : public StateMachine
{
public:
    auto apply(LogIndex index, std::span<const std::byte> command) -> Bytes override;
    [[nodiscard]] auto snapshot() const -> Bytes override;
    auto restore(std::span<const std::byte> snapshot) -> void override;

    Bytes commands;
    std::chrono::milliseconds applyTime{0};
};

/// A control VM of the test: its replica, and the listener that accepts connections of the other replicas.
struct ControlVm
{
    VmId vm;
    ZoneId zone;
    Endpoint endpoint;
    std::filesystem::path folder;
    kj::Own<kj::ConnectionReceiver> listener;
    RecordingStateMachine machine;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<capnp::TwoPartyServer> server;
    kj::Maybe<kj::Promise<void>> listening;
};

class ReplicaFixture
{
public:
    /// The settings of each VM list all \p size VMs.
    explicit ReplicaFixture(std::size_t size);

    /// The settings of each VM name the first three as seeds, and \p losses of the VMs in three zones may be lost.
    ReplicaFixture(std::size_t size, std::size_t losses);

    ReplicaFixture(const ReplicaFixture &) = delete;
    auto operator=(const ReplicaFixture &) -> ReplicaFixture & = delete;
    ~ReplicaFixture();

    auto start(ControlVm &vm) -> void;
    auto startAll() -> void;
    auto stop(ControlVm &vm) -> void;

    /// Runs the event loop until \p condition returns true.
    auto runUntil(const std::function<bool()> &condition) -> void;
    /// Runs the event loop until \p condition returns true or \p limit has passed.
    /// \return whether the condition was met
    auto runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit) -> bool;

    auto leader() -> ControlVm *;
    [[nodiscard]] auto voters() -> std::size_t;

    /// Proposes \p value to the current leader, and again after each failure, until it is applied.
    auto commit(int value) -> void;
    /// \return whether \p value was applied within \p limit
    auto commit(int value, std::chrono::milliseconds limit) -> bool;

    kj::AsyncIoContext io;
    rpc::LoopContext context;
    std::filesystem::path root;
    std::deque<ControlVm> vms;
    std::uint64_t seed = 0;

private:
    [[nodiscard]] auto settingsOf(const ControlVm &vm) -> ReplicaSettings;

    std::size_t seeds = 0;
    std::size_t losses = 0;
};

} // namespace sapphirespool::consensus
