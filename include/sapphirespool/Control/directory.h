// directory.h: serves the addresses of control VMs from a process without a replica.
#pragma once

#include "sapphirespool/Rpc/loopthread.h"
#include "sapphirespool/Support/types.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace sapphirespool::control
{

/// Settings of a directory.
struct DirectorySettings
{
    VmId vm;
    /// Where it listens.
    Endpoint endpoint;
    /// Control VMs or other directories; its own endpoint may be among them.
    std::vector<Endpoint> seeds;
    /// Seed of the jitter between its calls; should differ between VMs.
    std::uint64_t seed = 0;
};

/// Redirects proxies and VMs that ask to join to the control VMs that it knows. Lives on the control thread; stops when destroyed.
///
/// What it knows grants nothing: it is learned anew after each start, and a wrong address costs a caller one connection.
class Directory
{
public:
    Directory() = default;
    Directory(const Directory &) = delete;
    auto operator=(const Directory &) -> Directory & = delete;
    virtual ~Directory() = default;

    /// \return the port, once listening; 0 before
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;

    /// Takes the control VMs that a lease of this process's own connection to control names.
    virtual auto noteLease(std::vector<Endpoint> controlVms) -> void = 0;

    virtual auto setSeeds(std::vector<Endpoint> seeds) -> void = 0;
};

/// Starts to listen and to call the seeds.
[[nodiscard]] auto serveDirectory(rpc::LoopContext &context, DirectorySettings settings) -> std::unique_ptr<Directory>;

} // namespace sapphirespool::control
