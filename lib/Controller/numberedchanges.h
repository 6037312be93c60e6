// numberedchanges.h: combines configuration changes that carry a version number.
#pragma once

#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/State/commands.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace sapphirespool::controller
{

/// Allows one proposal at a time; the next one is the highest version that arrived meanwhile.
///
/// Load pattern: an operator's script sends hundreds of changes in a row, faster than the log commits configurations of tens of kilobytes. If
/// each were proposed, they would queue for the disk, and the last one, the only one of effect, would be applied after all others. A change
/// with a lower version than another waiting one is not written; it gets the outcome of the highest one.
class NumberedChanges
{
public:
    using Done = std::function<void(membership::ConfigurationOutcome)>;

    /// Limit on waiting changes. Only the highest configuration is stored, so each other one takes a callback of some hundred bytes.
    static constexpr auto waitingLimit = std::size_t{4'096};

    /// Adds \p command, whose outcome is passed to \p done.
    /// \return the command to propose now; nothing if a proposal is in flight
    auto add(state::ChangeConfiguration command, Done done) -> std::optional<state::ChangeConfiguration>;

    /// \return whether a further change may be added
    [[nodiscard]] auto hasRoom() const -> bool;

    /// Passes \p outcome to all changes that the finished proposal stands for.
    /// \return the command to propose next, if others have arrived meanwhile
    auto finish(const membership::ConfigurationOutcome &outcome) -> std::optional<state::ChangeConfiguration>;

private:
    std::vector<Done> inFlight;
    std::optional<state::ChangeConfiguration> highest;
    std::vector<Done> waiting;
};

} // namespace sapphirespool::controller
