#include "sapphirespool/Consensus/replica.h"
#include "sapphirespool/Consensus/coretypes.h"

#include <boost/leaf/handle_errors.hpp>
#include <capnp/rpc-twoparty.h>
#include <catch2/catch.hpp>
#include <kj/async-io.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace sapphirespool::consensus
{

namespace
{

/// A state machine that records all commands in the order of the log.
class RecordingStateMachine : public StateMachine
{
public:
    auto apply(LogIndex, std::span<const std::byte> command) -> Bytes override
    {
        std::this_thread::sleep_for(this->applyTime);
        this->commands.insert(this->commands.end(), command.begin(), command.end());
        return Bytes(command.begin(), command.end());
    }

    [[nodiscard]] auto snapshot() const -> Bytes override
    {
        return this->commands;
    }

    auto restore(std::span<const std::byte> snapshot) -> void override
    {
        this->commands.assign(snapshot.begin(), snapshot.end());
    }

    Bytes commands;
    std::chrono::milliseconds applyTime{0};
};

/// A control VM of the test: its replica, and the listener that accepts connections of the other replicas.
struct ControlVm
{
    VmId vm;
    Endpoint endpoint;
    std::filesystem::path folder;
    kj::Own<kj::ConnectionReceiver> listener;
    RecordingStateMachine machine;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<capnp::TwoPartyServer> server;
    kj::Maybe<kj::Promise<void>> listening;
};

/// Three control VMs on one event loop, with real sockets and disks.
class ThreeVmFixture
{
public:
    ThreeVmFixture()
        : io(kj::setupAsyncIo())
        , context{io.provider->getNetwork(), io.provider->getTimer(), *io.lowLevelProvider}
        , root(std::filesystem::temp_directory_path() / ("sapphirespool-replica-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(this->root);
        for (auto index = 0; index < 3; ++index) {
            auto &vm = this->vms[index];
            vm.vm = VmId("vm" + std::to_string(index));
            vm.folder = this->root / vm.vm.value();
            auto address = this->context.network.parseAddress("127.0.0.1", 0).wait(this->io.waitScope);
            vm.listener = address->listen();
            vm.endpoint = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(vm.listener->getPort())};
        }
    }

    ~ThreeVmFixture()
    {
        for (auto &vm : this->vms) {
            this->stop(vm);
        }
        std::filesystem::remove_all(this->root);
    }

    auto start(ControlVm &vm) -> void
    {
        auto settings = ReplicaSettings{vm.vm, vm.endpoint, {}, vm.folder, ++this->seed};
        for (const auto &other : this->vms) {
            settings.initialMembers.push_back(ControlMember{other.vm, other.endpoint, true});
        }
        vm.machine.commands.clear();
        vm.replica = boost::leaf::try_handle_all(
            [this, &settings, &vm] {
                return openReplica(this->context, settings, vm.machine);
            },
            [] {
                return std::unique_ptr<Replica>();
            });
        REQUIRE(vm.replica != nullptr);
        vm.server = std::make_unique<capnp::TwoPartyServer>(vm.replica->peerCapability());
        vm.listening = vm.server->listen(*vm.listener).eagerlyEvaluate(nullptr);
        vm.replica->start();
    }

    auto stop(ControlVm &vm) -> void
    {
        vm.listening = nullptr;
        vm.server.reset();
        vm.replica.reset();
    }

    /// Runs the event loop until \p condition returns true.
    auto runUntil(const std::function<bool()> &condition) -> void
    {
        while (!condition()) {
            this->context.timer.afterDelay(1 * kj::MILLISECONDS).wait(this->io.waitScope);
        }
    }

    auto leader() -> ControlVm *
    {
        for (auto &vm : this->vms) {
            if (vm.replica != nullptr && vm.replica->holdsLeaderLease(std::chrono::steady_clock::now())) {
                return &vm;
            }
        }
        return nullptr;
    }

    [[nodiscard]] auto voters() -> std::size_t
    {
        const auto *const currentLeader = this->leader();
        if (currentLeader == nullptr) {
            return 0;
        }
        const auto members = currentLeader->replica->members();
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const ControlMember &member) {
            return member.voter;
        }));
    }

    /// Proposes \p value to the current leader, and again after each failure, until it is applied.
    auto commit(int value) -> void
    {
        auto applied = false;
        while (!applied) {
            this->runUntil([this] {
                return this->leader() != nullptr;
            });
            auto outcome = std::optional<ProposalOutcome>();
            this->leader()->replica->propose(Bytes{static_cast<std::byte>(value)}, [&outcome](ProposalOutcome result) {
                outcome = std::move(result);
            });
            this->runUntil([&outcome] {
                return outcome.has_value();
            });
            applied = std::holds_alternative<Bytes>(*outcome);
        }
    }

    kj::AsyncIoContext io;
    rpc::LoopContext context;
    std::filesystem::path root;
    std::array<ControlVm, 3> vms;
    std::uint64_t seed = 0;
};

} // namespace

