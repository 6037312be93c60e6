// primarysearch.h: which members proved to be primary although the view does not name them.
#pragma once

#include "sapphirespool/Support/types.h"

#include <chrono>
#include <map>
#include <optional>

namespace sapphirespool::interactive
{

/// Keeps the primaries that a proxy has found by asking the members of a group, and decides when they are asked.
///
/// Failure: a primary is cut off together with many proxies. The control group promotes another member that these proxies still reach, but
/// the view that names it does not reach them. Without a search they refuse each write and each current read of the group for as long as
/// the cut lasts, and retries meet another such proxy. A member that begins a transaction that may write proves to be the primary at that
/// moment, since a group's members refuse it under any other role; so a search needs no control VM, and can be wrong only for as long as
/// the next statement takes, which the member refuses then.
class PrimarySearch
{
public:
    /// Pause between two searches of one group; callers that come meanwhile go by the result of the last one.
    static constexpr auto rest = std::chrono::milliseconds(100);
    /// How long the view that names the new primary is waited for first where control answers: it is the usual way, and asks nobody.
    static constexpr auto viewPatience = std::chrono::milliseconds(150);

    /// \return whether \p group may be searched at \p now; it counts as searched then
    [[nodiscard]] auto begin(const GroupId &group, TimePoint now) -> bool;

    /// Notes that \p upstream proved to be primary.
    /// \param viewTerm term of the group in the view; a later one makes the finding void
    auto note(const GroupId &group, Term viewTerm, const UpstreamId &upstream) -> void;

    /// Notes that \p upstream refused what a primary takes.
    auto refute(const GroupId &group, const UpstreamId &upstream) -> void;

    /// \return the primary that was found for \p group while the view has had \p viewTerm
    [[nodiscard]] auto foundFor(const GroupId &group, Term viewTerm) const -> std::optional<UpstreamId>;

private:
    struct Finding
    {
        Term viewTerm;
        UpstreamId upstream;
    };

    std::map<GroupId, Finding> findings;
    std::map<GroupId, TimePoint> searched;
};

} // namespace sapphirespool::interactive
