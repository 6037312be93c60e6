// announcer.h: announces a control VM to directories.
#pragma once

#include "sapphirespool/Consensus/replica.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace sapphirespool::control
{

/// Settings of the announcements.
struct AnnouncerSettings
{
    ZoneId zone;
    /// Directories or other control VMs; the own endpoint may be among them.
    std::vector<Endpoint> seeds;
    /// \return the directories of the replicated state
    std::function<std::vector<Endpoint>()> directories;
    /// Seed of the jitter; should differ between VMs.
    std::uint64_t seed = 0;
};

/// Announces a control VM once a second, and at once when its group or its role in it changes. Lives on the control thread; stops when
/// destroyed.
class Announcer
{
public:
    Announcer() = default;
    Announcer(const Announcer &) = delete;
    auto operator=(const Announcer &) -> Announcer & = delete;
    virtual ~Announcer() = default;

    virtual auto setSeeds(std::vector<Endpoint> seeds) -> void = 0;
};

/// Starts to announce the VM of \p replica, which must outlive the announcer.
[[nodiscard]] auto makeAnnouncer(rpc::LoopContext &context, AnnouncerSettings settings, consensus::Replica &replica) -> std::unique_ptr<Announcer>;

} // namespace sapphirespool::control