TEST_CASE("control VMs found a group, survive a restart of all VMs and readmit a VM that lost its disk")
{
    // Visible failure: an acknowledged change is lost after a restart of all VMs, or the group stays one voter short.
    // Three empty VMs found a group and commit; all stop and restart; then one loses its disk and rejoins, and another one stops.
    // Log entries are synced before they are acknowledged, and an empty VM joins as a learner before it becomes a voter.
    auto group = ThreeVmFixture();
    for (auto &vm : group.vms) {
        group.start(vm);
    }
    group.runUntil([&group] {
        return group.voters() == 3;
    });
    group.commit(1);
    for (auto &vm : group.vms) {
        group.stop(vm);
    }
    for (auto &vm : group.vms) {
        group.start(vm);
    }
    group.commit(2);

    auto &lost = group.vms[0];
    group.stop(lost);
    std::filesystem::remove_all(lost.folder);
    group.start(lost);
    group.runUntil([&group, &lost] {
        const auto *const currentLeader = group.leader();
        if (currentLeader == nullptr || group.voters() != 3) {
            return false;
        }
        const auto members = currentLeader->replica->members();
        const auto known = lost.replica->members();
        return members.size() == 3 && known == members && lost.machine.commands.size() >= 2;
    });
    group.stop(group.vms[1]);
    group.commit(3);
    CHECK(group.leader()->machine.commands == Bytes{std::byte(1), std::byte(2), std::byte(3)});
}

TEST_CASE("a control VM that applies a long log still attends to heartbeats")
{
    // Failure: after a restart of all control VMs each new leader is silent for longer than an election timeout, and loses the lead.
    constexpr auto entries = std::size_t{500};
    auto group = ThreeVmFixture();
    for (auto &vm : group.vms) {
        group.start(vm);
    }
    group.runUntil([&group] {
        return group.voters() == 3;
    });
    auto *const first = group.leader();
    REQUIRE(first != nullptr);
    for (std::size_t entry = 0; entry < entries; ++entry) {
        first->replica->propose(Bytes{std::byte(1)}, [](const ProposalOutcome &) {});
    }
    const auto allApplied = [&group] {
        return std::all_of(group.vms.begin(), group.vms.end(), [](const ControlVm &vm) {
            return vm.machine.commands.size() >= entries;
        });
    };
    group.runUntil(allApplied);
    for (auto &vm : group.vms) {
        group.stop(vm);
    }
    for (auto &vm : group.vms) {
        vm.machine.applyTime = std::chrono::milliseconds(1);
        group.start(vm);
    }
    auto longestGap = std::chrono::steady_clock::duration();
    auto last = std::chrono::steady_clock::now();
    group.runUntil([&] {
        const auto now = std::chrono::steady_clock::now();
        longestGap = std::max(longestGap, now - last);
        last = now;
        return allApplied();
    });
    CHECK(longestGap < CoreSettings().minimumElectionTimeout);
}

// Failure: a VM that founded a second group goes on to accept changes and to grant leases.
TEST_CASE("a leader that is suspended accepts no commands, and leads again afterwards")
{
    auto group = ThreeVmFixture();
    for (auto &vm : group.vms) {
        group.start(vm);
    }
    group.runUntil([&group] {
        return group.voters() == 3;
    });
    group.commit(1);
    auto *const leader = group.leader();
    REQUIRE(leader != nullptr);
    const auto now = std::chrono::steady_clock::now();
    leader->replica->suspendCommands(now + std::chrono::hours(1));
    CHECK_FALSE(leader->replica->holdsLeaderLease(now));
    auto outcome = std::optional<ProposalOutcome>();
    leader->replica->propose(Bytes{std::byte(2)}, [&outcome](ProposalOutcome result) {
        outcome = std::move(result);
    });
    REQUIRE(outcome.has_value());
    CHECK(std::get<ProposalFailure>(*outcome) == ProposalFailure::NotLeader);
    leader->replica->suspendCommands(now);
    group.commit(3);
    CHECK(group.leader()->machine.commands == Bytes{std::byte(1), std::byte(3)});
}

} // namespace sapphirespool::consensus
