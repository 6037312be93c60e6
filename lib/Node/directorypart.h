// directorypart.h: the directory of a VM that serves operators without a control role.
#pragma once

#include "sapphirespool/Control/directory.h"
#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace sapphirespool::node
{

/// Made and destroyed on any thread; the directory lives on the loop.
class DirectoryPart
{
public:
    /// Starts to listen at the directory endpoint of \p settings.
    DirectoryPart(rpc::LoopThread &loop, const settings::Settings &settings, std::uint64_t seed);
    ~DirectoryPart();
    DirectoryPart(const DirectoryPart &) = delete;
    auto operator=(const DirectoryPart &) -> DirectoryPart & = delete;

    auto setSeeds(std::vector<Endpoint> seeds) -> void;

    /// \return what takes the control VMs of each lease, on the loop; it may be called after the directory has ended
    [[nodiscard]] auto leaseListener() const -> std::function<void(std::vector<Endpoint>)>;

private:
    /// Touched on the loop only.
    struct Slot
    {
        std::unique_ptr<control::Directory> directory;
    };

    rpc::LoopThread &loop;
    std::shared_ptr<Slot> slot;
};

} // namespace sapphirespool::node
