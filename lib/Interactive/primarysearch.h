// primarysearch.h: primaries found by asking the members of a group, for when the view is outdated.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <map>
#include <optional>

namespace sapphirespool::interactive
{

/// Holds the primaries that a proxy has found by asking the members of a group, and limits how often it asks them.
///
/// Failure: a network partition separates a primary and many proxies from the control group. The control group promotes another member, which
/// these proxies still reach, but the view that names it does not reach them. Without a search they refuse each write and each current
/// read of the group for the duration of the partition, and retries arrive at other proxies in the same situation. A member that begins
/// a read-write transaction proves that it is the primary at that moment, since members in any other role refuse it. So a search needs
/// no control VM. If its result is outdated, the next statement corrects it, because the member refuses that statement.
class PrimarySearch
{
public:
    /// Minimum time between two searches of one group; callers that arrive in between use the last result.
    static constexpr auto searchSpacing = std::chrono::milliseconds(100);
    /// Wait for a view that names the new primary before a search starts, where control VMs are reachable. The view is the usual way to
    /// learn of a new primary, and costs no requests to the members.
    static constexpr auto viewWaitLimit = std::chrono::milliseconds(150);

    /// \return whether \p group may be searched at \p now; if so, \p now is recorded as the time of its last search
    [[nodiscard]] auto begin(const GroupId &group, TimePoint now) -> bool;

    /// Records that \p upstream proved to be the primary.
    /// \param viewTerm term of the group in the current view; the result is valid only while the view has this term
    auto record(const GroupId &group, Term viewTerm, const UpstreamId &upstream) -> void;

    /// Removes the result for \p group if it names \p upstream, which refused a request that a primary accepts.
    auto refute(const GroupId &group, const UpstreamId &upstream) -> void;

    /// \return the primary found for \p group under \p viewTerm; nothing if there is none
    [[nodiscard]] auto foundFor(const GroupId &group, Term viewTerm) const -> std::optional<UpstreamId>;

private:
    struct FoundPrimary
    {
        Term viewTerm;
        UpstreamId upstream;
    };

    std::map<GroupId, FoundPrimary> foundPrimaries;
    std::map<GroupId, TimePoint> lastSearch;
};

} // namespace sapphirespool::interactive
