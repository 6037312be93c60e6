#include "formation.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

/// Several times the interval at which join requests are repeated.
constexpr auto joinRequestLifetime = std::chrono::seconds(3);

/// The control VMs of a first start all ask within 0.3 s of each other and repeat it; the operator's first configuration waits this long
/// if there are fewer control VMs than voters are wanted.
constexpr auto quietPeriod = std::chrono::seconds(2);

auto isListed(const Members &group, ReplicaId replica) -> bool
{
    return std::any_of(group.members.begin(), group.members.end(), [replica](const ControlMember &member) {
        return member.replica == replica;
    });
}

auto contains(const std::vector<ControlMember> &members, const VmId &vm) -> bool
{
    return std::any_of(members.begin(), members.end(), [&vm](const ControlMember &member) {
        return member.vm == vm;
    });
}

} // namespace

GroupFormation::GroupFormation(VmId self, std::vector<ControlMember> initialMembers, bool mayFound, bool openToOthers)
    : self(std::move(self))
    , initialMembers(std::move(initialMembers))
    , mayFound(mayFound)
    , openToOthers(openToOthers)
{
}

auto GroupFormation::recordAnswer(const VmId &vm, bool empty) -> void
{
    if (empty) {
        this->vmsWithoutGroup.insert(vm);
    } else {
        this->vmsWithoutGroup.erase(vm);
    }
}

auto GroupFormation::shouldFound() const -> bool
{
    if (!this->mayFound || this->initialMembers.empty() || this->initialMembers.front().vm != this->self) {
        return false;
    }
    return std::all_of(this->initialMembers.begin(), this->initialMembers.end(), [this](const ControlMember &member) {
        return member.vm == this->self || this->vmsWithoutGroup.contains(member.vm);
    });
}

auto GroupFormation::recordRequest(const JoinRequest &request, const Members &group, TimePoint now) -> void
{
    if (this->openToOthers || contains(this->initialMembers, request.vm) || contains(group.members, request.vm)) {
        this->joinRequests[request.vm] = ReceivedRequest{request, now};
        this->lastRequestTime = isListed(group, request.replica) ? this->lastRequestTime : now;
    }
}

auto GroupFormation::isComplete(const Members &group, const std::function<bool(ReplicaId)> &responds, TimePoint leadsSince, TimePoint now) const -> bool
{
    const auto hasCandidate = std::any_of(group.members.begin(), group.members.end(), [&responds](const ControlMember &member) {
        return !member.voter && responds(member.replica);
    });
    return !hasCandidate && now - std::max(leadsSince, this->lastRequestTime) >= quietPeriod;
}

auto GroupFormation::requests(TimePoint now) const -> std::vector<JoinRequest>
{
    auto recent = std::vector<JoinRequest>();
    for (const auto &[vm, received] : this->joinRequests) {
        if (now - received.at < joinRequestLifetime) {
            recent.push_back(received.request);
        }
    }
    return recent;
}

} // namespace sapphirespool::consensus
