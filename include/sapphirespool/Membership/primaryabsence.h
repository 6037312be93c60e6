// primaryabsence.h: finds the groups that have been without a primary for too long.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace sapphirespool::membership
{

/// Measures how long each group of a proxy's views has had no primary.
///
/// Failure: a promotion never ends. Callers are told that their group has no primary, as in each promotion, and nothing shows that this one
/// lasts.
class PrimaryAbsence
{
public:
    /// \param limit time without a primary after which a group counts
    explicit PrimaryAbsence(std::chrono::milliseconds limit);

    /// \return the number of groups in \p view that have been without a primary for the limit or longer
    auto note(const ClusterView &view, TimePoint now) -> std::size_t;

private:
    std::chrono::milliseconds limit;
    /// When each group without a primary was first seen without one.
    std::map<GroupId, TimePoint> since;
};

} // namespace sapphirespool::membership
