// replica.h: one control VM's replica of the log: connects the consensus core to disk, timers and peers.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Storage/error.h"

#include <boost/leaf/result.hpp>
#include <capnp/capability.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespool::consensus
{

/// Seven voters tolerate the loss of three VMs; more voters only slow down commits.
constexpr auto maximumVoterCount = std::size_t{7};

/// Settings of the replica on one control VM.
struct ReplicaSettings
{
    VmId vm;
    /// Address at which the other control VMs and the proxies reach this VM.
    Endpoint endpoint;
    /// The control VMs named in the settings, including this one. The first of them bootstraps the group once all others have answered
    /// that they are empty. The group then adds the others automatically, and later any of them that restarts with an empty folder.
    std::vector<ControlMember> initialMembers;
    std::filesystem::path dataFolder;
    /// Seed of the election timeouts and of the identity of a new data folder; must differ between VMs and starts.
    std::uint64_t seed = 0;
    /// Whether this may be the first start of the system. Otherwise the group already exists, and this replica only joins it.
    bool mayFound = true;
    /// Whether VMs may join that are named neither in the settings nor in the group; for settings that name only some control VMs.
    bool openToOthers = false;
    /// Maximum number of voters; further members are learners, ready to replace a voter that is lost. With openToOthers also the number
    /// that the group should have, twice the promised losses and one, and with which it accepts commands.
    std::size_t voters = maximumVoterCount;
    /// Availability zone of this VM. With openToOthers, the voters are spread over the zones.
    ZoneId zone{};
};

/// A ReplicatedLog that participates in the group. Runs on the control thread; stops when destroyed.
class Replica : public ReplicatedLog
{
public:
    /// \return this VM with the identity of its data folder
    [[nodiscard]] virtual auto selfMember() const -> ControlMember = 0;

    /// \return whether this VM knows a group that it joined or that it founded
    [[nodiscard]] virtual auto isInGroup() const -> bool = 0;

    /// Has this VM accept no commands and prove no leadership until \p until, as another group was found.
    virtual auto suspendCommands(TimePoint until) -> void = 0;

    /// \return the capability through which the other control VMs call this replica
    [[nodiscard]] virtual auto peerCapability() -> capnp::Capability::Client = 0;

    /// \return how many further voters may be lost before the group stops; empty if this VM is not the leader
    [[nodiscard]] virtual auto survivedLosses() const -> std::optional<std::size_t> = 0;

    /// Prepares the end of this process: hands over the leadership, and this VM's vote if another VM is ready to take it.
    /// \param mayEnd called once the group has confirmed that this VM may end; not called while the group has no leader, or would lose its
    ///               quorum, so the caller must limit the wait
    virtual auto depart(std::function<void()> mayEnd) -> void = 0;

    /// Starts to participate in the group: arms the timers and begins to form or join a group. Entries read from disk are applied once
    /// they are known to be committed.
    virtual auto start() -> void = 0;
};

/// Opens the data folder and restores \p machine from its snapshot. A failure carries a storage::StorageError.
/// \p context and \p machine must outlive the replica.
[[nodiscard]] auto openReplica(rpc::LoopContext &context, ReplicaSettings settings, StateMachine &machine) -> boost::leaf::result<std::unique_ptr<Replica>>;

} // namespace sapphirespool::consensus
