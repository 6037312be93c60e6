// position.h: a place in the log of a database group, as the members of the group write it.
#pragma once

#include "sapphirespool/Support/types.h"

namespace sapphirespool::interactive
{

/// Place in a group's log. The term is the members' own, which rises with each change of the primary.
struct DataPosition
{
    Term term;
    LogPosition number;

    auto operator<=>(const DataPosition &) const = default;
};

} // namespace sapphirespool::interactive
