#include "sapphirespool/Consensus/voterplacement.h"

#include <algorithm>
#include <iterator>

namespace sapphirespool::consensus
{

namespace
{

using MemberSpan = std::span<const ControlMember>;

auto votersIn(MemberSpan members, const ZoneId &zone) -> std::size_t
{
    const auto count = std::count_if(members.begin(), members.end(), [&zone](const ControlMember &member) {
        return member.voter && member.zone == zone;
    });
    return static_cast<std::size_t>(count);
}

/// \return the first member for which \p isPreferred returns true for it and each other one; null if \p isEligible excludes all
template <typename IsEligible, typename IsPreferred>
auto firstPreferred(MemberSpan members, IsEligible isEligible, IsPreferred isPreferred) -> const ControlMember *
{
    const ControlMember *best = nullptr;
    for (const auto &member : members) {
        if (isEligible(member) && (best == nullptr || isPreferred(member, *best))) {
            best = &member;
        }
    }
    return best;
}

} // namespace

auto nextVoter(MemberSpan members, const IsCandidate &isCandidate) -> const ControlMember *
{
    return firstPreferred(members, isCandidate, [members](const ControlMember &left, const ControlMember &right) {
        return votersIn(members, left.zone) < votersIn(members, right.zone);
    });
}

auto replacementOf(const ControlMember &lost, MemberSpan members, const IsCandidate &isCandidate) -> const ControlMember *
{
    const auto isNeighbour = [&lost, &isCandidate](const ControlMember &member) {
        return member.zone == lost.zone && isCandidate(member);
    };
    const auto found = std::find_if(members.begin(), members.end(), isNeighbour);
    return found == members.end() ? nextVoter(members, isCandidate) : &*found;
}

auto balancingVoter(MemberSpan members, const IsCandidate &isCandidate) -> const ControlMember *
{
    const auto *const candidate = nextVoter(members, isCandidate);
    if (candidate == nullptr) {
        return nullptr;
    }
    const auto tooFew = votersIn(members, candidate->zone) + 2;
    const auto hasLargerZone = std::any_of(members.begin(), members.end(), [members, tooFew](const ControlMember &member) {
        return votersIn(members, member.zone) >= tooFew;
    });
    return hasLargerZone ? candidate : nullptr;
}

auto surplusVoter(MemberSpan members, ReplicaId leader) -> const ControlMember *
{
    const auto isEligible = [leader](const ControlMember &member) {
        return member.voter && member.replica != leader;
    };
    return firstPreferred(members, isEligible, [members](const ControlMember &left, const ControlMember &right) {
        return votersIn(members, left.zone) > votersIn(members, right.zone);
    });
}

auto memberCount(MemberSpan members, const ZoneId &zone) -> std::size_t
{
    const auto count = std::count_if(members.begin(), members.end(), [&zone](const ControlMember &member) {
        return member.zone == zone;
    });
    return static_cast<std::size_t>(count);
}

auto surplusLearner(MemberSpan members, const ZoneId &zone) -> const ControlMember *
{
    const auto limit = memberCount(members, zone) + 2;
    const auto isEligible = [members, limit](const ControlMember &member) {
        return !member.voter && memberCount(members, member.zone) >= limit;
    };
    return firstPreferred(members, isEligible, [members](const ControlMember &left, const ControlMember &right) {
        return memberCount(members, left.zone) > memberCount(members, right.zone);
    });
}

} // namespace sapphirespool::consensus
