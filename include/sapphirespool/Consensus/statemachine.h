// statemachine.h: interface of the state machine to which the replicated log applies its entries.
#pragma once

#include "sapphirespool/Support/types.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sapphirespool::consensus
{

/// Index of an entry in the control group's replicated log, starting at 1.
using LogIndex = support::StrongType<struct LogIndexTag, std::uint64_t>;
/// Raft term of the control group. Unrelated to the Term of a database group.
using ElectionTerm = support::StrongType<struct ElectionTermTag, std::uint64_t>;

/// An encoded command, result or snapshot.
using Bytes = std::vector<std::byte>;

/// Deterministic state that every control VM builds from the same entries in the same order. It must not read a clock or a random number.
class StateMachine
{
public:
    StateMachine() = default;
    StateMachine(const StateMachine &) = delete;
    auto operator=(const StateMachine &) -> StateMachine & = delete;
    virtual ~StateMachine() = default;

    /// Applies a committed command.
    /// \return the result for the proposer, identical on every control VM
    virtual auto apply(LogIndex index, std::span<const std::byte> command) -> Bytes = 0;

    /// \return the complete state, encoded
    [[nodiscard]] virtual auto snapshot() const -> Bytes = 0;

    /// Replaces the state by one that snapshot() returned.
    virtual auto restore(std::span<const std::byte> snapshot) -> void = 0;
};

} // namespace sapphirespool::consensus
