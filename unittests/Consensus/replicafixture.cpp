#include "Consensus/replicafixture.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace sapphirespool::consensus
{

auto RecordingStateMachine::apply(LogIndex, std::span<const std::byte> command) -> Bytes
{
    std::this_thread::sleep_for(this->applyTime);
    this->commands.insert(this->commands.end(), command.begin(), command.end());
    return {command.begin(), command.end()};
}

auto RecordingStateMachine::snapshot() const -> Bytes
{
    return this->commands;
}

auto RecordingStateMachine::restore(std::span<const std::byte> snapshot) -> void
{
    this->commands.assign(snapshot.begin(), snapshot.end());
}

ReplicaFixture::ReplicaFixture(std::size_t size)
    : io(kj::setupAsyncIo())
    , context{io.provider->getNetwork(), io.provider->getTimer(), *io.lowLevelProvider}
    , root(std::filesystem::temp_directory_path() / ("sapphirespool-replica-" + std::to_string(::getpid())))
{
    std::filesystem::remove_all(this->root);
    for (auto index = std::size_t(0); index < size; ++index) {
        auto &vm = this->vms.emplace_back();
        vm.vm = VmId("vm" + std::to_string(index));
        vm.zone = ZoneId("zone" + std::to_string(index % 3));
        vm.folder = this->root / vm.vm.value();
        auto address = this->context.network.parseAddress("127.0.0.1", 0).wait(this->io.waitScope);
        vm.listener = address->listen();
        vm.endpoint = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(vm.listener->getPort())};
    }
}

ReplicaFixture::ReplicaFixture(std::size_t size, std::size_t losses)
    : ReplicaFixture(size)
{
    this->seeds = 3;
    this->losses = losses;
}

ReplicaFixture::~ReplicaFixture()
{
    for (auto &vm : this->vms) {
        this->stop(vm);
    }
    std::filesystem::remove_all(this->root);
}

auto ReplicaFixture::settingsOf(const ControlVm &vm) -> ReplicaSettings
{
    auto settings = ReplicaSettings{vm.vm, vm.endpoint, {}, vm.folder, ++this->seed};
    for (const auto &other : this->vms) {
        settings.initialMembers.push_back(ControlMember{other.vm, other.endpoint, true});
    }
    settings.zone = vm.zone;
    if (this->seeds > 0) {
        settings.initialMembers.resize(this->seeds);
        settings.openToOthers = true;
        settings.voters = 2 * this->losses + 1;
    }
    return settings;
}

auto ReplicaFixture::start(ControlVm &vm) -> void
{
    vm.machine.commands.clear();
    vm.replica = boost::leaf::try_handle_all(
        [this, &vm] {
            return openReplica(this->context, this->settingsOf(vm), vm.machine);
        },
        [] {
            return std::unique_ptr<Replica>();
        });
    REQUIRE(vm.replica != nullptr);
    vm.server = std::make_unique<capnp::TwoPartyServer>(vm.replica->peerCapability());
    vm.listening = vm.server->listen(*vm.listener).eagerlyEvaluate(nullptr);
    vm.replica->start();
}

auto ReplicaFixture::startAll() -> void
{
    for (auto &vm : this->vms) {
        this->start(vm);
    }
}

auto ReplicaFixture::stop(ControlVm &vm) -> void
{
    vm.listening = nullptr;
    vm.server.reset();
    vm.replica.reset();
}

auto ReplicaFixture::runUntil(const std::function<bool()> &condition) -> void
{
    while (!condition()) {
        this->context.timer.afterDelay(1 * kj::MILLISECONDS).wait(this->io.waitScope);
    }
}

auto ReplicaFixture::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    auto met = false;
    this->runUntil([&condition, &met, end] {
        met = condition();
        return met || std::chrono::steady_clock::now() >= end;
    });
    return met;
}

auto ReplicaFixture::leader() -> ControlVm *
{
    for (auto &vm : this->vms) {
        if (vm.replica != nullptr && vm.replica->holdsLeaderLease(std::chrono::steady_clock::now())) {
            return &vm;
        }
    }
    return nullptr;
}

auto ReplicaFixture::voters() -> std::size_t
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

auto ReplicaFixture::commit(int value) -> void
{
    const auto applied = this->commit(value, std::chrono::minutes(1));
    REQUIRE(applied);
}

auto ReplicaFixture::commit(int value, std::chrono::milliseconds limit) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    auto applied = false;
    while (!applied && std::chrono::steady_clock::now() < end) {
        // A proposal that is rejected at once does not run the event loop.
        this->context.timer.afterDelay(1 * kj::MILLISECONDS).wait(this->io.waitScope);
        if (this->leader() == nullptr) {
            continue;
        }
        auto outcome = std::optional<ProposalOutcome>();
        this->leader()->replica->propose(Bytes{static_cast<std::byte>(value)}, [&outcome](ProposalOutcome result) {
            outcome = std::move(result);
        });
        this->runUntil([&outcome] {
            return outcome.has_value();
        });
        applied = std::holds_alternative<Bytes>(*outcome);
    }
    return applied;
}

} // namespace sapphirespool::consensus
