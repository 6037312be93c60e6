// voterplacement.h: chooses which members vote, so that the voters are spread over the availability zones.
#pragma once

#include "sapphirespool/Consensus/replicatedlog.h"

#include <functional>
#include <span>

namespace sapphirespool::consensus
{

/// A loss often takes all VMs of a zone with it, so a zone should never hold many more voters than another one that has candidates.
using IsCandidate = std::function<bool(const ControlMember &)>;

/// \return the candidate from the zone with the fewest voters, the first one in the list if several zones have as few; null if there is none
[[nodiscard]] auto nextVoter(std::span<const ControlMember> members, const IsCandidate &isCandidate) -> const ControlMember *;

/// \return the candidate that replaces \p lost: one of its own zone if there is one; null if there is none
[[nodiscard]] auto replacementOf(const ControlMember &lost, std::span<const ControlMember> members, const IsCandidate &isCandidate) -> const ControlMember *;

/// \return a candidate whose zone has at least two voters fewer than another zone; null if there is none
[[nodiscard]] auto balancingVoter(std::span<const ControlMember> members, const IsCandidate &isCandidate) -> const ControlMember *;

/// \return the voter that a group with too many of them gives up: one of the zone with the most voters, never \p leader; null if there
///         is none
[[nodiscard]] auto surplusVoter(std::span<const ControlMember> members, ReplicaId leader) -> const ControlMember *;

/// \return the number of members, voters and learners, in \p zone
[[nodiscard]] auto memberCount(std::span<const ControlMember> members, const ZoneId &zone) -> std::size_t;

/// \return the learner that makes room for a VM of \p zone in a full group: one of a zone with at least two members more, the one with
///         the most; null if there is none
[[nodiscard]] auto surplusLearner(std::span<const ControlMember> members, const ZoneId &zone) -> const ControlMember *;

} // namespace sapphirespool::consensus
