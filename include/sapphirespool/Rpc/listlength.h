// listlength.h: bounds the lists in messages of other processes.
#pragma once

#include <kj/debug.h>

namespace sapphirespool::rpc
{

/// Most elements of a list in a message: more than twice the services and VMs of the largest fleet that this is designed for.
constexpr auto longestList = 20'000U;

/// \return \p list
/// \throws kj::Exception if it is too long
///
/// Elements without content take no bytes. A message of some hundred bytes can claim millions of them, and whoever reads it would be busy
/// for seconds and fill a gigabyte with empty values. Cap'n Proto's own limit is on words, and counts one for each such element.
template <typename List>
auto ofSaneLength(List list) -> List
{
    KJ_REQUIRE(list.size() <= longestList, "a list in a message of another process is too long; look for what sends it");
    return list;
}

} // namespace sapphirespool::rpc
