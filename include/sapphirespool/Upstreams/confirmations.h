// confirmations.h: which writes of a group are confirmed; without sockets or clocks.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Platform/messages.h"
#include "sapphirespool/Support/types.h"
#include "sapphirespool/Upstreams/positionwatch.h"

#include <optional>
#include <unordered_map>

namespace sapphirespool::upstreams
{

/// What the reports of a group's members prove about positions.
class Confirmations
{
public:
    /// Takes the group's members and term; forgets what members no longer in it have reported.
    auto viewChanged(const membership::GroupView &group) -> void;

    /// Takes a report of \p member.
    /// \return false if it is not from the process that the view names; then it proves nothing
    auto reported(const UpstreamId &member, const platform::PositionReport &report) -> bool;

    /// \return how a wait for \p position in \p term has ended, or nothing while it goes on
    [[nodiscard]] auto result(Term term, LogPosition position) const -> std::optional<Confirmation>;

    /// \return the last position that \p member reported in the term of the view
    [[nodiscard]] auto known(const UpstreamId &member) const -> LogPosition;

    [[nodiscard]] auto view() const -> const membership::GroupView &;

private:
    [[nodiscard]] auto confirms(const platform::PositionReport &report, Term term, LogPosition position) const -> bool;

    membership::GroupView group;
    std::unordered_map<UpstreamId, platform::PositionReport> latest;
};

} // namespace sapphirespool::upstreams
