// statemachine.h: what the replicated log drives.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sapphirespool::consensus
{

/// Number of an entry of the control group's replicated log, from 1.
using LogIndex = support::StrongType<struct LogIndexTag, std::uint64_t>;
/// Term of a leader of the control group. It has nothing to do with the Term of a database group.
using ElectionTerm = support::StrongType<struct ElectionTermTag, std::uint64_t>;

/// An encoded command, result or snapshot.
using Bytes = std::vector<std::byte>;

/// State that every control VM builds from the same entries in the same order. It reads no clock and no random number.
class StateMachine
{
public:
    StateMachine() = default;
    StateMachine(const StateMachine &) = delete;
    auto operator=(const StateMachine &) -> StateMachine & = delete;
    virtual ~StateMachine() = default;

    /// Applies a committed command.
    /// \return the result for the proposer, the same on every control VM
    virtual auto apply(LogIndex index, std::span<const std::byte> command) -> Bytes = 0;

    /// \return the whole state
    [[nodiscard]] virtual auto snapshot() const -> Bytes = 0;

    /// Replaces the state by one that snapshot() gave.
    virtual auto restore(std::span<const std::byte> snapshot) -> void = 0;
};

} // namespace sapphirespool::consensus
