#include "controltargets.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::control
{

ControlTargets::ControlTargets(std::vector<Endpoint> seeds, bool foundBySeeds, std::uint64_t seed)
    : seeds(std::move(seeds))
    , foundBySeeds(foundBySeeds)
    , random(seed)
{
}

auto ControlTargets::setSeeds(std::vector<Endpoint> seeds) -> void
{
    this->seeds = std::move(seeds);
}

auto ControlTargets::redirected(std::optional<Endpoint> namedLeader, std::vector<Endpoint> controlVms) -> void
{
    this->leader = std::move(namedLeader);
    if (!this->foundBySeeds) {
        return;
    }
    if (!this->leader && controlVms.empty()) {
        // The VM knows nothing yet, for example a directory that has just started; what another one named is still worth a try.
        return;
    }
    this->wasRedirected = true;
    ++this->redirects;
    this->leaderRedirects += this->leader ? 1 : 0;
    this->suggested.clear();
    for (auto &endpoint : controlVms) {
        if (endpoint != this->leader) {
            this->suggested.push_back(std::move(endpoint));
        }
    }
}

auto ControlTargets::answered() -> void
{
    this->redirects = 0;
    this->leaderRedirects = 0;
    this->suggested.clear();
}

auto ControlTargets::noteLease(std::vector<Endpoint> controlVms) -> void
{
    this->leaseNamed = std::move(controlVms);
}

auto ControlTargets::pause() -> std::chrono::milliseconds
{
    if (!this->foundBySeeds) {
        return this->pauseOfFixedList();
    }
    if (std::exchange(this->wasRedirected, false)) {
        return this->redirects == 1 ? std::chrono::milliseconds(0) : this->backoff();
    }
    // The rest of a redirect is tried at once after a failed connection; it is a short list, and another one comes after a pause only.
    return this->redirects > 0 && !this->suggested.empty() ? std::chrono::milliseconds(0) : this->withJitter(reconnectPause);
}

auto ControlTargets::pauseOfFixedList() -> std::chrono::milliseconds
{
    // A redirect is followed at once. After a second one in a row the control VMs do not agree on their leader yet.
    const auto straight = this->leader && !std::exchange(this->wentStraight, true);
    if (straight) {
        return std::chrono::milliseconds(0);
    }
    this->wentStraight = false;
    return reconnectPause;
}

auto ControlTargets::backoff() -> std::chrono::milliseconds
{
    // VMs that name each other as the leader need not agree soon. Without a leader an election is under way, which takes a few short pauses.
    constexpr auto mostDoublings = std::size_t{5};
    const auto doublings = this->leader && this->leaderRedirects >= 2 ? std::min(this->leaderRedirects - 2, mostDoublings) : 0;
    return this->withJitter(std::min(longestPause, reconnectPause * (1U << doublings)));
}

auto ControlTargets::withJitter(std::chrono::milliseconds wait) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(wait.count() * 3 / 4, wait.count())(this->random));
}

auto ControlTargets::next() -> Endpoint
{
    if (this->leader) {
        return *std::exchange(this->leader, std::nullopt);
    }
    if (!this->suggested.empty()) {
        auto endpoint = std::move(this->suggested.front());
        this->suggested.pop_front();
        return endpoint;
    }
    // The seeds may name only control VMs that have been replaced since, so that those of the last lease are tried too.
    const auto place = this->nextSeed++ % (this->seeds.size() + this->leaseNamed.size());
    return place < this->seeds.size() ? this->seeds[place] : this->leaseNamed[place - this->seeds.size()];
}

} // namespace sapphirespool::control
