// memberregistry.h: admission and ejection of the members of self-replicating groups.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <map>
#include <vector>

namespace sapphirespool::controller
{

/// Soft state of one control leader; a state machine without I/O.
///
/// Members of such a group are replaced while it serves: a new one registers, and an old one leaves or ends without a message. Several VMs
/// relay the health reports and may delay them, so the last report of an ended member may arrive after the first one of its successor at
/// the same address.
class MemberRegistry
{
public:
    /// Time since the last contact after which a member is ejected, unless it is the primary or one of the last two members. Its next health
    /// report admits it again. A shorter time without contact may be a partition between the member and control, while proxies still use it.
    static constexpr auto ejectAfter = std::chrono::milliseconds(15'000);

    /// \param since when this VM became control leader
    explicit MemberRegistry(TimePoint since);

    /// Records a health report.
    /// \return whether it is the newest report of its member, and the member is not known to have ended
    auto note(const platform::Announcement &announcement, TimePoint now) -> bool;

    /// \return the members of \p group to eject: another one has replaced them at their address, or the last contact is too long ago
    [[nodiscard]] auto membersToEject(const state::GroupRecord &group, TimePoint now) const -> std::vector<UpstreamId>;

private:
    struct LastReport
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        TimePoint lastContact{};
        /// Whether this process reported its end.
        bool ended = false;
    };

    /// The newest process at an address.
    struct AddressOwner
    {
        UpstreamId id;
        Incarnation incarnation;
    };

    [[nodiscard]] auto isSilent(const UpstreamId &member, TimePoint now) const -> bool;

    TimePoint since;
    std::map<UpstreamId, LastReport> members;
    std::map<Endpoint, AddressOwner> addressOwners;
};

} // namespace sapphirespool::controller
