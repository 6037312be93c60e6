// numberedchanges.h: gathers changes of the configuration that their operators numbered.
#pragma once

#include "sapphirespool/Membership/controllink.h"
#include "sapphirespool/State/commands.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace sapphirespool::controller
{

/// Has one numbered change proposed at a time, and the highest of those that came meanwhile next.
///
/// Load pattern: an operator's script sends hundreds of changes in a row, faster than the log commits texts of tens of kilobytes.
/// Proposed one by one they would queue for the disk, and the last one, the only one that matters, would come into force after all
/// of them. A change that a higher number has overtaken need not be written at all: it is answered together with that one.
class NumberedChanges
{
public:
    using Done = std::function<void(membership::ConfigurationOutcome)>;

    /// Answers that may wait. Only the highest text is kept, so that each of them costs a callback of some hundred bytes.
    static constexpr auto waitingLimit = std::size_t{4'096};

    /// Takes \p command in.
    /// \return the command to propose now; nothing if one is on its way
    auto add(state::ChangeConfiguration command, Done done) -> std::optional<state::ChangeConfiguration>;

    /// \return whether a further change may be added
    [[nodiscard]] auto hasRoom() const -> bool;

    /// Answers those that waited for the proposal on its way.
    /// \return the command to propose next, if others came meanwhile
    auto finish(const membership::ConfigurationOutcome &outcome) -> std::optional<state::ChangeConfiguration>;

private:
    std::vector<Done> underWay;
    std::optional<state::ChangeConfiguration> highest;
    std::vector<Done> waiting;
};

} // namespace sapphirespool::controller
