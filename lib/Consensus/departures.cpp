#include "sapphirespool/Consensus/departures.h"

namespace sapphirespool::consensus
{

auto Departures::recordRequest(ReplicaId replica, TimePoint now) -> void
{
    this->requests[replica].at = now;
}

auto Departures::recordMessage(ReplicaId replica, TimePoint now) -> void
{
    const auto found = this->requests.find(replica);
    if (found != this->requests.end() && now - found->second.at > requestLifetime) {
        this->requests.erase(found);
    }
}

auto Departures::recordRelease(ReplicaId replica) -> void
{
    if (const auto found = this->requests.find(replica); found != this->requests.end()) {
        found->second.released = true;
    }
}

auto Departures::isStopping(ReplicaId replica, TimePoint now) const -> bool
{
    const auto found = this->requests.find(replica);
    return found != this->requests.end() && now - found->second.at <= requestLifetime;
}

auto Departures::isReleased(ReplicaId replica) const -> bool
{
    const auto found = this->requests.find(replica);
    return found != this->requests.end() && found->second.released;
}

auto Departures::hasEnded(ReplicaId replica, Duration silence, TimePoint now) const -> bool
{
    return this->requests.contains(replica) && !this->isStopping(replica, now) && silence > requestLifetime;
}

} // namespace sapphirespool::consensus
