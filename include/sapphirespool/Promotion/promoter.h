// promoter.h: promotion of all groups on the control leader.
#pragma once

#include "sapphirespool/Promotion/grouppromotion.h"
#include "sapphirespool/Promotion/messages.h"
#include "sapphirespool/Promotion/timing.h"
#include "sapphirespool/State/clusterstate.h"
#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <map>

namespace sapphirespool::promotion
{

/// One for each time in which this VM leads; pure.
class Promoter
{
public:
    /// \param state is read at each call and must outlive the promoter
    /// \param silence time without an announcement after which a member counts as lost
    Promoter(const state::ClusterState &state, TimePoint since, std::chrono::milliseconds silence = silenceLimit);

    auto handle(const Event &event, TimePoint now) -> Actions;

    /// Looks at the groups that are due.
    auto tick(TimePoint now) -> Actions;

    /// Tells what is known of the proxies by now.
    auto setProxies(const ProxyStanding &standing) -> void;

    /// Says whether this VM may order promotions of self-replicating groups; not until it is told so.
    auto setDuty(bool held) -> void;

private:
    auto advance(const GroupId &group, TimePoint now) -> Actions;
    auto promotionOf(const GroupId &group) -> GroupPromotion &;

    const state::ClusterState &state;
    TimePoint since;
    std::chrono::milliseconds silence;
    ProxyStanding proxies;
    bool holdsDuty = false;
    std::map<GroupId, GroupPromotion> groups;
};

} // namespace sapphirespool::promotion
