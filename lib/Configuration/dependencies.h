// dependencies.h: checks what services say of each other.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Support/yaml.h"

#include <vector>

namespace sapphirespool::configuration
{

/// Reports unknown and repeated dependencies, cycles, and services that give up before what they depend on.
/// \param entries the mappings of \p services, in the same order
auto checkDependencies(std::vector<support::YamlEntry> &entries, const std::vector<membership::ServiceView> &services) -> void;

} // namespace sapphirespool::configuration
