// replica.h: one control VM's replica of the log: the pure core with its disk, its timers and its peers.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Storage/error.h"

#include <boost/leaf/result.hpp>
#include <capnp/capability.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <vector>

namespace sapphirespool::consensus
{

/// Seven voters bear the loss of three VMs; more only slow the commits down.
constexpr auto usualVoters = std::size_t{7};

/// How a control VM takes part.
struct ReplicaSettings
{
    VmId vm;
    /// Where the other control VMs and the proxies reach it.
    Endpoint endpoint;
    /// The control VMs of the settings, this one among them. The first of them founds the group once all others are seen to be
    /// empty; the group takes in the others, and later each of them that comes back with an empty folder, by itself.
    std::vector<ControlMember> initialMembers;
    std::filesystem::path dataFolder;
    /// Seed of the election timeouts and of the identity of a new data folder; must differ between VMs and starts.
    std::uint64_t seed = 0;
    /// Whether this may be the very first start of the system. Else the group exists somewhere, and is only ever joined.
    bool mayFound = true;
    /// Whether a VM may join that neither the settings nor the group name; where the settings name only some control VMs.
    bool openToOthers = false;
    /// Voters that the group has at most; further members are learners, ready to take the place of a voter that is lost.
    std::size_t voters = usualVoters;
};

/// A ReplicatedLog that takes part in the group. Lives on the control thread; stops when destroyed.
class Replica : public ReplicatedLog
{
public:
    /// \return the capability by which the other control VMs reach this replica
    [[nodiscard]] virtual auto peerCapability() -> capnp::Capability::Client = 0;

    /// Applies all committed entries known from the disk and starts to take part.
    virtual auto start() -> void = 0;
};

/// Opens the data folder and restores \p machine from its snapshot. A failure carries a storage::StorageError.
/// \p context and \p machine must outlive the replica.
[[nodiscard]] auto openReplica(rpc::LoopContext &context, ReplicaSettings settings, StateMachine &machine) -> boost::leaf::result<std::unique_ptr<Replica>>;

} // namespace sapphirespool::consensus
