// scenarios.h: the loads and policies that the load report compares.
#pragma once

#include "sapphirespool/LoadModel/scenario.h"

#include <vector>

namespace sapphirespool::loadmodel
{

/// \return one group of three upstreams of the first user's deployment under \p load times its capacity
[[nodiscard]] auto overload(double load) -> Scenario;
[[nodiscard]] auto burst() -> Scenario;
[[nodiscard]] auto hotCaller() -> Scenario;
/// \return the same without the hot caller, to compare the others with
[[nodiscard]] auto noHotCaller() -> Scenario;
/// \return a caller that alone sends more than the capacity
[[nodiscard]] auto veryHotCaller() -> Scenario;
[[nodiscard]] auto hotKey() -> Scenario;
[[nodiscard]] auto slowUpstream() -> Scenario;
[[nodiscard]] auto longAmongShort() -> Scenario;
[[nodiscard]] auto noLong() -> Scenario;
[[nodiscard]] auto lostReplica() -> Scenario;
[[nodiscard]] auto promotionGap() -> Scenario;
[[nodiscard]] auto derwent(double load) -> Scenario;
[[nodiscard]] auto cooperative(double load) -> Scenario;
/// \return an overload by callers that send again at once, which ends in the middle of the run
[[nodiscard]] auto retryStorm() -> Scenario;
/// \return an overload whose refused callers come back when they were told to
[[nodiscard]] auto returningCallers() -> Scenario;
[[nodiscard]] auto allScenarios() -> std::vector<Scenario>;

[[nodiscard]] auto chosenPolicy() -> Policy;
[[nodiscard]] auto fifoPolicy() -> Policy;
/// \return order of arrival within the slots' limit, to tell the sharing from the order
[[nodiscard]] auto fifoOwnersPolicy() -> Policy;
[[nodiscard]] auto sharingPolicies() -> std::vector<Policy>;
[[nodiscard]] auto disciplinePolicies() -> std::vector<Policy>;

/// \return the chosen policy with each module taken out in turn
[[nodiscard]] auto withoutEach() -> std::vector<Policy>;

/// \return the chosen policy with each figure halved and doubled
[[nodiscard]] auto sensitivityPolicies() -> std::vector<Policy>;

} // namespace sapphirespool::loadmodel
