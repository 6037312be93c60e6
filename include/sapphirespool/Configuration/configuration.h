// configuration.h: the operators' text, checked as a whole.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/types.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace sapphirespool::configuration
{

/// Members of a group, unless the text says otherwise.
constexpr auto usualGroupSize = std::uint32_t{3};

/// A database group that the text names.
struct GroupConfiguration
{
    GroupId id;
    /// How many members the group has. Quorums are counted on it, not on how many have announced themselves: else the two halves of a
    /// group that starts up partitioned could each elect a primary.
    std::uint32_t size = usualGroupSize;
    /// Connections that each member accepts from all proxies together; 0: as the member announces.
    std::uint32_t connectionLimit = 0;
    /// Whether the members see to their replication themselves: they name a primary, and acknowledge a write by rules of their own.
    /// Members may come and go then, and no proxy confirms a write by a second member.
    bool selfReplicating = false;
    /// Replicas of a self-replicating group that have a write before it is acknowledged.
    std::uint32_t confirmations = 0;
};

/// A text without mistakes.
struct Configuration
{
    /// Number that the operator gave to the text. Among numbered texts the highest one wins; a text without a number replaces the
    /// revision that it names.
    std::optional<ConfigurationVersion> version;
    std::vector<membership::ServiceView> services;
    /// Each group of a service, ordered by name.
    std::vector<GroupConfiguration> groups;
    /// Ordered by name.
    std::vector<membership::CustomerView> customers = {};
};

/// \param file name that stands in the reports
/// \return the configuration in \p text, or an error with support::TextProblems
[[nodiscard]] auto parseConfiguration(std::string_view file, std::string_view text) -> boost::leaf::result<Configuration>;

} // namespace sapphirespool::configuration
