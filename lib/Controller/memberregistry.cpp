#include "memberregistry.h"

#include <algorithm>

namespace sapphirespool::controller
{

namespace
{

/// Members that a group keeps even if they are silent: a primary and a possible successor.
constexpr auto membersKept = std::size_t{2};

} // namespace

MemberRegistry::MemberRegistry(TimePoint since)
    : since(since)
{
}

auto MemberRegistry::note(const platform::Announcement &announcement, TimePoint now) -> bool
{
    const auto id = UpstreamId(announcement.id);
    const auto incarnation = Incarnation(announcement.incarnation);
    auto &last = this->members[id];
    if (incarnation < last.incarnation) {
        return false;
    }
    if (incarnation == last.incarnation) {
        if (last.ended || (announcement.sequence != 0 && announcement.sequence <= last.sequence)) {
            return announcement.gone && last.ended;
        }
    }
    last = {incarnation, announcement.sequence, now, announcement.gone};
    if (announcement.gone) {
        return true;
    }
    // A process that started earlier than the present one at its address has ended.
    const auto endpoint = Endpoint{announcement.address, announcement.port};
    const auto [place, added] = this->addressOwners.try_emplace(endpoint, AddressOwner{id, incarnation});
    if (!added && place->second.id != id && incarnation < place->second.incarnation) {
        return false;
    }
    place->second = {id, incarnation};
    return true;
}

auto MemberRegistry::membersToEject(const state::GroupRecord &group, TimePoint now) const -> std::vector<UpstreamId>
{
    auto ejected = std::vector<UpstreamId>();
    for (const auto &member : group.view.members) {
        const auto owner = this->addressOwners.find(member.endpoint);
        const auto replaced = owner != this->addressOwners.end() && owner->second.id != member.id;
        const auto mayEject = group.view.primary != member.id && group.view.members.size() > membersKept + ejected.size();
        if (replaced || (mayEject && this->isSilent(member.id, now))) {
            ejected.push_back(member.id);
        }
    }
    return ejected;
}

auto MemberRegistry::isSilent(const UpstreamId &member, TimePoint now) const -> bool
{
    const auto found = this->members.find(member);
    const auto last = found == this->members.end() ? this->since : std::max(this->since, found->second.lastContact);
    return now - last >= ejectAfter;
}

} // namespace sapphirespool::controller
