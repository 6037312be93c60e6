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

auto GroupFormation::recordAnswer(const VmId &vm, const JoinAnswer &answer, TimePoint now) -> void
{
    this->answers.insert_or_assign(vm, ReceivedAnswer{answer.empty, answer.directory, now});
}

auto GroupFormation::answerOf(const VmId &vm, TimePoint now) const -> const ReceivedAnswer *
{
    const auto found = this->answers.find(vm);
    if (found == this->answers.end() || (found->second.directory && now - found->second.at >= directoryAnswerLifetime)) {
        return nullptr;
    }
    return &found->second;
}

auto GroupFormation::isEmpty(const ControlMember &seed, TimePoint now) const -> bool
{
    const auto *const answer = this->answerOf(seed.vm, now);
    return seed.vm == this->self || (answer != nullptr && answer->empty);
}

auto GroupFormation::isDirectory(const ControlMember &seed, TimePoint now) const -> bool
{
    const auto *const answer = this->answerOf(seed.vm, now);
    return answer != nullptr && answer->directory;
}

auto GroupFormation::shouldFound(TimePoint now) const -> bool
{
    const auto &seeds = this->initialMembers;
    const auto empty = [this, now](const ControlMember &seed) {
        return this->isEmpty(seed, now);
    };
    if (!this->mayFound || seeds.empty() || !std::all_of(seeds.begin(), seeds.end(), empty)) {
        return false;
    }
    const auto firstControlVm = std::find_if(seeds.begin(), seeds.end(), [this, now](const ControlMember &seed) {
        return !this->isDirectory(seed, now);
    });
    return firstControlVm != seeds.end() && firstControlVm->vm == this->self;
}

auto GroupFormation::lacksControlSeed(TimePoint now) const -> bool
{
    return this->mayFound && !this->initialMembers.empty()
        && std::all_of(this->initialMembers.begin(), this->initialMembers.end(), [this, now](const ControlMember &seed) {
               return this->isDirectory(seed, now);
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
