// applyqueue.h: committed entries on their way to the state machine.
#pragma once

#include "sapphirespool/Consensus/coretypes.h"
#include "sapphirespool/Consensus/statemachine.h"
#include "sapphirespool/Support/types.h"

#include <chrono>
#include <deque>
#include <functional>
#include <variant>

namespace sapphirespool::consensus
{

/// Applies committed entries in log order, for a bounded time in a row.
///
/// A leader that is elected after a restart of the whole group applies the whole log. Done in one piece, that keeps the control thread
/// from its heartbeats; after an election timeout another VM is elected, with the same entries before it. Between two slices the
/// thread takes in messages and timers.
class ApplyQueue
{
public:
    using Work = std::variant<Apply, Restore, ReadReady>;
    /// Called after each piece of work, with the result of the state machine for an entry that holds a command.
    using DoneCallback = std::function<void(const Work &, Bytes)>;

    /// Longest time in a row, but for the last entry: less than the interval between two heartbeats.
    static constexpr auto slice = std::chrono::milliseconds(20);

    ApplyQueue(StateMachine &machine, DoneCallback done);

    auto push(Work work) -> void;

    /// Does what waits until \p slice is over by \p clock. Does nothing if called by a callback of its own.
    auto run(const std::function<TimePoint()> &clock) -> void;

    [[nodiscard]] auto empty() const -> bool;

    /// \return whether the state may lack an entry that was committed before \p term
    [[nodiscard]] auto lacksEntriesBefore(ElectionTerm term) const -> bool;

private:
    auto perform(const Work &work) -> Bytes;

    StateMachine &machine;
    DoneCallback done;
    std::deque<Work> waiting;
    bool running = false;
};

} // namespace sapphirespool::consensus
