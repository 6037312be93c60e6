// kjcompat.h: lets clang 16, and so the linter, read Cap'n Proto 0.9 as C++20. To be included before its headers.
//
// KJ leaves `const char * == StringPtr` to the reversed operators of C++20, which clang drops where operator!= is declared as well.
#pragma once

#include <kj/string.h>

#ifdef __clang__
namespace kj
{

inline auto operator==(const char *left, const StringPtr &right) -> bool
{
    return right == left;
}

inline auto operator!=(const char *left, const StringPtr &right) -> bool
{
    return !(right == left);
}

} // namespace kj
#endif
