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

/// Exists for one leadership of this VM; a state machine without I/O.
class Promoter
{
public:
    /// \param state is read at each call and must outlive the promoter
    /// \param since when this VM became control leader
    /// \param contactTimeout time since the last health report of a member after which it counts as lost
    Promoter(const state::ClusterState &state, TimePoint since, std::chrono::milliseconds contactTimeout = minimumContactTimeout);

    auto handle(const Event &event, TimePoint now) -> Actions;

    /// Advances the groups that are due.
    auto tick(TimePoint now) -> Actions;

    /// Sets the state of the proxies for the calls that follow.
    auto setProxies(const ProxyStanding &standing) -> void;

    /// Sets whether this VM may order promotions of self-replicating groups; initially it may not.
    auto setDuty(bool held) -> void;

private:
    auto advance(const GroupId &group, TimePoint now) -> Actions;
    auto promotionOf(const GroupId &group) -> GroupPromotion &;

    const state::ClusterState &state;
    TimePoint since;
    std::chrono::milliseconds contactTimeout;
    ProxyStanding proxies;
    bool holdsDuty = false;
    std::map<GroupId, GroupPromotion> groups;
};

} // namespace sapphirespool::promotion
