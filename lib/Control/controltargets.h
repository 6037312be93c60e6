// controltargets.h: decides where a link to control connects next, and how long it waits before.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace sapphirespool::control
{

/// Pure. The leader that a redirect names comes first, then the other control VMs that it names, then the seeds and the control VMs of
/// the last lease in turn.
class ControlTargets
{
public:
    /// Before another VM is tried; an election takes a few of them.
    static constexpr auto reconnectPause = std::chrono::milliseconds(50);
    static constexpr auto longestPause = std::chrono::milliseconds(1000);

    /// \param foundBySeeds whether \p seeds are only some of the control VMs, or directories
    /// \param seed of the jitter; should differ between VMs
    ControlTargets(std::vector<Endpoint> seeds, bool foundBySeeds, std::uint64_t seed);

    auto setSeeds(std::vector<Endpoint> seeds) -> void;

    /// Takes the redirect that ended the present session.
    auto redirected(std::optional<Endpoint> leader, std::vector<Endpoint> controlVms) -> void;

    /// Notes that the VM of the present session leads.
    auto answered() -> void;

    /// Takes the control VMs that the last lease named.
    auto noteLease(std::vector<Endpoint> controlVms) -> void;

    /// Called at the end of each session and of each failed connection.
    /// \return the time to wait before next()
    auto pause() -> std::chrono::milliseconds;

    auto next() -> Endpoint;

private:
    auto pauseOfFixedList() -> std::chrono::milliseconds;
    auto backoff() -> std::chrono::milliseconds;
    auto withJitter(std::chrono::milliseconds wait) -> std::chrono::milliseconds;

    std::vector<Endpoint> seeds;
    bool foundBySeeds;
    std::mt19937_64 random;
    std::vector<Endpoint> leaseNamed;
    std::size_t nextSeed = 0;
    std::optional<Endpoint> leader;
    /// Control VMs of the last redirect that have not been tried.
    std::deque<Endpoint> suggested;
    /// Whether the present session ended with a redirect.
    bool wasRedirected = false;
    /// Redirects since a VM led.
    std::size_t redirects = 0;
    /// Those of them that named a leader.
    std::size_t leaderRedirects = 0;
    /// With a fixed list: whether the present session was begun without a pause.
    bool wentStraight = false;
};

} // namespace sapphirespool::control
