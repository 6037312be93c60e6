// consensusbenchmark.cpp: commits a second and bytes per commit on a real disk, and the time of a restart.
//
// Usage: consensusbenchmark FOLDER; the folder must lie on the disk that is meant and is emptied.
#include "sapphirespool/Consensus/replica.h"

#include <boost/leaf/handle_errors.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace sapphirespool::consensus
{

namespace
{

/// About the size of a heartbeat's news or a small change of the configuration.
constexpr auto commandBytes = std::size_t(200);

/// Keeps the last 1,000 commands, so that the state stays small as that of the configuration does.
class RecentCommands : public StateMachine
{
public:
    auto apply(LogIndex, std::span<const std::byte> command) -> Bytes override
    {
        ++this->applied;
        this->recent.insert(this->recent.end(), command.begin(), command.end());
        constexpr auto kept = 1000 * commandBytes;
        if (this->recent.size() > 2 * kept) {
            this->recent.erase(this->recent.begin(), this->recent.end() - static_cast<std::ptrdiff_t>(kept));
        }
        return {};
    }

    [[nodiscard]] auto snapshot() const -> Bytes override
    {
        return this->recent;
    }

    auto restore(std::span<const std::byte> snapshot) -> void override
    {
        this->recent.assign(snapshot.begin(), snapshot.end());
    }

    Bytes recent;
    std::uint64_t applied = 0;
};

struct Vm
{
    VmId id;
    Endpoint endpoint;
    std::filesystem::path folder;
    kj::Own<kj::ConnectionReceiver> listener;
    RecentCommands machine;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<capnp::TwoPartyServer> server;
    kj::Maybe<kj::Promise<void>> listening;
};

/// Control VMs on one loop, each with a folder of its own.
class Group
{
public:
    Group(const std::filesystem::path &root, std::size_t size)
        : io(kj::setupAsyncIo())
        , context{io.provider->getNetwork(), io.provider->getTimer(), *io.lowLevelProvider}
        , vms(size)
    {
        std::filesystem::remove_all(root);
        for (auto index = std::size_t(0); index < size; ++index) {
            auto &vm = this->vms[index];
            vm.id = VmId("vm" + std::to_string(index));
            vm.folder = root / vm.id.value();
            vm.listener = this->context.network.parseAddress("127.0.0.1", 0).wait(this->io.waitScope)->listen();
            vm.endpoint = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(vm.listener->getPort())};
        }
    }

    ~Group()
    {
        this->stop();
    }

    auto start() -> void
    {
        for (auto &vm : this->vms) {
            auto settings = ReplicaSettings{vm.id, vm.endpoint, {}, vm.folder, ++this->seed};
            for (const auto &other : this->vms) {
                settings.initialMembers.push_back(ControlMember{other.id, other.endpoint, true});
            }
            vm.replica = boost::leaf::try_handle_all(
                [this, &settings, &vm] {
                    return openReplica(this->context, settings, vm.machine);
                },
                [](const storage::StorageError &error) -> std::unique_ptr<Replica> {
                    std::cerr << error.detail << '\n';
                    std::exit(1);
                },
                []() -> std::unique_ptr<Replica> {
                    std::exit(1);
                });
            vm.server = std::make_unique<capnp::TwoPartyServer>(vm.replica->peerCapability());
            vm.listening = vm.server->listen(*vm.listener).eagerlyEvaluate(nullptr);
            vm.replica->start();
        }
    }

    auto stop() -> void
    {
        for (auto &vm : this->vms) {
            vm.listening = nullptr;
            vm.server.reset();
            vm.replica.reset();
        }
    }

    auto runUntil(const std::function<bool()> &reached) -> void
    {
        while (!reached()) {
            this->context.timer.afterDelay(100 * kj::MICROSECONDS).wait(this->io.waitScope);
        }
    }

    auto leader() -> Replica *
    {
        for (auto &vm : this->vms) {
            if (vm.replica != nullptr && vm.replica->holdsLeaderLease(std::chrono::steady_clock::now())) {
                return vm.replica.get();
            }
        }
        return nullptr;
    }

    auto awaitFormed() -> void
    {
        this->runUntil([this] {
            auto *const leading = this->leader();
            if (leading == nullptr) {
                return false;
            }
            const auto members = leading->members();
            return members.size() == this->vms.size() && std::all_of(members.begin(), members.end(), [](const ControlMember &member) {
                       return member.voter;
                   });
        });
    }

    /// Proposes \p count commands with \p outstanding of them on their way at a time.
    auto commit(std::size_t count, std::size_t outstanding) -> void
    {
        auto proposed = std::size_t(0);
        auto done = std::size_t(0);
        auto *const leading = this->leader();
        auto finished = kj::newPromiseAndFulfiller<void>();
        auto propose = std::function<void()>();
        propose = [&] {
            ++proposed;
            leading->propose(Bytes(commandBytes, std::byte(1)), [&](const ProposalOutcome &outcome) {
                if (!std::holds_alternative<Bytes>(outcome)) {
                    std::cerr << "leadership was lost during the measurement\n";
                    std::exit(1);
                }
                ++done;
                if (done == count) {
                    finished.fulfiller->fulfill();
                } else if (proposed < count) {
                    this->context.timer.afterDelay(0 * kj::NANOSECONDS).then(propose).detach([](kj::Exception &&) {});
                }
            });
        };
        for (auto first = std::size_t(0); first < std::min(outstanding, count); ++first) {
            propose();
        }
        finished.promise.wait(this->io.waitScope);
    }

    kj::AsyncIoContext io;
    rpc::LoopContext context;
    std::vector<Vm> vms;
    std::uint64_t seed = 0;
};

auto secondsOf(const std::function<void()> &work) -> double
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

auto measureCommits(const std::filesystem::path &root, std::size_t vms, std::size_t outstanding) -> void
{
    constexpr auto count = std::size_t(4000);
    auto group = Group(root, vms);
    group.start();
    group.awaitFormed();
    const auto log = group.vms[0].folder / "log";
    const auto before = std::filesystem::file_size(log);
    const auto seconds = secondsOf([&group, outstanding] {
        group.commit(count, outstanding);
    });
    const auto bytes = static_cast<double>(std::filesystem::file_size(log) - before) / count;
    std::cout << "commits vms=" << vms << " outstanding=" << outstanding << " commits_per_s=" << count / seconds << " bytes_per_commit=" << bytes << std::endl;
}

auto measureRestart(const std::filesystem::path &root, std::size_t changes) -> void
{
    constexpr auto outstanding = std::size_t(256);
    auto group = Group(root, 1);
    group.start();
    group.awaitFormed();
    group.commit(changes, outstanding);
    group.stop();
    const auto log = std::filesystem::file_size(group.vms[0].folder / "log");
    auto opened = 0.0;
    const auto seconds = secondsOf([&group, &opened] {
        opened = secondsOf([&group] {
            group.start();
        });
        group.awaitFormed();
    });
    std::cout << "restart changes=" << changes << " log_bytes=" << log << " open_ms=" << opened * 1000 << " until_lease_ms=" << seconds * 1000 << std::endl;
}

} // namespace

auto measureAll(const std::filesystem::path &root) -> void
{
    for (const auto outstanding : {1, 16, 256}) {
        measureCommits(root, 1, outstanding);
        measureCommits(root, 3, outstanding);
    }
    for (const auto changes : {10, 1'000, 100'000}) {
        measureRestart(root, changes);
    }
    std::filesystem::remove_all(root);
}

} // namespace sapphirespool::consensus

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: consensusbenchmark FOLDER\n";
        return 2;
    }
    sapphirespool::consensus::measureAll(argv[1]);
    return 0;
}
