// memberregistry.h: decides which members a self-replicating group has.
#pragma once

#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/State/records.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <map>
#include <vector>

namespace sapphirespool::controller
{

/// Soft state of one control leader; pure.
///
/// Members of such a group are replaced while it serves: a new one registers, an old one leaves, or is gone without a word. What they say
/// passes through several VMs and may be held up on the way, so that the last word of a member that is gone arrives after the first one
/// of its successor at the same address.
class MemberRegistry
{
public:
    /// A member that was silent for this long is taken out, unless it is the primary or the last but one. It comes back with its next
    /// announcement. Some seconds of silence may be a cut between members and control alone, while proxies use the member.
    static constexpr auto forgetAfter = std::chrono::milliseconds(15'000);

    /// \param since when this VM became control leader
    explicit MemberRegistry(TimePoint since);

    /// Takes an announcement in.
    /// \return whether it is the newest word of its member, and the member is not known to be gone
    auto note(const platform::Announcement &announcement, TimePoint now) -> bool;

    /// \return the members of \p group that another one has replaced at its address, or that have been silent for long
    [[nodiscard]] auto gone(const state::GroupRecord &group, TimePoint now) const -> std::vector<UpstreamId>;

private:
    struct Heard
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        TimePoint at{};
        /// Whether this process said that it ends.
        bool ended = false;
    };

    /// The process that has an address.
    struct Tenant
    {
        UpstreamId id;
        Incarnation incarnation;
    };

    [[nodiscard]] auto isSilent(const UpstreamId &member, TimePoint now) const -> bool;

    TimePoint since;
    std::map<UpstreamId, Heard> members;
    std::map<Endpoint, Tenant> tenants;
};

} // namespace sapphirespool::controller
