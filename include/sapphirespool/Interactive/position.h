// position.h: position in the log of a database group, as its members report it.
#pragma once

#include "sapphirespool/Support/types.h"

namespace sapphirespool::interactive
{

/// Position in a group's log. The term is that of the members, which increases with each change of the primary.
struct DataPosition
{
    Term term;
    LogPosition number;

    auto operator<=>(const DataPosition &) const = default;
};

} // namespace sapphirespool::interactive
