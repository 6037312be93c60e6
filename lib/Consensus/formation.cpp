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
    }
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
